"""Callers' HTTP, routing, endpoint registry and samples."""

from __future__ import annotations
