"""Which endpoints exist: announcements and the exchange between entries."""

from __future__ import annotations

from ibisspring_entry.registry.service import Registry

__all__ = ["Registry"]
