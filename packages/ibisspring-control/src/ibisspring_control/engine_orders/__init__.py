"""Orders to engines: weight versions in waves, adapters and roles."""

from __future__ import annotations

from ibisspring_control.engine_orders.service import EngineOrders

__all__ = ["EngineOrders"]
