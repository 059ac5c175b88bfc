"""The endpoint registry: announcements by endpoints and the exchange between entries."""

from __future__ import annotations

from ibisspring_entry.registry.service import Registry

__all__ = ["Registry"]
