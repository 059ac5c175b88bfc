"""
The service `jobs`, which runs on every store.

On the leader of the jobs' log the service accepts and ends jobs, returns their results, and assigns
their items to runners. On the other stores it only answers `ReadListed`.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.job_reads import (
    ReadBody,
    ReadListed,
    ReadResults,
)
from ibisspring_core.messages.job_uploads import ChunksStored, SubmitUpload, UploadChunk
from ibisspring_core.messages.jobs import (
    PART,
    EndJob,
    JobAccepted,
    JobEnded,
    ReportWork,
    SubmitJob,
    TakeWork,
    UnknownJob,
    Work,
    WorkReported,
)
from ibisspring_decisions.paced_sends import forwarded_part, requests_per_window
from ibisspring_jobs.admission import Admission
from ibisspring_jobs.commands import COMMANDS, CloseJob, ForgetJobs
from ibisspring_jobs.dispatch_load import DispatchLoad
from ibisspring_jobs.dispatcher import DispatchContext, Dispatcher
from ibisspring_jobs.job_commits import JobCommits
from ibisspring_jobs.job_reads import JobReads
from ibisspring_jobs.paced_decisions import PacedDecisions
from ibisspring_jobs.peaks import Peaks
from ibisspring_jobs.result_commits import ResultCommits

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import HeldRun, ItemFailure, ItemResult, Job, TextPart
    from ibisspring_core.settings.vm import VmSettings

# Seconds between two checks by the jobs' leader. In each, it abandons items past their job's time
# limit, assigns waiting items, and moves runs away from slow engines.
TICK_S = 0.1


class Jobs:
    """Answers messages about jobs: from entries for their callers, and from runners."""

    name = "jobs"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._dispatcher: Dispatcher | None = None
        self._lease_was_lost = False
        self._peaks = Peaks()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Jobs:
        """
        Build the service `jobs` of a store.

        :param settings: the store's settings, already validated.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """
        Register the message handlers, and assign items after each change of a job or endpoint.

        The checks every TICK_S seconds are started as well.
        """
        self._consensus = kernel.find("consensus")
        self._state = kernel.find("jobs_state")
        self._view = kernel.find("directory_view")
        self._counters = kernel.find("counters")
        self._load = DispatchLoad(self._counters)
        self._decisions = PacedDecisions(self._decide, self._load.decided)
        self._commits = JobCommits(self._state, self._counters, self._propose)
        self._admission: Admission | None = None
        if self._settings.policy.admission:
            self._admission = Admission(
                self._settings,
                self._state,
                self._view,
                self._consensus,
                self._counters,
                self._propose,
                self._commits.commit,
                self.dispatcher,
                self.has_leader_lease,
            )
        self._results = ResultCommits(self._state, self._propose)
        self.reads = JobReads(self._state, self._consensus, self.has_leader_lease)
        self._state.subscribe(self._on_job_changed)
        self._view.subscribe(self._decisions.request)
        server = kernel.find("peer_server")
        handler_by_type = {
            SubmitJob: self.submit,
            UploadChunk: self._commits.store_chunk,
            SubmitUpload: self.submit_upload,
            ReadResults: self.reads.read_results,
            ReadBody: self.reads.read_body,
            EndJob: self.end_job,
            TakeWork: self.take_work,
            ReportWork: self.report_work,
        }
        for message_type, handler in handler_by_type.items():
            server.register_handler(message_type, self._leader_only(handler))
        server.register_handler(ReadListed, self.reads.read_listed)
        self._ticks = kernel.find("timer").subscribe("jobs", TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop the checks of time limits and slow runs that take place every TICK_S seconds."""
        self._ticks.cancel()
        self._decisions.stop()

    def has_leader_lease(self) -> bool:
        """
        Whether this store leads the jobs' log and its leader lease has not expired.

        No other store can lead during the lease.
        """
        return self._consensus.is_leader and self._consensus.lease_left_s() > 0

    def peak_demand(self) -> tuple[tuple[str, int], ...]:
        """
        Return pairs of a service's name and the recent maximum number of its open items.

        An item is open if it has no listed result and its job has not ended.
        """
        return tuple(sorted(self._peaks.peak_by_service.items()))

    def oldest_allowed_versions(self) -> tuple[tuple[str, int], ...]:
        """Return pairs of a model and the oldest weight version that its newest job accepts."""
        newest_by_model: dict[str, Job] = {}
        for job_record in self._state.job_by_id.values():
            newest = newest_by_model.get(job_record.job.model)
            if newest is None or job_record.job.submitted_s > newest.submitted_s:
                newest_by_model[job_record.job.model] = job_record.job
        return tuple(sorted((model, job.min_version) for model, job in newest_by_model.items()))

    def _leader_only(self, handler: Any) -> Any:
        async def answer(message: Any) -> Any:
            if not self.has_leader_lease():
                return NotLeader(self._consensus.leader_hint)
            return await handler(message)

        return answer

    def dispatcher(self) -> Dispatcher:
        """
        Return the dispatcher of the current consensus term; create it at the first call in a term.

        The number of the term is the dispatcher's epoch.
        """
        term = self._consensus.term
        if self._dispatcher is None or self._dispatcher.epoch != term:
            view = self._view
            context = DispatchContext(
                view.serving,
                self._service_terms,
                view.wall_s,
                self._is_loading,
                self._paced_limit,
                view.is_cold,
                self._settings.is_in_regions,
                self._settings.policy,
                counters=self._counters,
            )
            self._dispatcher = Dispatcher(self._state, context, term, boot_now())
            eliot.log_message("jobs:leads", term=term, daemon=self._settings.daemon)
        return self._dispatcher

    def _is_loading(self, endpoint: str, model: str) -> bool:
        return (endpoint, model) in self._view.view.loading

    def _service_terms(self, service: str) -> Any:
        index = self._view.index
        return index.service_by_name.get(service) if index is not None else None

    def _paced_limit(self, service: str) -> int | None:
        terms = self._service_terms(service)
        if terms is None:
            return None
        settings = self._settings
        limit = requests_per_window(
            terms.cold_requests_per_s, settings.cold_overshoot, settings.cold_slack
        )
        if limit is None or service not in self._view.index.forwarded_services:
            return limit
        return max(1, limit - forwarded_part(limit))

    def _on_job_changed(self, job: str) -> None:
        self.reads.job_changed()
        if self._dispatcher is not None:
            self._dispatcher.cancel_finished_runs(job)
        self._decisions.request()

    def _decide(self) -> None:
        if self.has_leader_lease():
            self.dispatcher().assign_waiting_items(boot_now())

    async def _tick(self, now: float) -> None:
        if not self.has_leader_lease():
            self._lease_was_lost = True
            return
        dispatcher = self.dispatcher()
        if self._lease_was_lost:
            # Without the lease this store answered no runner.
            self._lease_was_lost = False
            dispatcher.runners.restart_timeouts(now)
        self._peaks.update(self._state, now)
        results_by_job: dict[str, list[ItemResult]] = {}
        for job, result in dispatcher.sweep(now):
            results_by_job.setdefault(job, []).append(result)
        await self._results.commit_results(results_by_job)
        await self._remove_expired_jobs()
        await self._commits.drop_idle(now)
        await self._keep_speeds(dispatcher, now)
        if self._admission is not None:
            await self._admission.tick(now, self._peaks.peak_by_service)
        self._decisions.request()
        self._load.report(
            now, len(dispatcher.runners.runner_by_address), len(dispatcher.run_by_number)
        )
        dispatcher.move_stragglers(now)
        dispatcher.preempt(now)
        if self._settings.policy.shares:
            await self._keep_usage(dispatcher, now)

    async def _keep_usage(self, dispatcher: Dispatcher, now: float) -> None:
        dispatcher.engine_time.sample(dispatcher.run_by_number.values(), now)
        usage = dispatcher.engine_time.usage_to_keep(now)
        if usage is not None:
            await self._propose(usage)

    async def _keep_speeds(self, dispatcher: Dispatcher, now: float) -> None:
        if dispatcher.speed_policy is None:
            return
        command = dispatcher.speed_policy.update(now)
        if command is not None:
            await self._propose(command)

    async def _remove_expired_jobs(self) -> None:
        wall_s = self._view.wall_s()
        expired = []
        for job_id, job_record in self._state.job_by_id.items():
            open_until_s = job_record.job.submitted_s + job_record.job.give_up_s
            keep_until_s = job_record.job.submitted_s + self._settings.result_keep_s
            if wall_s > max(open_until_s, keep_until_s) + TICK_S:
                expired.append(job_id)
        if expired:
            await self._propose(ForgetJobs(tuple(expired)))

    async def _propose(self, command: Any) -> Any:
        return await self._consensus.propose(COMMANDS.encode(command))

    async def submit(self, message: SubmitJob) -> Any:
        """
        Accept a job, and answer once a majority of the stores has committed it.

        A job that was accepted before is not changed.
        """
        job = message.job
        if self._admission is not None:
            return await self._admission.submit(job)
        if job.job not in self._state.job_by_id:
            accepted = replace(job, submitted_s=self._view.wall_s())
            committed = await self._commits.commit(accepted)
            if isinstance(committed, Refusal):
                return committed
            if job.job in self._state.job_by_id:
                eliot.log_message(
                    "jobs:accepted", job=job.job, items=len(job.items), model=job.model
                )
        job_record = self._state.job_by_id.get(job.job)
        if job_record is None or job_record.job.client_account != job.client_account:
            return UnknownJob()
        return JobAccepted()

    async def submit_upload(self, message: SubmitUpload) -> Any:
        """Accept a job whose chunks are stored, as `submit`; if some are missing, say which."""
        if message.job.job in self._state.job_by_id:
            return await self.submit(SubmitJob(message.job))
        job = self._commits.find_uploaded(message)
        if isinstance(job, ChunksStored):
            return job
        return await self.submit(SubmitJob(job))

    async def end_job(self, message: EndJob) -> Any:
        """
        End a job, and answer once its end is committed.

        The job's runs are cancelled before the answer.
        """
        job_record = await self.reads.find_job(message)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        if not job_record.ended:
            committed = await self.close_job(message.job)
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("jobs:ended", job=message.job, listed=len(job_record.results))
        return JobEnded()

    async def close_job(self, job: str) -> Any:
        """
        Commit the end of a job; its runs are cancelled at once, as the commit may take long.

        :return: the command's `Committed`, or a refusal.
        """
        if self.has_leader_lease():
            self.dispatcher().end_job(job)
        return await self._propose(CloseJob(job))

    async def take_work(self, call: TakeWork) -> Any:
        """
        Answer a runner's call with new assignments and with the numbers of runs to stop.

        If there are neither assignments nor runs to stop, wait up to `hold_s` seconds for some.
        """
        dispatcher = self.dispatcher()
        if call.epoch != dispatcher.epoch:
            # The runner's runs belong to an earlier epoch. The answer contains the current epoch;
            # when the runner receives it, the runner calls again and offers these runs.
            dispatcher.adoption.runner_called(call, boot_now())
            dispatcher.register_call(replace(call, running=(), free=0), boot_now())
            return Work(dispatcher.epoch)
        called_at = boot_now()
        runner = dispatcher.register_call(call, called_at)
        dispatcher.adopt(runner, call.held, called_at)
        if not await self._record_held_failures(dispatcher, call.held, called_at):
            return NotLeader(self._consensus.leader_hint)
        runner.waiting = True
        runner.wake.clear()
        self._load.called()
        await self._decisions.wait()
        if not (runner.outbox or runner.cancelled or runner.moved or call.held):
            try:
                async with asyncio.timeout(call.hold_s):
                    await runner.wake.wait()
            except TimeoutError:
                pass
        if runner.sequence != call.sequence:
            return Work(dispatcher.epoch)
        runner.waiting = False
        runner.answered_at = boot_now()
        # Answers of one decision leave one after the other. Their assignments were made earlier,
        # some even before this call.
        held_until = runner.first_assigned_at if runner.outbox else runner.answered_at
        work = Work(
            dispatcher.epoch,
            runner.take_outbox(),
            tuple(runner.cancelled),
            tuple(runner.moved),
            held_until - called_at,
            tuple(runner.adopted),
        )
        runner.cancelled.clear()
        runner.moved.clear()
        runner.adopted.clear()
        if not self.has_leader_lease():
            return NotLeader(self._consensus.leader_hint)
        return work

    async def report_work(self, message: ReportWork) -> Any:
        """Process the outcomes of runs, and answer once their texts and results are committed."""
        dispatcher = self.dispatcher()
        if message.epoch != dispatcher.epoch:
            return WorkReported(accepted=False)
        results_by_job: dict[str, list[ItemResult]] = {}
        parts_by_job: dict[str, list[TextPart]] = {}
        now = boot_now()
        for reported in message.outcomes:
            if self._admission is not None:
                self._admission.load.run_reported(dispatcher, reported, now)
            dispatcher.release_connection(reported, now)
            if dispatcher.speed_policy is not None:
                run = dispatcher.run_by_number.get(reported.number)
                dispatcher.speed_policy.record_end(run, reported, now)
            for outcome in dispatcher.outcomes.split(reported):
                if outcome.kind != "done" and (outcome.events or outcome.whole):
                    job_and_part = dispatcher.outcomes.accept_part(outcome)
                    if job_and_part is not None:
                        parts_by_job.setdefault(job_and_part[0], []).append(job_and_part[1])
                if outcome.kind == PART:
                    continue
                job_and_result = dispatcher.outcomes.process(outcome, now)
                if job_and_result is not None:
                    results_by_job.setdefault(job_and_result[0], []).append(job_and_result[1])
        failures_by_job = dispatcher.outcomes.take_failures()
        self._load.called()
        self._decisions.request()
        # A result without output refers to the parts in the log, so the parts are committed first.
        if not await self._results.commit_texts(parts_by_job):
            return NotLeader(self._consensus.leader_hint)
        if not await self._commit_ends(failures_by_job, results_by_job):
            return NotLeader(self._consensus.leader_hint)
        return WorkReported()

    async def _record_held_failures(
        self, dispatcher: Dispatcher, held_runs: tuple[HeldRun, ...], now: float
    ) -> bool:
        """Count failed runs whose reports no leader has confirmed; return False if this failed."""
        results_by_job: dict[str, list[ItemResult]] = {}
        for held in held_runs:
            job_and_result = dispatcher.outcomes.process_held(held, now) if held.failure else None
            if job_and_result is not None:
                results_by_job.setdefault(job_and_result[0], []).append(job_and_result[1])
        return await self._commit_ends(dispatcher.outcomes.take_failures(), results_by_job)

    async def _commit_ends(
        self,
        failures_by_job: dict[str, list[ItemFailure]],
        results_by_job: dict[str, list[ItemResult]],
    ) -> bool:
        committed = await asyncio.gather(
            self._results.commit_failures(failures_by_job),
            self._results.commit_results(results_by_job),
        )
        return all(committed)


__all__ = ["Jobs"]
