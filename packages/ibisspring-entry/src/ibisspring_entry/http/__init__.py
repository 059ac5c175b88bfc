"""HTTP server for callers, trainers and announcements of endpoints."""

from __future__ import annotations

from ibisspring_entry.http.service import HttpService

__all__ = ["HttpService"]
