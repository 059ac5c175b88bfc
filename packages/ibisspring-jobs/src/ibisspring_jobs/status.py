"""The service `jobs_status`: reports jobs and runners to the tool of operators."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.status import JobsStatus, JobStatus, ReadJobsStatus, RunnerStatus

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings


class StatusService:
    """Answers `ReadJobsStatus` on the leader of the jobs' log."""

    name = "jobs_status"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings

    @classmethod
    def from_config(cls, settings: VmSettings) -> StatusService:
        """
        Build the service `jobs_status` of a store.

        :param settings: the store's settings, already validated.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Register the handler of `ReadJobsStatus`, and look up the services that it reads."""
        self._jobs = kernel.find("jobs")
        self._state = kernel.find("jobs_state")
        self._view = kernel.find("directory_view")
        self._consensus = kernel.find("consensus")
        kernel.find("peer_server").register_handler(ReadJobsStatus, self.read)

    async def stop(self) -> None:
        """No-op: there is no task or connection to close."""

    async def read(self, message: ReadJobsStatus) -> Any:
        """
        Return the state of all jobs and runners.

        :return: the status, with the youngest job first; NotLeader if this store is not the leader
            of the jobs' log.
        """
        if not self._jobs.has_leader_lease():
            return NotLeader(self._consensus.leader_hint)
        dispatcher = self._jobs.dispatcher()
        running_by_job = Counter(run.job for run in dispatcher.run_by_number.values())
        wall_s = self._view.wall_s()
        jobs = []
        for job_id, job_record in self._state.job_by_id.items():
            jobs.append(
                JobStatus(
                    job=job_id,
                    client_account=job_record.job.client_account,
                    model=job_record.job.model,
                    total=job_record.total,
                    listed=len(job_record.results),
                    running=running_by_job[job_id],
                    halves=len(job_record.parts_by_item),
                    ended=job_record.ended,
                    age_s=round(wall_s - job_record.job.submitted_s, 3),
                    held=job_record.held,
                )
            )
        runners = [
            RunnerStatus(runner.address, runner.data_centre, len(runner.sequence_by_number))
            for runner in dispatcher.runners.runner_by_address.values()
        ]
        return JobsStatus(
            leader=self._settings.daemon,
            term=self._consensus.term,
            voters=tuple(voter.daemon for voter in self._consensus.core.members.voters),
            jobs=tuple(sorted(jobs, key=lambda status: status.age_s)),
            runners=tuple(sorted(runners, key=lambda status: status.address)),
        )


__all__ = ["StatusService"]
