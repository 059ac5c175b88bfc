"""Training steps: generates, scores and delivers the samples of each step."""

from __future__ import annotations

from ibisspring_entry.rollouts.service import Rollouts

__all__ = ["Rollouts"]
