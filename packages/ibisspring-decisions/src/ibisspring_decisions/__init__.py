"""Pure policies of ibisspring: functions and classes without network, clock or event loop."""

from __future__ import annotations
