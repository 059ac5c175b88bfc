"""The entry role: callers' HTTP interface, routing, endpoint registry and sample collection."""

from __future__ import annotations
