"""Computes from log lines how long and why the items of jobs waited."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_cli.log_lines import LogLine

WAIT_KIND = "jobs:waits"
# Lines after which items of a job no longer wait.
END_KINDS = ("jobs:ended", "jobs:ended_by_operator")
# Meaning of the reasons that the jobs' leader logs.
MEANING_BY_WAIT = {
    "held": "an operator holds the job: `ibisspring jobs release`",
    "adopting_runs": "a new leader of the jobs' log lets runners offer their runs first",
    "no_runner": "no entry in the job's regions accepts items",
    "no_engine": "no engine of the service serves",
    "engine_loading": "engines load weights of the model",
    "engine_old_version": "engines have weights older than the job's min_version",
    "engine_outside_regions": "engines lie outside the job's regions",
    "engine_paused": "a run at the engine ended badly just before",
    "no_free_slot": "all slots of the engines that may run it are in use",
    "other_groups_first": "items of other jobs use slots of these engines",
    "retry_delay": "the delay after a failed run has not passed",
}


@dataclass(frozen=True)
class WaitTime:
    """
    A time in which items of a job waited for the same reasons.

    :param job: id of the job.
    :param from_s: seconds after the first line that contains the explained id.
    :param seconds: length of the time; None if the logs end before it does.
    :param reasons: the reasons, the one that hides the others first.
    """

    job: str
    from_s: float
    seconds: float | None
    reasons: tuple[str, ...]

    @property
    def meaning(self) -> str:
        """What the first reason means."""
        return MEANING_BY_WAIT.get(self.reasons[0], "no explanation is known")


def wait_times(timed: Iterable[tuple[float, LogLine]], ids: frozenset[str]) -> tuple[WaitTime, ...]:
    """
    Return the times in which items of jobs waited.

    :param timed: log lines in time order, each with its time in seconds.
    :param ids: ids of the jobs to consider; other ids are ignored.
    """
    found: list[WaitTime] = []
    open_by_job: dict[str, tuple[float, tuple[str, ...]]] = {}
    for at_s, line in timed:
        job = line.fields.get("job")
        if not isinstance(job, str) or job not in ids:
            continue
        if line.kind != WAIT_KIND and line.kind not in END_KINDS:
            continue
        if job in open_by_job:
            from_s, reasons = open_by_job.pop(job)
            found.append(WaitTime(job, round(from_s, 3), round(at_s - from_s, 3), reasons))
        reasons = _reasons_of(line)
        if reasons:
            open_by_job[job] = (at_s, reasons)
    for job, (from_s, reasons) in open_by_job.items():
        found.append(WaitTime(job, round(from_s, 3), None, reasons))
    found.sort(key=lambda wait: wait.from_s)
    return tuple(found)


def _reasons_of(line: LogLine) -> tuple[str, ...]:
    reasons = line.fields.get("reasons")
    if not isinstance(reasons, list):
        return ()
    return tuple(reason for reason in reasons if isinstance(reason, str))


__all__ = ["MEANING_BY_WAIT", "WaitTime", "wait_times"]
