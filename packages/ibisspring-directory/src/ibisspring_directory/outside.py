"""
Requests of the directory's leader to external systems: the platform and the engines.

An adapter translates the requests into the interfaces of these systems. A request that changes
something there is an order: for endpoints, to the platform, or for the load of a weight version, to
an engine.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisspring_core.guarded_http import HttpAnswer, HttpRequest
    from ibisspring_core.messages.endpoints import EndpointRecord


@dataclass(frozen=True)
class OrderSender:
    """
    The sender of an order, as the order names it to its receiver.

    :param holder: name of the daemon that may send orders (the holder).
    :param fencing: fencing number, which is higher for each new holder; by it a receiver can reject
        orders of an earlier holder.
    """

    holder: str
    fencing: int


@dataclass(frozen=True)
class EngineState:
    """
    State of an engine, as reported by the engine itself.

    :param orders: number of orders that the engine has accepted since its start.
    :param busy: whether the engine is executing an order, such as a load of weights.
    :param version_by_model: by model, the weight version that the engine uses.
    """

    orders: int
    busy: bool
    version_by_model: dict[str, int]


@dataclass(frozen=True)
class LoadOrder:
    """
    An order to an engine to load a weight version.

    :param after_orders: number of orders that the engine must have accepted before this one. An
        order that is delayed in transit thus becomes invalid when the engine accepts another order.
    """

    model: str
    version: int
    after_orders: int


@dataclass(frozen=True)
class FleetOrder:
    """
    An order to the platform for a number of endpoints of one kind (cheap or standard).

    :param count: total number of endpoints that the data centre is to have, including those that it
        has already.
    :param cheap: whether to order the cheap kind of endpoints, which the platform may reclaim.
    """

    service: str
    data_centre: str
    count: int
    cheap: bool = False


class ExternalRequests(Protocol):
    """The service `outside`: builds requests to external systems and reads their answers."""

    name: str

    def usage_report(
        self, window: int, counts: tuple[tuple[str, int], ...], sender: OrderSender
    ) -> HttpRequest:
        """
        Build the request that reports the request counts of a closed usage window.

        :param window: number of the window.
        :param counts: pairs of client account and number of requests.
        """

    def fleet_order(self, order: FleetOrder, sender: OrderSender) -> HttpRequest:
        """Build the request that orders endpoints from the platform."""

    def engine_state_request(self, record: EndpointRecord) -> HttpRequest:
        """Build the request for an engine's state."""

    def engine_state(self, answer: HttpAnswer) -> EngineState | None:
        """
        Decode an engine's answer to the request for its state; None for an error or a malformed
        answer.
        """

    def load_order(
        self, record: EndpointRecord, order: LoadOrder, sender: OrderSender
    ) -> HttpRequest:
        """Build the request that orders an engine to load a weight version."""


__all__ = ["OrderSender", "EngineState", "ExternalRequests", "FleetOrder", "LoadOrder"]
