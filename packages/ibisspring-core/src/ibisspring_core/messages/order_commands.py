"""Commands on orders, drains and starts of daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class OrderIntent:
    """
    Intent to send an order, committed before it is sent.

    :param order_id: id under which the receiver sees it, also when it is sent again.
    :param receiver: `platform` or `endpoint:<id>`.
    :param body: the order as JSON, sent byte for byte.
    """

    order_id: str
    receiver: str
    body: bytes


@dataclass(frozen=True)
class IntentRecorded:
    """Result of `OrderIntent`: the fencing number, which rises with every intent."""

    fencing: int


@dataclass(frozen=True)
class OrderResolved:
    """
    The end of an order.

    :param outcome: `done`, `refused` or `unknown` (sent, never answered, and given up).
    """

    order_id: str
    outcome: str
    detail: str = ""


@dataclass(frozen=True)
class DrainEndpoint:
    """
    An operator asks that an endpoint gets no new work and is stopped when idle.

    :param cancel: lifts an earlier drain; also proposed once the endpoint was stopped.
    """

    endpoint: str
    operator: str
    cancel: bool = False


@dataclass(frozen=True)
class DaemonStarted:
    """A daemon started: requests that an earlier start of it had claimed may have run."""

    daemon: str
    incarnation: int


__all__ = [
    "DaemonStarted",
    "DrainEndpoint",
    "IntentRecorded",
    "OrderIntent",
    "OrderResolved",
]
