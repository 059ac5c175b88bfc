"""Trainers' steps: gathering, scoring and delivering samples."""

from __future__ import annotations

from ibisspring_entry.rollouts.service import Rollouts

__all__ = ["Rollouts"]
