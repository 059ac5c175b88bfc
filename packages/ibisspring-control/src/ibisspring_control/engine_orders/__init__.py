"""Orders to engines: to load an adapter's weights (a few engines at a time), to change role."""

from __future__ import annotations

from ibisspring_control.engine_orders.service import EngineOrders

__all__ = ["EngineOrders"]
