"""Duties that only the leader performs: orders, usage reports, drains and fleet capacity."""

from __future__ import annotations

from ibisspring_control.leader_duties.orders import OrderEnd
from ibisspring_control.leader_duties.service import LeaderDuties

__all__ = ["LeaderDuties", "OrderEnd"]
