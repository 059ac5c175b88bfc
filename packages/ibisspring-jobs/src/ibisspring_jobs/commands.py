"""Commands of the jobs' log."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.codec import KindCodec
from ibisspring_core.messages.jobs import ItemResult, Job, TextPart


@dataclass(frozen=True)
class AcceptJob:
    """Keep a job; a second one under its id changes nothing."""

    job: Job


@dataclass(frozen=True)
class RecordResults:
    """List results, each item once, in this order."""

    job: str
    results: tuple[ItemResult, ...]


@dataclass(frozen=True)
class RecordKept:
    """
    List results whose texts are kept whole already; they come without their output.

    A text then travels to the other stores once, and not as its parts and once more as its result.
    """

    job: str
    results: tuple[ItemResult, ...]


@dataclass(frozen=True)
class KeepTexts:
    """Keep what was made of items that have not ended."""

    job: str
    parts: tuple[TextPart, ...]


@dataclass(frozen=True)
class CloseJob:
    """Nothing of the job is to run any more."""

    job: str


@dataclass(frozen=True)
class ForgetJobs:
    """Drop jobs that nobody may ask for any more."""

    jobs: tuple[str, ...]


COMMANDS = KindCodec.from_types(
    AcceptJob, RecordResults, RecordKept, KeepTexts, CloseJob, ForgetJobs
)

__all__ = [
    "COMMANDS",
    "AcceptJob",
    "CloseJob",
    "ForgetJobs",
    "KeepTexts",
    "RecordKept",
    "RecordResults",
]
