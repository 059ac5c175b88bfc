"""The duties of the leader: platform orders, engine orders, usage reports, drains, capacity."""

from __future__ import annotations

from ibisspring_control.in_charge.orders import OrderEnd
from ibisspring_control.in_charge.service import InCharge

__all__ = ["InCharge", "OrderEnd"]
