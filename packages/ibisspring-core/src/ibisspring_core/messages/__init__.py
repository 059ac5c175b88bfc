"""Typed messages between daemons, and commands to the replicated state machine."""

from __future__ import annotations
