"""Commands that record orders to the platform and endpoints, drains and starts of daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class OrderIntent:
    """
    Intent to send an order to the platform or an endpoint; committed before the order is sent.

    :param order_id: id of the order at the receiver, the same when the order is sent again.
    :param receiver: `platform` or `endpoint:<id>`.
    :param body: the order as JSON, sent byte for byte.
    """

    order_id: str
    receiver: str
    body: bytes


@dataclass(frozen=True)
class IntentRecorded:
    """
    Result of `OrderIntent`: the intent is committed.

    :param fencing: fencing number of the order; rises with every intent.
    """

    fencing: int


@dataclass(frozen=True)
class OrderResolved:
    """
    The outcome of an order whose intent was recorded by `OrderIntent`.

    :param order_id: id of the order in its `OrderIntent`.
    :param outcome: `done`, `refused` or `unknown` (sent, but no answer before retries stopped).
    :param detail: one sentence for humans.
    """

    order_id: str
    outcome: str
    detail: str = ""


@dataclass(frozen=True)
class DrainEndpoint:
    """
    Drain an endpoint: it gets no new work and is stopped when it is idle.

    :param endpoint: id of the endpoint.
    :param operator: name of the operator who asks for the drain.
    :param cancel: True cancels an earlier drain; also proposed after the endpoint was stopped.
    """

    endpoint: str
    operator: str
    cancel: bool = False


@dataclass(frozen=True)
class DaemonStarted:
    """
    A daemon started, so that requests claimed by its earlier incarnations may have run.

    :param daemon: id of the daemon.
    :param incarnation: number of its start.
    """

    daemon: str
    incarnation: int


__all__ = [
    "DaemonStarted",
    "DrainEndpoint",
    "IntentRecorded",
    "OrderIntent",
    "OrderResolved",
]
