"""Commands of the directory's log and their results."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.codec import KindCodec
from ibisspring_core.messages.directory import Group
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes.model import RouteTable


@dataclass(frozen=True)
class PutTable:
    """
    Bring a route table into force where its version is the highest.

    :param document: what is read back, byte for byte.
    """

    table: RouteTable
    document: bytes


@dataclass(frozen=True)
class PutVersion:
    """A trainer named a version of its model's weights."""

    model: str
    version: int


@dataclass(frozen=True)
class EndpointJoins:
    """
    A start of an endpoint was heard for the first time.

    :param record: its first announcement.
    """

    record: EndpointRecord


@dataclass(frozen=True)
class EndpointLeaves:
    """
    An endpoint said that it leaves.

    :param state: `leaving` or `gone`; final for the incarnation.
    """

    endpoint: str
    incarnation: int
    state: str


@dataclass(frozen=True)
class FoundJobs:
    """The stores that found the log of the jobs; only the first such command counts."""

    group: Group


@dataclass(frozen=True)
class RetireStore:
    """An operator empties a store."""

    address: str


@dataclass(frozen=True)
class SetFleet:
    """
    How many endpoints of a service are kept; only the first such command of a service counts.

    :param count: over all data centres.
    """

    service: str
    count: int


@dataclass(frozen=True)
class CloseWindow:
    """
    Fix the counts of a usage window.

    :param counts: pairs of client account and requests, sorted.
    """

    window: int
    counts: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class WindowReported:
    """A usage window, and all before it, need not be reported again."""

    window: int


Command = (
    PutTable | PutVersion | EndpointLeaves | FoundJobs | RetireStore | CloseWindow | WindowReported
)

COMMANDS = KindCodec.from_types(
    PutTable,
    PutVersion,
    EndpointJoins,
    EndpointLeaves,
    FoundJobs,
    RetireStore,
    SetFleet,
    CloseWindow,
    WindowReported,
)

__all__ = [
    "COMMANDS",
    "CloseWindow",
    "Command",
    "EndpointJoins",
    "EndpointLeaves",
    "FoundJobs",
    "PutTable",
    "PutVersion",
    "RetireStore",
    "SetFleet",
    "WindowReported",
]
