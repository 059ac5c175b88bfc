"""Idempotency keys of calls that may run at most once."""

from __future__ import annotations

from ibisspring_entry.claims.service import Claims, KeyedCall

__all__ = ["Claims", "KeyedCall"]
