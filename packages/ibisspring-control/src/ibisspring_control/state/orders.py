"""Orders to the platform and to endpoints: intent first, a fencing number that rises with each."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import (
    Done,
    IntentRecorded,
    OrderIntent,
    OrderResolved,
    Refused,
)

if TYPE_CHECKING:
    from ibisspring_control.state.moment import Moment

# Resolved orders are kept so that a resent intent or resolution finds them.
KEPT_RESOLVED = 1_000


@dataclass(frozen=True)
class Order:
    """
    One order.

    :param receiver: `platform` or `endpoint:<id>`.
    :param body: the order as JSON, sent byte for byte.
    :param outcome: `done`, `refused` or `unknown`; empty while it is open.
    """

    order_id: str
    receiver: str
    body: bytes
    fencing: int
    index: int
    stamped_s: float
    outcome: str = ""
    detail: str = ""

    @property
    def intent(self) -> OrderIntent:
        """The order as it was proposed, for sending it again."""
        return OrderIntent(self.order_id, self.receiver, self.body)


@dataclass(frozen=True)
class OrdersSnapshot:
    """All orders in order of their fencing numbers."""

    fencing: int = 0
    orders: tuple[Order, ...] = ()


class Orders:
    """Orders by id, oldest fencing number first."""

    def __init__(self, snapshot: OrdersSnapshot) -> None:
        self.fencing = snapshot.fencing
        self.order_by_id = {order.order_id: order for order in snapshot.orders}

    def snapshot(self) -> OrdersSnapshot:
        """Everything, in an order that all replicas share."""
        return OrdersSnapshot(self.fencing, tuple(self.order_by_id.values()))

    def intend(self, command: OrderIntent, moment: Moment) -> IntentRecorded | Refused:
        """Record an order before it is sent; the same order again keeps its fencing number."""
        known = self.order_by_id.get(command.order_id)
        if known is not None:
            if (known.receiver, known.body) != (command.receiver, command.body):
                return Refused(Reason.CONFLICT.value, "this order id names another order")
            return IntentRecorded(known.fencing)
        self.fencing += 1
        self.order_by_id[command.order_id] = Order(
            command.order_id,
            command.receiver,
            command.body,
            self.fencing,
            moment.index,
            moment.stamped_s,
        )
        return IntentRecorded(self.fencing)

    def resolve(self, command: OrderResolved) -> Done | Refused:
        """Record the end of an order; its first end stays."""
        order = self.order_by_id.get(command.order_id)
        if order is None:
            return Refused(Reason.CONFLICT.value, f"no order {command.order_id!r}")
        if order.outcome:
            return Done()
        self.order_by_id[order.order_id] = dataclasses.replace(
            order, outcome=command.outcome, detail=command.detail
        )
        self._forget_resolved()
        return Done()

    def open_orders(self) -> tuple[Order, ...]:
        """Orders without an end, oldest fencing number first."""
        return tuple(order for order in self.order_by_id.values() if not order.outcome)

    def _forget_resolved(self) -> None:
        resolved = [order.order_id for order in self.order_by_id.values() if order.outcome]
        for order_id in resolved[:-KEPT_RESOLVED]:
            del self.order_by_id[order_id]


__all__ = ["Order", "Orders", "OrdersSnapshot"]
