"""Commands of the jobs' log."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.codec import KindCodec
from ibisspring_core.messages.jobs import ItemResult, Job


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
class CloseJob:
    """Nothing of the job is to run any more."""

    job: str


@dataclass(frozen=True)
class ForgetJobs:
    """Drop jobs that nobody may ask for any more."""

    jobs: tuple[str, ...]


COMMANDS = KindCodec.from_types(AcceptJob, RecordResults, CloseJob, ForgetJobs)

__all__ = ["COMMANDS", "AcceptJob", "CloseJob", "ForgetJobs", "RecordResults"]
