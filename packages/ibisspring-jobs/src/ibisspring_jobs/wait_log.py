"""The service `jobs_wait_log`: logs on the jobs' leader why the items of a job wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_jobs.wait_causes import count_items, wait_causes

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_jobs.state import JobRecord

# Seconds between two checks. A job whose causes change gets at most one line in this time.
CHECK_S = 1.0


class WaitLog:
    """Logs `jobs:waits` when the causes for which a job's items wait have changed."""

    name = "jobs_wait_log"

    def __init__(self) -> None:
        self._reasons_by_job: dict[str, tuple[str, ...]] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> WaitLog:
        """
        Build the service of a store.

        :param settings: the store's settings, already validated.
        """
        return cls()

    async def start(self, kernel: Kernel) -> None:
        """Check every CHECK_S seconds."""
        self._jobs = kernel.find("jobs")
        self._state = kernel.find("jobs_state")
        self._checks = kernel.find("timer").subscribe("jobs_wait_log", CHECK_S, self.check)

    async def stop(self) -> None:
        """Stop the checks."""
        self._checks.cancel()

    async def check(self, now: float) -> None:
        """
        Log each job whose causes differ from those of the last check.

        :param now: seconds since boot.
        """
        if not self._jobs.has_leader_lease():
            self._reasons_by_job.clear()
            return
        for job in [job for job in self._reasons_by_job if job not in self._state.job_by_id]:
            del self._reasons_by_job[job]
        for job, job_record in self._state.job_by_id.items():
            if job_record.item_by_id or job in self._reasons_by_job:
                self._check_job(job, job_record, now)

    def _check_job(self, job: str, job_record: JobRecord, now: float) -> None:
        dispatcher = self._jobs.dispatcher()
        counts = count_items(dispatcher, job_record)
        reasons: tuple[str, ...] = ()
        if counts.waiting:
            causes = wait_causes(dispatcher, dispatcher.context, job_record, now)
            reasons = tuple(cause.reason for cause in causes)
        if reasons == self._reasons_by_job.get(job, ()):
            return
        self._reasons_by_job[job] = reasons
        if not reasons:
            del self._reasons_by_job[job]
        eliot.log_message(
            "jobs:waits",
            job=job,
            client_account=job_record.job.client_account,
            reasons=list(reasons),
            waiting=counts.waiting,
            running=counts.running,
        )


__all__ = ["WaitLog"]
