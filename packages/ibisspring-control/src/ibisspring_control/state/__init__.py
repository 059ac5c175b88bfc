"""The replicated state machine: deterministic, without I/O, with one module for each table."""

from __future__ import annotations

from ibisspring_control.state.machine import StateMachine

__all__ = ["StateMachine"]
