"""The replicated state machine: deterministic, without I/O, one module per kind of state."""

from __future__ import annotations

from ibisspring_control.state.machine import StateMachine

__all__ = ["StateMachine"]
