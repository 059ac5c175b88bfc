"""The replicated state machine: pure and deterministic, one module per concern."""

from __future__ import annotations

from ibisspring_control.state.machine import StateMachine

__all__ = ["StateMachine"]
