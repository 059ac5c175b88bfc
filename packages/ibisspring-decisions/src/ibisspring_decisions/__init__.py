"""Pure policies of ibisspring: no network, no clock, no event loop."""

from __future__ import annotations
