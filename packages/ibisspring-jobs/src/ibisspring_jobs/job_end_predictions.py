"""Compares the predicted ends of accepted jobs with their real ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_jobs.state import JobRecord, JobsState


class Predictions:
    """The predicted ends of the jobs that this leader accepted and whose caller still waits."""

    def __init__(self, state: JobsState, counters: Counters) -> None:
        self._state = state
        self._counters = counters
        self._end_s_by_job: dict[str, float] = {}

    def add(self, job: str, predicted_end_s: float) -> None:
        """Record when the last wanted group of a job is expected to end."""
        self._end_s_by_job[job] = predicted_end_s

    def check(self, wall_s: float) -> None:
        """
        Observe the error of each prediction whose job has the groups that its caller waits for.

        :param wall_s: present wall-clock time, in seconds since 1970.
        """
        for job, predicted_end_s in tuple(self._end_s_by_job.items()):
            job_record = self._state.job_by_id.get(job)
            if job_record is None:
                del self._end_s_by_job[job]
                continue
            # A caller that has what it waits for ends its job, which removes the open items.
            if not job_record.ended and not _has_wanted_groups(job_record):
                continue
            del self._end_s_by_job[job]
            error_s = wall_s - predicted_end_s
            outcome = "later" if error_s > 0 else "earlier"
            self._counters.observe("job_end_error_seconds", abs(error_s), outcome)
            eliot.log_message("jobs:end_predicted", job=job, error_s=error_s)


def _has_wanted_groups(job_record: JobRecord) -> bool:
    open_groups = {item.group for item in job_record.item_by_id.values()}
    wanted = job_record.job.wanted_groups or len(job_record.groups)
    return len(job_record.groups) - len(open_groups) >= wanted


__all__ = ["Predictions"]
