"""The commands that are replicated in the consensus log of the jobs."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.codec import KindCodec
from ibisspring_core.messages.jobs import ItemFailure, ItemResult, Job, TextPart
from ibisspring_decisions.account_shares import AccountUsage
from ibisspring_decisions.engine_speed import KnownSpeed
from ibisspring_decisions.job_admission import Reservation


@dataclass(frozen=True)
class AcceptJob:
    """Add a job; a second command with the same job id has no effect."""

    job: Job


@dataclass(frozen=True)
class UploadItems:
    """
    Store a chunk of the items of a job that is too large for one command.

    :param upload: id of the upload, the same for the same job at every entry.
    :param number: number of the chunk, from 0.
    :param data: bytes of the chunk, as `job_uploads.chunks_of` cuts them.
    """

    upload: str
    number: int
    data: bytes


@dataclass(frozen=True)
class AcceptUpload:
    """
    Add a job whose items were stored in chunks; no effect if chunks of it are missing.

    :param job: the job without its items.
    :param upload: id of the upload.
    :param items: number of the job's items.
    """

    job: Job
    upload: str
    items: int


@dataclass(frozen=True)
class DropUploads:
    """Remove the chunks of jobs that are not added."""

    uploads: tuple[str, ...]


@dataclass(frozen=True)
class RecordResults:
    """
    Append results to the job's list in this order.

    A result is skipped if its item already has a result in the list.
    """

    job: str
    results: tuple[ItemResult, ...]


@dataclass(frozen=True)
class RecordKept:
    """
    Append results whose complete text is already in the log as parts.

    The results come without their `output`, which each store joins from the parts. If they
    contained it, each text would be replicated twice: once as its parts and once in its result.
    """

    job: str
    results: tuple[ItemResult, ...]


@dataclass(frozen=True)
class KeepTexts:
    """Store parts of the texts of items that have no listed result yet."""

    job: str
    parts: tuple[TextPart, ...]


@dataclass(frozen=True)
class RecordFailures:
    """
    Count failed runs of items that have no listed result yet.

    If only the leader knew them, each new leader would begin to count anew, and an item that fails
    at each run would not be abandoned.
    """

    job: str
    failures: tuple[ItemFailure, ...]


@dataclass(frozen=True)
class CloseJob:
    """End a job: its items without a listed result are removed and no longer run."""

    job: str


@dataclass(frozen=True)
class ForgetJobs:
    """Remove jobs whose results are past their retention time."""

    jobs: tuple[str, ...]


@dataclass(frozen=True)
class KeepUsage:
    """Replace the engine time that client accounts have used."""

    usage: tuple[AccountUsage, ...]


@dataclass(frozen=True)
class KeepSpeeds:
    """Replace the learned speeds of the engines."""

    speeds: tuple[KnownSpeed, ...]


@dataclass(frozen=True)
class ReservePlace:
    """
    Promise a place to a rejected job.

    The first reservation of a job that holds a place stays in force; a second one has no effect,
    and neither has one of a job that was accepted. A record without a place (0 slot-seconds) is
    replaced.
    """

    reservation: Reservation


@dataclass(frozen=True)
class DropReservations:
    """Remove the reservations of jobs that returned or whose places have expired."""

    jobs: tuple[str, ...]


@dataclass(frozen=True)
class HoldJob:
    """
    Hold or release a job. The items of a held job do not start; those that run continue.

    The command has no effect if it was applied before, or if another request was applied since the
    one that its operator has read.

    :param request: id of the operator's request.
    :param after: id of the newest request that the operator has read; empty for none.
    """

    job: str
    held: bool
    request: str
    after: str = ""


COMMANDS = KindCodec.from_types(
    AcceptJob,
    RecordResults,
    RecordKept,
    KeepTexts,
    CloseJob,
    ForgetJobs,
    KeepUsage,
    KeepSpeeds,
    ReservePlace,
    DropReservations,
    HoldJob,
    UploadItems,
    AcceptUpload,
    DropUploads,
    RecordFailures,
)

__all__ = [
    "COMMANDS",
    "AcceptJob",
    "AcceptUpload",
    "CloseJob",
    "DropReservations",
    "DropUploads",
    "ForgetJobs",
    "HoldJob",
    "KeepSpeeds",
    "KeepTexts",
    "KeepUsage",
    "RecordFailures",
    "RecordKept",
    "RecordResults",
    "ReservePlace",
    "UploadItems",
]
