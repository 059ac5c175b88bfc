"""Counts what client accounts used and hands it to the control leader."""

from __future__ import annotations

from ibisspring_entry.usage_meter.service import UsageMeter

__all__ = ["UsageMeter"]
