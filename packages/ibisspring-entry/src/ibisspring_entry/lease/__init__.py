"""The entry's lease and the state that it may act on while the lease lasts."""

from __future__ import annotations

from ibisspring_entry.lease.service import Lease

__all__ = ["Lease"]
