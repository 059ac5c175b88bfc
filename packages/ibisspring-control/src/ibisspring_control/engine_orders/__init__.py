"""Orders to engines: loading of adapter weight versions in waves, and changes of role."""

from __future__ import annotations

from ibisspring_control.engine_orders.service import EngineOrders

__all__ = ["EngineOrders"]
