"""
Requests of the directory's leader to external systems.

An adapter translates them into the interfaces of these systems.
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
    Sender of an order, as its receiver sees it.

    :param holder: name of the daemon that may send orders.
    :param fencing: fencing number, which rises with each holder.
    """

    holder: str
    fencing: int


@dataclass(frozen=True)
class EngineState:
    """
    State of an engine, as reported by the engine itself.

    :param orders: orders that the engine accepted since its start.
    :param busy: whether the engine is executing an order.
    :param version_by_model: weight versions in use.
    """

    orders: int
    busy: bool
    version_by_model: dict[str, int]


@dataclass(frozen=True)
class LoadOrder:
    """
    An order to an engine to load a weight version.

    :param after_orders: number of orders that the engine must have accepted before this one; an
        order that is delayed in transit becomes invalid when another one is accepted.
    """

    model: str
    version: int
    after_orders: int


@dataclass(frozen=True)
class FleetOrder:
    """
    An order to the platform for a number of endpoints of one kind.

    :param count: endpoints that the data centre is to have, including those that it has.
    :param cheap: whether to order the cheap kind, which the platform may reclaim.
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
        """Build the request that reports a closed usage window."""

    def fleet_order(self, order: FleetOrder, sender: OrderSender) -> HttpRequest:
        """Build the request that sends an order to the platform."""

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
        """Build the request that sends a load order to an engine."""


__all__ = ["OrderSender", "EngineState", "ExternalRequests", "FleetOrder", "LoadOrder"]
