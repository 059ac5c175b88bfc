"""What the directory's leader says to the outside; an adapter puts it into the outside's words."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisspring_core.guarded_http import HttpAnswer, HttpRequest
    from ibisspring_core.messages.endpoints import EndpointRecord


@dataclass(frozen=True)
class Duty:
    """
    Under which name and number an order is sent.

    :param holder: name of the daemon that is in charge.
    :param fencing: rises with each holder.
    """

    holder: str
    fencing: int


@dataclass(frozen=True)
class EngineState:
    """
    What an engine says of itself when asked.

    :param orders: orders that it accepted since its start.
    :param busy: an order is being carried out.
    :param version_by_model: weight versions in use.
    """

    orders: int
    busy: bool
    version_by_model: dict[str, int]


@dataclass(frozen=True)
class LoadOrder:
    """
    Asks an engine to load a weight version.

    :param after_orders: orders that the engine must have accepted before; an order that was held up
        on its way is void once another one was accepted.
    """

    model: str
    version: int
    after_orders: int


@dataclass(frozen=True)
class FleetOrder:
    """
    Asks the platform for a number of endpoints of one kind.

    :param cheap: of the cheap kind, which may be reclaimed.
    """

    service: str
    data_centre: str
    count: int
    cheap: bool = False


class Outside(Protocol):
    """The service `outside`."""

    name: str

    def usage_report(
        self, window: int, counts: tuple[tuple[str, int], ...], duty: Duty
    ) -> HttpRequest:
        """Build the report of a closed usage window."""

    def fleet_order(self, order: FleetOrder, duty: Duty) -> HttpRequest:
        """Build an order to the platform."""

    def engine_state_request(self, record: EndpointRecord) -> HttpRequest:
        """Build the question to an engine how it is."""

    def engine_state(self, answer: HttpAnswer) -> EngineState | None:
        """Read its answer; None where it cannot be read."""

    def load_order(self, record: EndpointRecord, order: LoadOrder, duty: Duty) -> HttpRequest:
        """Build an order to an engine."""


__all__ = ["Duty", "EngineState", "FleetOrder", "LoadOrder", "Outside"]
