"""Messages between the directory on the control VMs and all other daemons."""

from __future__ import annotations

from dataclasses import dataclass, field

from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes.model import RouteTable

UNKNOWN_INCARNATION = 0


@dataclass(frozen=True)
class Member:
    """
    A daemon that may hold a replica of a log.

    :param address: IP:port of its peer server, which is also its id in the log.
    :param daemon: the name that operators know it by.
    :param disk_id: id of its disk.
    :param empty: the disk never took part in a cluster.
    :param cluster: the cluster that the disk belongs to; empty for none.
    """

    address: str
    daemon: str
    data_centre: str
    disk_id: str
    empty: bool
    cluster: str = ""


@dataclass(frozen=True)
class Group:
    """
    The founding members of the log that holds the jobs.

    :param cluster: id of the log.
    """

    cluster: str
    founders: tuple[Member, ...]


@dataclass(frozen=True)
class UsageCount:
    """
    Requests of one client account that endpoints began in one window, as one entry counted them.

    :param window: number of the window.
    :param count: all of the window so far; a later count takes its place.
    """

    window: int
    client_account: str
    count: int


@dataclass(frozen=True)
class Renew:
    """
    A daemon says that it is there and asks for what is new.

    :param address: IP:port of its peer server.
    :param incarnation: made at its start.
    :param role: `entry`, `store` or `control`.
    :param epoch: epoch of the view that it holds; 0 for none.
    :param revision: revision of that view.
    :param table_version: version of the route table that is in force there.
    :param hold_s: seconds to wait for something new.
    :param member: its disk, where it has one.
    :param usage: counts of windows that the directory has not confirmed yet.
    :param leads_jobs: it leads the jobs' log.
    :param job_members: addresses of the replicas of that log, where it leads.
    :param wall_s: the daemon's wall clock, seconds since 1970.
    :param demand: by service, the most items that were to be run at a time lately; from the jobs'
        leader.
    :param allowed: by model, the oldest version that its newest job takes; from the jobs' leader.
    """

    address: str
    daemon: str
    data_centre: str
    incarnation: str
    role: str
    epoch: int = 0
    revision: int = 0
    table_version: int = -1
    hold_s: float = 0.0
    member: Member | None = None
    usage: tuple[UsageCount, ...] = ()
    leads_jobs: bool = False
    job_members: tuple[str, ...] = ()
    wall_s: float = 0.0
    demand: tuple[tuple[str, int], ...] = ()
    allowed: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Placed:
    """
    An endpoint with the age of what is known of it.

    :param age_s: seconds since its newest announcement arrived.
    """

    record: EndpointRecord
    age_s: float


@dataclass(frozen=True)
class View:
    """
    What a daemon needs to know.

    :param epoch: rises with each leader of the directory.
    :param revision: rises with each change under one epoch.
    :param table: None where the caller's version is in force still.
    :param learning: the leader is new and may not have heard all endpoints yet.
    :param version_by_model: newest weight version that trainers named; empty for an entry, as the
        versions of endpoints are.
    :param loading: pairs of endpoint and model; such an endpoint begins nothing for that model now;
        empty for an entry.
    :param stores: all daemons that may hold jobs, heard lately.
    :param job_leader: address of the daemon that leads the jobs' log; a hint.
    :param controls: peer addresses of the directory's members.
    :param wall_s: wall clock that most daemons agree on, seconds since 1970.
    :param closed_window: newest usage window whose counts are fixed.
    :param retiring: peer addresses of daemons that are to be emptied.
    """

    epoch: int
    revision: int
    table: RouteTable | None = None
    table_version: int = -1
    endpoints: tuple[Placed, ...] = ()
    learning: bool = False
    version_by_model: dict[str, int] = field(default_factory=dict)
    loading: tuple[tuple[str, str], ...] = ()
    stores: tuple[Member, ...] = ()
    job_leader: str = ""
    job_group: Group | None = None
    controls: tuple[str, ...] = ()
    wall_s: float = 0.0
    closed_window: int = -1
    retiring: tuple[str, ...] = ()


@dataclass(frozen=True)
class Unchanged:
    """Nothing is new since the view that the caller named."""

    wall_s: float = 0.0
    closed_window: int = -1


@dataclass(frozen=True)
class CountUsage:
    """
    Counts that an entry tells between two renewals.

    :param address: IP:port of its peer server.
    :param incarnation: made at its start.
    :param usage: all its counts of windows that are not closed.
    """

    address: str
    incarnation: str
    usage: tuple[UsageCount, ...]


@dataclass(frozen=True)
class UsageCounted:
    """
    The counts are noted.

    :param pause_s: seconds to leave before the next ones.
    """

    pause_s: float


@dataclass(frozen=True)
class Announce:
    """An endpoint's announcement, handed on by the daemon that it reached."""

    record: EndpointRecord


@dataclass(frozen=True)
class Depart:
    """
    An endpoint says that it is gone.

    :param incarnation: of the start that ends; UNKNOWN_INCARNATION for the newest that is known.
    """

    endpoint: str
    incarnation: int


@dataclass(frozen=True)
class Announced:
    """
    The announcement was taken in.

    :param leader: address of the daemon that later announcements reach soonest.
    """

    leader: str = ""


@dataclass(frozen=True)
class ReplaceTable:
    """
    An operator's whole configuration.

    :param document: what is read back, byte for byte.
    """

    table: RouteTable
    document: bytes


@dataclass(frozen=True)
class TableReplaced:
    """
    The table, or one with a higher version, is in force.

    :param version: version in force.
    """

    version: int


@dataclass(frozen=True)
class ReadTable:
    """Asks for the newest configuration."""


@dataclass(frozen=True)
class TableRead:
    """The newest configuration; version -1 for none yet."""

    version: int
    document: bytes


@dataclass(frozen=True)
class NameVersion:
    """A trainer names a version of its model's weights."""

    model: str
    version: int


@dataclass(frozen=True)
class VersionNamed:
    """The version is recorded."""


@dataclass(frozen=True)
class Retire:
    """
    An operator asks to empty a store.

    :param daemon: name of the daemon.
    :param begin: ask how far it is without beginning.
    """

    daemon: str
    begin: bool


@dataclass(frozen=True)
class Retiring:
    """
    How far a store is.

    :param state: `unknown`, `too_few`, `active` or `completed`.
    """

    state: str


__all__ = [
    "Announce",
    "UNKNOWN_INCARNATION",
    "Announced",
    "Depart",
    "Group",
    "Member",
    "NameVersion",
    "Placed",
    "ReadTable",
    "Renew",
    "ReplaceTable",
    "Retire",
    "Retiring",
    "TableRead",
    "TableReplaced",
    "Unchanged",
    "UsageCount",
    "VersionNamed",
    "View",
]
