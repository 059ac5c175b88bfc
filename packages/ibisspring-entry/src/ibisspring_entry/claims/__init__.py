"""Idempotency keys: each call under a key is sent to an endpoint at most once."""

from __future__ import annotations

from ibisspring_entry.claims.service import Claims, KeyedCall

__all__ = ["Claims", "KeyedCall"]
