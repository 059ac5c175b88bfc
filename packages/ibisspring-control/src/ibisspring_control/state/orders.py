"""
Orders to the platform and to endpoints, such as to start an endpoint or to load weights.

An order is recorded as an intent before it is sent, and each intent gets the next fencing number.
"""

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
    from ibisspring_control.state.moment import LogPosition

# Maximum number of orders with a recorded outcome that are kept, so that a resent intent or outcome
# is recognized as a repetition.
MAX_RESOLVED_ORDERS = 1_000


@dataclass(frozen=True)
class Order:
    """
    One order to the platform or to an endpoint.

    :param receiver: `platform` or `endpoint:<id>`.
    :param body: the order as JSON, without its fencing number; a retry sends the same bytes.
    :param fencing: fencing number; a receiver may reject a lower number after a higher one.
    :param index: log index of the intent.
    :param stamped_s: wall-clock seconds of the intent.
    :param outcome: `done`, `refused` or `unknown`; empty while the order is open.
    :param detail: explanation of the outcome.
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
        """The intent as it was proposed, used to send the order again."""
        return OrderIntent(self.order_id, self.receiver, self.body)


@dataclass(frozen=True)
class OrdersSnapshot:
    """All orders, sorted by fencing number; `fencing` is the highest number that was assigned."""

    fencing: int = 0
    orders: tuple[Order, ...] = ()


class Orders:
    """Orders by id, sorted by fencing number."""

    def __init__(self, snapshot: OrdersSnapshot) -> None:
        self.fencing = snapshot.fencing
        self.order_by_id = {order.order_id: order for order in snapshot.orders}

    def snapshot(self) -> OrdersSnapshot:
        """Return all orders, sorted by fencing number, so that all replicas agree."""
        return OrdersSnapshot(self.fencing, tuple(self.order_by_id.values()))

    def record_intent(
        self, command: OrderIntent, position: LogPosition
    ) -> IntentRecorded | Refused:
        """Record an order before it is sent; a repeated intent returns its first fencing number."""
        known = self.order_by_id.get(command.order_id)
        if known is not None:
            if (known.receiver, known.body) != (command.receiver, command.body):
                return Refused(Reason.CONFLICT.value, "this order id was used for another order")
            return IntentRecorded(known.fencing)
        self.fencing += 1
        self.order_by_id[command.order_id] = Order(
            command.order_id,
            command.receiver,
            command.body,
            self.fencing,
            position.index,
            position.stamped_s,
        )
        return IntentRecorded(self.fencing)

    def resolve(self, command: OrderResolved) -> Done | Refused:
        """Record the outcome of an order; later outcomes of the same order are ignored."""
        order = self.order_by_id.get(command.order_id)
        if order is None:
            return Refused(Reason.CONFLICT.value, f"unknown order {command.order_id!r}")
        if order.outcome:
            return Done()
        self.order_by_id[order.order_id] = dataclasses.replace(
            order, outcome=command.outcome, detail=command.detail
        )
        self._remove_oldest_resolved()
        return Done()

    def open_orders(self) -> tuple[Order, ...]:
        """Return the orders without a recorded outcome, sorted by fencing number."""
        return tuple(order for order in self.order_by_id.values() if not order.outcome)

    def _remove_oldest_resolved(self) -> None:
        resolved = [order.order_id for order in self.order_by_id.values() if order.outcome]
        for order_id in resolved[:-MAX_RESOLVED_ORDERS]:
            del self.order_by_id[order_id]


__all__ = ["Order", "Orders", "OrdersSnapshot"]
