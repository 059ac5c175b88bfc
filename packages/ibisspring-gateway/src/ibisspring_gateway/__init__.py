"""What an entry does for callers by the route table."""

from __future__ import annotations
