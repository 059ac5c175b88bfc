"""The commands that are replicated in the directory's log and change the directory's state."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.codec import KindCodec
from ibisspring_core.messages.crash_suspects import CrashSuspect
from ibisspring_core.messages.directory import Group
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes.model import RouteTable


@dataclass(frozen=True)
class PutTable:
    """
    Replace the route table if the new table's version is higher than the current one.

    :param document: the operator's document that defines the table; an operator who reads the table
        gets this document, byte for byte.
    """

    table: RouteTable
    document: bytes


@dataclass(frozen=True)
class PutVersion:
    """Record a weight version that a trainer published; an older version has no effect."""

    model: str
    version: int


@dataclass(frozen=True)
class EndpointJoins:
    """
    Record that an incarnation of an endpoint announced itself for the first time.

    :param record: the first announcement.
    """

    record: EndpointRecord


@dataclass(frozen=True)
class EndpointLeaves:
    """
    Record that an endpoint announced its departure.

    :param state: `leaving` or `gone`; the incarnation never serves again.
    """

    endpoint: str
    incarnation: int
    state: str


@dataclass(frozen=True)
class FoundJobs:
    """
    Select the stores that bootstrap the jobs' log and are its first members.

    Only the first such command has an effect.
    """

    group: Group


@dataclass(frozen=True)
class RetireStore:
    """Retire a store: its replica of the jobs' log is to be moved to another store."""

    address: str


@dataclass(frozen=True)
class SetFleet:
    """
    Set the minimum number of endpoints of a service, which are replaced when they are lost.

    Only the first such command for a service has an effect.

    :param count: number of endpoints in all data centres together.
    """

    service: str
    count: int


@dataclass(frozen=True)
class CloseWindow:
    """
    Close a usage window, so that its request counts are final.

    :param window: number of the window.
    :param counts: pairs of client account and number of requests, sorted.
    """

    window: int
    counts: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class WindowReported:
    """Record that a usage window and all earlier ones need no further report."""

    window: int


@dataclass(frozen=True)
class SetEvacuation:
    """
    Start or end the evacuation of a data centre, unless it has changed since the operator's read.

    :param active: True starts the evacuation, False ends it.
    :param expected_change: number of the data centre's newest change that the operator has read, 0
        for none; a command with another number has no effect.
    """

    data_centre: str
    active: bool
    expected_change: int


@dataclass(frozen=True)
class RecordEnd:
    """
    Record that an endpoint ended while it ran a request.

    :param suspect: the request, with this end alone.
    """

    suspect: CrashSuspect


@dataclass(frozen=True)
class RemoveSuspect:
    """
    Remove a suspect: an endpoint answered it, or an operator released it.

    :param known_ends: number of ends that are known to the sender; a suspect with more stays.
    """

    identity: str
    known_ends: int


Command = (
    PutTable
    | PutVersion
    | EndpointLeaves
    | FoundJobs
    | RetireStore
    | CloseWindow
    | WindowReported
    | SetEvacuation
    | RecordEnd
    | RemoveSuspect
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
    SetEvacuation,
    RecordEnd,
    RemoveSuspect,
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
    "RecordEnd",
    "RemoveSuspect",
    "RetireStore",
    "SetEvacuation",
    "SetFleet",
    "WindowReported",
]
