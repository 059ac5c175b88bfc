"""What operators ask the leaders of the directory and of the jobs."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.endpoints import EndpointRecord


@dataclass(frozen=True)
class ReadDirectoryStatus:
    """Asks the directory's leader how things are."""


@dataclass(frozen=True)
class DaemonStatus:
    """
    A daemon that renewed lately.

    :param table_version: route table in force there; -1 for none.
    :param heard_ago_s: seconds since its last renewal.
    :param leads_jobs: it leads the jobs' log.
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
    A duty towards the outside, which one daemon holds at a time.

    :param holder: its daemon; empty while a new leader waits until an earlier holder sends no more.
    :param number: rises with each holder.
    :param waits_s: seconds until the new leader may take it up.
    """

    duty: str
    holder: str
    number: int
    waits_s: float


@dataclass(frozen=True)
class DirectoryStatus:
    """
    The directory as its leader knows it.

    :param voters: addresses of the replicas of its log.
    :param loading: pairs of endpoint and model that loads.
    :param closed_window: newest usage window whose counts are fixed; -1 for none.
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


@dataclass(frozen=True)
class ReadJobsStatus:
    """Asks the jobs' leader how things are."""


@dataclass(frozen=True)
class JobStatus:
    """
    A job that is kept.

    :param listed: items whose results are listed.
    :param running: items that run now.
    :param halves: items of which a part is kept.
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


@dataclass(frozen=True)
class RunnerStatus:
    """A daemon that runs items."""

    address: str
    data_centre: str
    running: int


@dataclass(frozen=True)
class JobsStatus:
    """
    The jobs as their leader knows them.

    :param voters: addresses of the replicas of their log.
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
