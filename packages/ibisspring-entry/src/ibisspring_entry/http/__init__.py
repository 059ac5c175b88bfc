"""HTTP towards callers, trainers and endpoints that announce themselves."""

from __future__ import annotations

from ibisspring_entry.http.service import HttpService

__all__ = ["HttpService"]
