"""The service `jobs_status`: tells operators what the jobs' leader knows."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.status import JobsStatus, JobStatus, ReadJobsStatus, RunnerStatus

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings


class StatusService:
    """Answers on the leader."""

    name = "jobs_status"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings

    @classmethod
    def from_config(cls, settings: VmSettings) -> StatusService:
        """
        Build the service.

        :param settings: checked settings of a store.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Register what is answered here."""
        self._jobs = kernel.find("jobs")
        self._state = kernel.find("jobs_state")
        self._view = kernel.find("directory_view")
        self._consensus = kernel.find("consensus")
        kernel.find("peer_server").answer(ReadJobsStatus, self.read)

    async def stop(self) -> None:
        """Nothing to stop."""

    async def read(self, message: ReadJobsStatus) -> Any:
        """Tell how things are, on the leader."""
        if not self._jobs.leads():
            return NotLeader(self._consensus.leader_hint)
        dispatcher = self._jobs.dispatcher()
        running_by_job = Counter(run.job for run in dispatcher.run_by_number.values())
        wall_s = self._view.wall_s()
        jobs = []
        for job_id, kept in self._state.job_by_id.items():
            jobs.append(
                JobStatus(
                    job=job_id,
                    client_account=kept.job.client_account,
                    model=kept.job.model,
                    total=kept.total,
                    listed=len(kept.results),
                    running=running_by_job[job_id],
                    halves=len(kept.parts_by_item),
                    ended=kept.ended,
                    age_s=round(wall_s - kept.job.submitted_s, 3),
                )
            )
        runners = [
            RunnerStatus(one.address, one.data_centre, len(one.sequence_by_number))
            for one in dispatcher.runners.runner_by_address.values()
        ]
        return JobsStatus(
            leader=self._settings.daemon,
            term=self._consensus.term,
            voters=tuple(voter.daemon for voter in self._consensus.core.members.voters),
            jobs=tuple(sorted(jobs, key=lambda one: one.age_s)),
            runners=tuple(sorted(runners, key=lambda one: one.address)),
        )


__all__ = ["StatusService"]
