"""The duties of the leader: platform orders, engine orders, usage reports, drains, capacity."""

from __future__ import annotations

from ibisspring_control.leader_duties.orders import OrderEnd
from ibisspring_control.leader_duties.service import LeaderDuties

__all__ = ["LeaderDuties", "OrderEnd"]
