"""The entry's lease from the control leader, with the leader's view and rules valid under it."""

from __future__ import annotations

from ibisspring_entry.lease.service import Lease

__all__ = ["Lease"]
