"""Messages between the directory, which runs on the control VMs, and all other daemons."""

from __future__ import annotations

from dataclasses import dataclass, field

from ibisspring_core.messages.crash_suspects import SuspectSummary
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes.model import RouteTable

UNKNOWN_INCARNATION = 0


@dataclass(frozen=True)
class Member:
    """
    A daemon that may store a replica of a replicated log.

    :param address: IP:port of its peer server, which is also its id in the log.
    :param daemon: name of the daemon, as operators use it.
    :param data_centre: data centre of its VM.
    :param disk_id: id of its disk.
    :param empty: whether the disk has never belonged to a cluster.
    :param cluster: id of the cluster of replicas that the disk belongs to; empty for none.
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
    The initial members of the log that stores the jobs.

    :param cluster: id of the log's cluster.
    :param founders: the daemons that bootstrap the log.
    """

    cluster: str
    founders: tuple[Member, ...]


@dataclass(frozen=True)
class UsageCount:
    """
    Requests of one client account that endpoints started in a usage window, counted by one entry.

    :param window: number of the usage window.
    :param client_account: name of the client account.
    :param count: total for the usage window so far; a later count replaces this one.
    """

    window: int
    client_account: str
    count: int


@dataclass(frozen=True)
class Renew:
    """
    Renewal: a daemon reports that it is alive and asks for changes of its view of the directory.

    :param address: IP:port of the daemon's peer server.
    :param daemon: name of the daemon.
    :param data_centre: data centre of its VM.
    :param incarnation: random id of the daemon's start.
    :param role: `entry`, `store` or `control`.
    :param epoch: epoch of the daemon's view; 0 for none.
    :param revision: revision of that view; the leader answers at once if it has a later one.
    :param table_version: version of the route table in force in the daemon; -1 for none.
    :param hold_s: seconds that the leader waits for a change before it answers.
    :param member: the daemon with its disk, as a possible replica; None without a disk.
    :param usage: counts of the usage windows that are not closed yet.
    :param leads_jobs: whether the daemon is the leader of the jobs' log.
    :param job_members: peer addresses of the replicas of that log, learners included, and of those
        that a change of its members may bring back; only from its leader.
    :param wall_s: the daemon's wall clock, in seconds since 1970.
    :param demand: pairs of service and recent maximum of items that could run at the same time;
        only from the jobs' leader.
    :param allowed: pairs of model and oldest weight version that the newest job of the model
        accepts; only from the jobs' leader.
    :param evacuation_change: number of the newest change of an evacuation in the daemon's view.
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
    evacuation_change: int = 0


@dataclass(frozen=True)
class AgedEndpoint:
    """
    An endpoint's record with the age of its announcement.

    :param record: the newest announcement.
    :param age_s: seconds since the announcement was received.
    """

    record: EndpointRecord
    age_s: float


@dataclass(frozen=True)
class View:
    """
    Answer to `Renew`: the part of the directory that the daemon needs.

    :param epoch: number of the directory's leader; rises with each new leader.
    :param revision: number of the view; rises with each change within an epoch.
    :param table: the route table; None if the version in the renewal is still in force.
    :param table_version: version of the route table in force; -1 for none.
    :param endpoints: records of the known endpoints.
    :param learning: True while the leader is new and may not have received announcements of all
        endpoints.
    :param version_by_model: newest weight version published by trainers, by model. Empty for an
        entry, as are the versions in the records of endpoints.
    :param loading: pairs of endpoint and model: the endpoint loads weights and starts no request
        for that model. Empty for an entry.
    :param stores: all daemons that may store jobs and whose last renewal is recent.
    :param job_leader: peer address of the leader of the jobs' log; a hint, empty if unknown.
    :param job_group: initial members of the jobs' log; None before they are decided.
    :param controls: peer addresses of the directory's members.
    :param wall_s: wall clock that most daemons agree on, in seconds since 1970.
    :param closed_window: newest usage window whose counts are final; -1 for none.
    :param retiring: peer addresses of stores whose data moves to other stores.
    :param evacuated: data centres whose endpoints get no new requests.
    :param evacuation_change: number of the newest change of an evacuation; rises with each change.
    :param cold_shares: by cold endpoint, requests per window that this entry may send to it for a
        limited time from its renewal.
    :param suspects: requests under which endpoints ended, by identity.
    :param suspect_change: number of the newest change of the suspects; rises with each change.
    """

    epoch: int
    revision: int
    table: RouteTable | None = None
    table_version: int = -1
    endpoints: tuple[AgedEndpoint, ...] = ()
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
    evacuated: tuple[str, ...] = ()
    evacuation_change: int = 0
    cold_shares: dict[str, int] = field(default_factory=dict)
    suspects: dict[str, SuspectSummary] = field(default_factory=dict)
    suspect_change: int = 0


@dataclass(frozen=True)
class Unchanged:
    """
    Answer to `Renew`: the view with the renewal's epoch and revision is still current.

    :param wall_s: wall clock that most daemons agree on, in seconds since 1970.
    :param closed_window: newest usage window whose counts are final; -1 for none.
    :param cold_shares: as in the view; replaces those of the last answer.
    """

    wall_s: float = 0.0
    closed_window: int = -1
    cold_shares: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class CountUsage:
    """
    Usage counts that an entry sends between two renewals.

    :param address: IP:port of the entry's peer server.
    :param incarnation: random id of the entry's start.
    :param usage: all counts of usage windows that are not closed yet.
    """

    address: str
    incarnation: str
    usage: tuple[UsageCount, ...]


@dataclass(frozen=True)
class UsageCounted:
    """
    Answer to `CountUsage`: the counts are recorded.

    :param pause_s: seconds to wait before the next `CountUsage`.
    """

    pause_s: float


@dataclass(frozen=True)
class Announce:
    """
    An endpoint's announcement, forwarded to the directory's leader.

    :param record: the announcement, as the daemon that forwards it received it.
    """

    record: EndpointRecord


@dataclass(frozen=True)
class Depart:
    """
    An endpoint reports that it has stopped; its record then changes to state LEAVING.

    :param endpoint: id of the endpoint.
    :param incarnation: incarnation that has stopped; UNKNOWN_INCARNATION for the newest known one.
    """

    endpoint: str
    incarnation: int


@dataclass(frozen=True)
class Announced:
    """
    Answer to `Announce`: the announcement was recorded.

    :param leader: peer address of the directory's leader, which later announcements should be sent
        to; empty if unknown.
    """

    leader: str = ""


@dataclass(frozen=True)
class ReplaceTable:
    """
    Asks to replace the complete configuration (routes, services and client accounts).

    :param table: the new route table.
    :param document: the configuration as the operator sent it, returned byte for byte by
        `TableRead`.
    """

    table: RouteTable
    document: bytes


@dataclass(frozen=True)
class TableReplaced:
    """
    Answer to `ReplaceTable`: the new table, or one with a higher version, is in force.

    :param version: version of the table in force.
    """

    version: int


@dataclass(frozen=True)
class ReadTable:
    """Asks for the newest configuration that an operator sent."""


@dataclass(frozen=True)
class TableRead:
    """
    Answer to `ReadTable`: the newest configuration.

    :param version: version of its route table; -1 if there is no configuration yet.
    :param document: the configuration as the operator sent it.
    """

    version: int
    document: bytes


@dataclass(frozen=True)
class NameVersion:
    """
    A trainer publishes a weight version of its model.

    :param model: name of the model.
    :param version: number of the weight version.
    """

    model: str
    version: int


@dataclass(frozen=True)
class VersionNamed:
    """Answer to `NameVersion`: the published weight version is recorded."""


@dataclass(frozen=True)
class Retire:
    """
    An operator asks to retire a store, whose data then moves to other stores.

    :param daemon: name of the store's daemon.
    :param begin: True starts the retirement; False only asks for the state of an earlier one.
    """

    daemon: str
    begin: bool


@dataclass(frozen=True)
class Retiring:
    """
    Answer to `Retire`: the state of the store's retirement.

    :param state: `unknown` if there is no such store, `too_few` if too few stores would remain,
        `active` while the data moves, or `completed`.
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
    "AgedEndpoint",
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
