"""The service `runner`: requests items from the jobs dispatcher and runs them at engines."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.jobs import LATE, PART, Outcome, ReportWork, SubmitJob, TakeWork, Work
from ibisspring_core.portions import count_within
from ibisspring_gateway.active_runs import ActiveRun, ActiveRuns
from ibisspring_gateway.exchange import LASTING_RETRY_AFTER_S
from ibisspring_gateway.item_run import run_item
from ibisspring_gateway.job_uploads import is_large, submit_in_chunks
from ibisspring_gateway.reward_calls import ScoringFailure

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import AdoptedRun, Assignment, HeldRun, Job
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_gateway.entry_limits import EntryLimits

# Most event streams of engines that an entry of unknown size reads at the same time.
MAX_STREAMS = 48
# Seconds for which the dispatcher may delay its response to a request for work while it has no
# work; also the runner's pause after a request for work that failed.
WORK_HOLD_S = 0.4
CALL_TIMEOUT_S = 1.0
FIND_LEADER_TIMEOUT_S = 3.0
# Time limits of a caller's request about jobs: in total, and for each store that is called. Callers
# repeat such a request on their own after 1 or 2 s without a response.
JOB_CALL_TIMEOUT_S = 2.0
JOB_ATTEMPT_TIMEOUT_S = 0.8
# Bytes per second at which a large job is expected to be committed; extends the first limit.
JOB_BYTES_PER_S = 4 * 1024 * 1024
# Seconds from the first unreported outcome until a report is sent. All outcomes of this time are in
# one report and are committed together.
REPORT_DELAY_S = 0.02
# Size of the texts in one report, which has to reach the leader and to be committed within the time
# limit of its call.
MAX_REPORT_CHARS = 4 * 1024 * 1024
# Interval at which the new events of current runs are reported and stored in the jobs log. When an
# entry, the leader of the jobs log or the power of all VMs is lost, each text then loses on
# average the events of half this interval, instead of all its events.
PART_INTERVAL_S = 1.0
# Time limit of the last report of outcomes when the daemon stops. The report uses part of the time
# between SIGTERM and the kill of the process.
LAST_REPORT_TIMEOUT_S = 0.8
# Kind of the outcome of an item that was not sent to its endpoint.
TURNED_AWAY = "turned_away"
# Kind of the outcome of a run that was stopped because this entry is near a limit.
RETURNED = "returned"


class Runner:
    """
    Runs the items that the jobs dispatcher assigns to this entry.

    One task requests work, another task reports outcomes, and each run has a task of its own. The
    run of an item with a reward call continues after the engine's text is complete. The text is
    reported and stored in the jobs log during the reward call, so that storing it does not delay
    the item's result.
    """

    name = "runner"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._epoch = 0
        self._sequence = 0
        self._draining = False
        self._runs = ActiveRuns()
        self._limits: EntryLimits | None = None
        self._pending_outcomes: list[Outcome] = []
        self._report_due = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, settings: VmSettings) -> Runner:
        """
        Build the runner of an entry.

        :param settings: validated settings of the entry.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start the tasks that request work from the dispatcher and report outcomes to it."""
        self._view = kernel.find("directory_view")
        self._connections = kernel.find("connections")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")
        self._reward_calls = kernel.find("reward_calls")
        self._gate = kernel.find("send_gate")
        self._limits = kernel.find_optional("entry_limits")
        if self._limits is not None:
            self._limits.streams = self._runs.streams
            self._limits.give_back = self._give_back
        self.leader = LeaderClient(kernel.find("peer_client"), self.job_addresses)
        self._tasks = [
            asyncio.create_task(self._request_work(), name="runner:take"),
            asyncio.create_task(self._report_outcomes(), name="runner:report"),
        ]
        self._parts_timer = kernel.find("timer").subscribe(
            "runner", PART_INTERVAL_S, self._report_parts
        )

    async def stop(self) -> None:
        """Cancel all runs and report their events, so that other runners can continue the items."""
        self._parts_timer.cancel()
        for task in self._tasks:
            task.cancel()
        tasks = [run.task for run in self._runs.all() if run.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._pending_outcomes:
            message = ReportWork(
                self._settings.peer_address, self._epoch, tuple(self._pending_outcomes)
            )
            await self.leader.call(message, LAST_REPORT_TIMEOUT_S, LAST_REPORT_TIMEOUT_S)

    def drain(self) -> None:
        """Stop requesting work from the dispatcher; current runs continue."""
        self._draining = True

    @property
    def running(self) -> int:
        """Number of assignments that are not cancelled and whose final outcome is not reported."""
        return len(self._runs)

    def job_addresses(self) -> tuple[str, ...]:
        """Return peer addresses of possible leaders of the jobs log, the most likely one first."""
        view = self._view.view
        founders = view.job_group.founders if view.job_group is not None else ()
        # A store without a replica of the jobs log is never its leader and does not know the
        # leader's address.
        replicas = (store.address for store in view.stores if not store.empty)
        hint = (view.job_leader,) if view.job_leader else ()
        return tuple(dict.fromkeys((*hint, *replicas, *(founder.address for founder in founders))))

    async def submit(self, job: Job) -> Any:
        """
        Submit a job to the leader of the jobs log.

        :return: the leader's answer; a refusal where the log has replicas outside the job's
            regions, since each replica stores the bodies of the job.
        """
        for store in self._view.view.stores:
            if not store.empty and not self._gate.is_in_regions(store.data_centre, job.regions):
                detail = f"jobs are stored in {store.data_centre} too"
                return Refusal(Reason.OUTSIDE_REGIONS, True, LASTING_RETRY_AFTER_S, detail)
        # By this time the leader tells a new submission from a late copy of an earlier one.
        sent = replace(job, submitted_s=self._view.wall_s())
        if not is_large(job):
            return await self.call_jobs_leader(SubmitJob(sent))
        size = sum(len(item.body) for item in job.items)
        timeout_s = JOB_CALL_TIMEOUT_S + size / JOB_BYTES_PER_S
        return await submit_in_chunks(sent, self.call_jobs_leader, self._view.wall_s, timeout_s)

    async def call_jobs_leader(self, message: Any, hold_s: float = 0.0) -> Any:
        """
        Forward a caller's request to the leader of the jobs log.

        :param message: a message that may be processed twice, since it is repeated at other stores.
        :param hold_s: seconds for which the leader may delay its response.
        :return: the leader's response; a refusal where no leader responded in time.
        """
        return await self.leader.call(
            message, JOB_CALL_TIMEOUT_S + hold_s, JOB_ATTEMPT_TIMEOUT_S + hold_s
        )

    async def _request_work(self) -> None:
        while True:
            self._sequence += 1
            accepts = not self._draining and self._gate.may_run_items()
            runs = self._runs.by_number
            offered = self._runs.offers()
            call = TakeWork(
                runner=self._settings.peer_address,
                data_centre=self._settings.data_centre,
                incarnation=self._incarnation,
                epoch=self._epoch,
                sequence=self._sequence,
                running=tuple(runs),
                free=self._free_streams() if accepts else 0,
                hold_s=WORK_HOLD_S,
                events=tuple(len(run.progress.data) for run in runs.values()),
                held=offered,
                capacity=self._limits.capacity if self._limits is not None else 0,
            )
            called_at_s = boot_now()
            answer = await self.leader.call(call, FIND_LEADER_TIMEOUT_S, CALL_TIMEOUT_S)
            if not isinstance(answer, Work):
                detail = answer.detail if isinstance(answer, Refusal) else repr(answer)
                eliot.log_message("runner:no_work_from", detail=detail)
                await asyncio.sleep(WORK_HOLD_S)
                continue
            if answer.epoch == self._epoch:
                self._resume_runs(offered, answer.adopted)
            delay_s = boot_now() - called_at_s - answer.held_s
            self._counters.observe("work_call_delay_seconds", max(0.0, delay_s), "answered")
            # The leader assigned the items at the earliest when it had received the call and the
            # stated time had passed.
            self._apply_work(answer, called_at_s + answer.held_s)

    def _free_streams(self) -> int:
        if self._limits is not None:
            return self._limits.free()
        return MAX_STREAMS - self._runs.streams()

    def _give_back(self, count: int) -> None:
        """Stop the runs with the most events left; other entries go on after the last ones."""
        for run in self._runs.longest_remaining(count):
            run.returned = True
            run.cancel()

    def _resume_runs(self, offered: tuple[HeldRun, ...], adopted: tuple[AdoptedRun, ...]) -> None:
        for rejected in self._runs.resume(offered, adopted, self._finish):
            # The dispatcher assigns the item again, after its stored text.
            self._queue_outcome(Outcome(rejected.number, "broken"))
        if offered:
            eliot.log_message("runner:resumed", offered=len(offered), adopted=len(adopted))

    def _apply_work(self, work: Work, assigned_at_s: float) -> None:
        if work.epoch != self._epoch:
            # Outcomes that are not confirmed are rebuilt from the held runs, if the new leader
            # adopts these.
            self._runs.hold_all()
            self._pending_outcomes.clear()
            self._epoch = work.epoch
        for number in work.cancelled:
            run = self._runs.by_number.pop(number, None)
            if run is not None:
                run.cancel()
        for number in work.moved:
            run = self._runs.by_number.get(number)
            # An item that is being scored has its complete text: it needs no other engine.
            if run is not None and not run.scoring:
                run.cancel()
        for assignment in work.assignments:
            run = ActiveRun(assignment, assignment.number)
            self._runs.add(run)
            begin_by_s = assigned_at_s + assignment.begin_within_s
            run.start(self._run_assignment(run, begin_by_s))

    async def _run_assignment(self, run: ActiveRun, begin_by_s: float) -> None:
        assignment = run.assignment
        refusal = self._gate.item_refusal(assignment, begin_by_s) if assignment.endpoint else None
        if refusal is not None:
            self._log_not_sent(assignment, refusal, begin_by_s)
            run.kind = LATE if refusal is Reason.STALE else TURNED_AWAY
        elif assignment.endpoint:
            kind = await self._generate_text(run)
            run.kind = RETURNED if run.returned and kind == "broken" else kind
        else:
            run.kind = "done"
        if self._runs.is_current(run):
            await self._finish(run)

    async def _finish(self, run: ActiveRun) -> None:
        """Report the end of a run's generation; make the item's reward call if it has one."""
        self._queue_large_parts(run)
        outcome = replace(run.progress.outcome(run.number, run.kind), run_id=run.run_id)
        if outcome.kind == "done" and run.assignment.item.reward is not None:
            if run.assignment.endpoint:
                self._queue_outcome(replace(outcome, kind=PART, whole=True))
            run.scoring = True
            outcome = await self._score(run, outcome.after + outcome.events)
            if not self._runs.is_current(run):
                return
        self._queue_outcome(outcome)

    def _log_not_sent(self, assignment: Assignment, refusal: Reason, begin_by_s: float) -> None:
        self._counters.add(f"runner.not_sent.{refusal.value}")
        eliot.log_message(
            "runner:not_sent",
            job=assignment.job,
            item=assignment.item.item,
            number=assignment.number,
            endpoint=assignment.endpoint,
            data_centre=assignment.data_centre,
            reason=refusal.value,
            view_age_s=round(self._view.age_s(), 3),
            late_s=round(boot_now() - begin_by_s, 3),
        )

    def _queue_large_parts(self, run: ActiveRun) -> None:
        for outcome in run.progress.large_parts(run.number):
            self._queue_outcome(outcome)

    def _queue_outcome(self, outcome: Outcome) -> None:
        self._pending_outcomes.append(outcome)
        self._report_due.set()

    async def _score(self, run: ActiveRun, after: int) -> Outcome:
        """Make an item's reward call; if the call is cancelled, another runner repeats it."""
        assignment = run.assignment
        started_at_s = boot_now()
        item = assignment.item
        try:
            scored = await self._reward_calls.score(
                item.reward,
                assignment.max_attempts,
                started_at_s + assignment.deadline_s,
                assignment.regions,
            )
        except asyncio.CancelledError:
            scored = ScoringFailure("broken", 0)
        if isinstance(scored, ScoringFailure):
            outcome = Outcome(run.number, scored.kind, after=after, whole=True)
        else:
            outcome = Outcome(run.number, "done", after=after, score=scored)
        took_s = boot_now() - started_at_s
        self._counters.add(f"reward_call.{outcome.kind}")
        self._counters.observe("reward_call_seconds", took_s, outcome.kind)
        eliot.log_message(
            "runner:scored",
            job=assignment.job,
            item=item.item,
            number=run.number,
            call=item.reward.request,
            kind=outcome.kind,
            reason="" if outcome.kind == "done" else outcome.kind,
            failures=scored.failures if isinstance(scored, ScoringFailure) else 0,
            text_from_elsewhere=not assignment.endpoint,
            took_s=round(took_s, 3),
        )
        return outcome

    async def _generate_text(self, run: ActiveRun) -> str:
        """Read the text of a run from its engine; return how the run ended."""
        assignment = run.assignment
        progress = run.progress
        started_at_s = boot_now()
        outcome = await run_item(assignment, self._connections, self._wire, progress)
        # `_finish` builds the outcome again, since a new leader may first have to adopt the run.
        progress.reported_events = outcome.after
        took_s = boot_now() - started_at_s
        self._counters.add(f"runner.{outcome.kind}")
        self._counters.observe("run_seconds", took_s, outcome.kind)
        eliot.log_message(
            "runner:ended",
            job=assignment.job,
            item=assignment.item.item,
            number=assignment.number,
            endpoint=assignment.endpoint,
            kind=outcome.kind,
            reason="" if outcome.kind == "done" else outcome.kind,
            resume_after=assignment.resume_after,
            events=len(progress.data),
            versions=outcome.versions,
            expected_version=assignment.expected_version,
            expected_tokens=assignment.item.expected_tokens,
            tokens=assignment.item.tokens,
            first_s=outcome.first_s,
            took_s=round(took_s, 3),
            until_close=progress.until_close,
            error=progress.error,
        )
        return outcome.kind

    async def _report_parts(self, now: float) -> None:
        """Queue the new events of the current runs for the next report."""
        for number, run in self._runs.by_number.items():
            if not run.kind and len(run.progress.data) > run.progress.reported_events:
                self._queue_large_parts(run)
                self._queue_outcome(run.progress.outcome(number, PART))

    async def _report_outcomes(self) -> None:
        while True:
            await self._report_due.wait()
            await asyncio.sleep(REPORT_DELAY_S)
            self._report_due.clear()
            epoch = self._epoch
            sizes = (len(outcome.output) for outcome in self._pending_outcomes)
            outcomes = tuple(self._pending_outcomes[: count_within(sizes, MAX_REPORT_CHARS)])
            if not outcomes:
                continue
            message = ReportWork(self._settings.peer_address, epoch, outcomes)
            answer = await self.leader.call(message, FIND_LEADER_TIMEOUT_S, CALL_TIMEOUT_S)
            if isinstance(answer, Refusal):
                self._report_due.set()
                continue
            if answer.accepted and epoch == self._epoch:
                del self._pending_outcomes[: len(outcomes)]
                if self._pending_outcomes:
                    self._report_due.set()
                for outcome in outcomes:
                    if outcome.kind != PART:
                        self._runs.by_number.pop(outcome.number, None)


__all__ = ["Runner"]
