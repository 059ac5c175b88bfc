"""Status queries of operators to the leaders of the directory and of the jobs."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.endpoints import EndpointRecord


@dataclass(frozen=True)
class ReadDirectoryStatus:
    """Asks the directory's leader for its status."""


@dataclass(frozen=True)
class DaemonStatus:
    """
    State of a daemon whose last renewal of its directory view is recent.

    :param daemon: name of the daemon.
    :param role: `entry`, `store` or `control`.
    :param data_centre: data centre of its VM.
    :param address: IP:port of its peer server.
    :param table_version: version of the route table in force in the daemon; -1 for none.
    :param heard_ago_s: seconds since its last renewal was received.
    :param leads_jobs: whether the daemon is the leader of the jobs' log.
    """

    daemon: str
    role: str
    data_centre: str
    address: str
    table_version: int
    heard_ago_s: float
    leads_jobs: bool


@dataclass(frozen=True)
class DutyStatus:
    """
    A duty that involves orders to outside systems; one daemon at a time performs it.

    :param holder: name of the daemon that holds the duty; empty while a new leader waits until an
        earlier holder has certainly stopped sending orders.
    :param number: fencing number; rises with each holder.
    :param waits_s: seconds until the new leader may start the duty.
    """

    duty: str
    holder: str
    number: int
    waits_s: float


@dataclass(frozen=True)
class DirectoryStatus:
    """
    Status of the directory, as recorded by its leader.

    :param leader: peer address of the leader.
    :param term: the leader's consensus term.
    :param voters: peer addresses of the directory log's replicas that vote in elections.
    :param table_version: version of the newest route table; -1 for none.
    :param daemons: daemons whose last renewal of their directory view is recent.
    :param endpoints: records of the known endpoints.
    :param loading: pairs of endpoint and the model whose weights it loads.
    :param version_by_model: newest published weight version by model.
    :param duties: the duties that involve orders, with the daemon that performs each.
    :param closed_window: newest usage window whose counts are final; -1 for none.
    :param evacuated: data centres whose endpoints get no new requests.
    """

    leader: str
    term: int
    voters: tuple[str, ...]
    table_version: int
    daemons: tuple[DaemonStatus, ...]
    endpoints: tuple[EndpointRecord, ...]
    loading: tuple[tuple[str, str], ...]
    version_by_model: dict[str, int]
    duties: tuple[DutyStatus, ...]
    closed_window: int
    evacuated: tuple[str, ...] = ()


@dataclass(frozen=True)
class ReadJobsStatus:
    """Asks the jobs' leader for its status."""


@dataclass(frozen=True)
class JobStatus:
    """
    State of a stored job.

    :param job: id of the job.
    :param client_account: account that submitted the job.
    :param model: name of the model.
    :param total: number of items.
    :param listed: number of items whose result has a position in the job's result list.
    :param running: number of items that run now.
    :param halves: number of items without a result whose partial output is stored.
    :param ended: whether the job has ended.
    :param age_s: seconds since the submission.
    :param held: whether an operator holds the job.
    """

    job: str
    client_account: str
    model: str
    total: int
    listed: int
    running: int
    halves: int
    ended: bool
    age_s: float
    held: bool = False


@dataclass(frozen=True)
class RunnerStatus:
    """
    State of a daemon that runs items of jobs.

    :param address: IP:port of its peer server.
    :param data_centre: data centre of its VM.
    :param running: number of items that the daemon runs now.
    """

    address: str
    data_centre: str
    running: int


@dataclass(frozen=True)
class JobsStatus:
    """
    Status of the jobs, as recorded by their leader.

    :param leader: peer address of the leader.
    :param term: the leader's consensus term.
    :param voters: peer addresses of the jobs log's replicas that vote in elections.
    :param jobs: the stored jobs.
    :param runners: daemons that run items.
    """

    leader: str
    term: int
    voters: tuple[str, ...]
    jobs: tuple[JobStatus, ...]
    runners: tuple[RunnerStatus, ...]


__all__ = [
    "DaemonStatus",
    "DirectoryStatus",
    "DutyStatus",
    "JobStatus",
    "JobsStatus",
    "ReadDirectoryStatus",
    "ReadJobsStatus",
    "RunnerStatus",
]
