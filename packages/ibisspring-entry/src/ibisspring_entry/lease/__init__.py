"""The entry's lease from the control leader, and the view and rules that are valid under it."""

from __future__ import annotations

from ibisspring_entry.lease.service import Lease

__all__ = ["Lease"]
