"""The control role: replicated state machine, entry leases and the leader's duties."""

from __future__ import annotations
