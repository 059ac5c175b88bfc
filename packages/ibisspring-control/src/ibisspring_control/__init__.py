"""Replicated log, state machine and the leader's duties."""

from __future__ import annotations
