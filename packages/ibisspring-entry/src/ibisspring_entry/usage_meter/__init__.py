"""Meters the usage of client accounts and commits it through the control leader."""

from __future__ import annotations

from ibisspring_entry.usage_meter.service import UsageMeter

__all__ = ["UsageMeter"]
