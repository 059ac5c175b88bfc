"""Services of an entry: they forward callers' requests by the route table and run jobs' items."""

from __future__ import annotations
