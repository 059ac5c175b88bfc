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
from ibisspring_core.messages.jobs import PART, Outcome, ReportWork, SubmitJob, TakeWork, Work
from ibisspring_decisions.paced_sends import MAX_PACED_DELAY_S
from ibisspring_gateway.exchange import LASTING_RETRY_AFTER_S
from ibisspring_gateway.item_run import RunProgress, run_item
from ibisspring_gateway.reward_calls import ScoringFailure

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import Assignment, Job
    from ibisspring_core.settings.vm import VmSettings

# Most event streams of engines that one entry reads at the same time; all engines together
# currently have 60 slots.
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
# Seconds from the first unreported outcome until a report is sent. All outcomes of this time are in
# one report and are committed together.
REPORT_DELAY_S = 0.02
# Interval at which the new events of current runs are reported and stored in the jobs log. When an
# entry, the leader of the jobs log or the power of all VMs is lost, each text then loses on
# average the events of half this interval, instead of all its events.
PART_INTERVAL_S = 1.0
# Time limit of the last report of outcomes when the daemon stops. The report uses part of the time
# between SIGTERM and the kill of the process.
LAST_REPORT_TIMEOUT_S = 0.8
# Kind of the outcome of an item that was not sent to its endpoint.
TURNED_AWAY = "turned_away"


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
        self._task_by_number: dict[int, asyncio.Task[None]] = {}
        self._progress_by_number: dict[int, RunProgress] = {}
        self._scoring_numbers: set[int] = set()
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
        runs = tuple(self._task_by_number.values())
        for task in runs:
            task.cancel()
        await asyncio.gather(*runs, return_exceptions=True)
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
        return len(self._task_by_number)

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
        return await self.call_jobs_leader(SubmitJob(job))

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
            streams = len(self._task_by_number) - len(self._scoring_numbers)
            accepts = not self._draining and self._gate.may_run_items()
            free = MAX_STREAMS - streams if accepts else 0
            call = TakeWork(
                runner=self._settings.peer_address,
                data_centre=self._settings.data_centre,
                incarnation=self._incarnation,
                epoch=self._epoch,
                sequence=self._sequence,
                running=tuple(self._task_by_number),
                free=free,
                hold_s=WORK_HOLD_S,
                events=tuple(self._event_count(number) for number in self._task_by_number),
            )
            called_at_s = boot_now()
            answer = await self.leader.call(call, FIND_LEADER_TIMEOUT_S, CALL_TIMEOUT_S)
            if not isinstance(answer, Work):
                detail = answer.detail if isinstance(answer, Refusal) else repr(answer)
                eliot.log_message("runner:no_work_from", detail=detail)
                await asyncio.sleep(WORK_HOLD_S)
                continue
            # The leader assigned the items at the earliest when it had received the call and held
            # it for the stated time.
            self._apply_work(answer, called_at_s + answer.held_s + MAX_PACED_DELAY_S)

    def _event_count(self, number: int) -> int:
        progress = self._progress_by_number.get(number)
        return len(progress.data) if progress is not None else 0

    def _apply_work(self, work: Work, begin_by_s: float) -> None:
        if work.epoch != self._epoch:
            # A new dispatcher resumes the items from the events stored in the jobs log, and ignores
            # the outcomes of runs that belong to an earlier epoch.
            for task in self._task_by_number.values():
                task.cancel()
            self._task_by_number.clear()
            self._progress_by_number.clear()
            self._scoring_numbers.clear()
            self._pending_outcomes.clear()
            self._epoch = work.epoch
        for number in work.cancelled:
            task = self._task_by_number.pop(number, None)
            self._scoring_numbers.discard(number)
            if task is not None:
                task.cancel()
        for number in work.moved:
            task = self._task_by_number.get(number)
            # An item that is being scored has its complete text: it needs no other engine.
            if task is not None and number not in self._scoring_numbers:
                task.cancel()
        for assignment in work.assignments:
            task = asyncio.create_task(
                self._run_assignment(assignment, begin_by_s), name=f"run:{assignment.item.item}"
            )
            self._task_by_number[assignment.number] = task

    async def _run_assignment(self, assignment: Assignment, begin_by_s: float) -> None:
        epoch = self._epoch
        number = assignment.number
        refusal = self._gate.item_refusal(assignment, begin_by_s) if assignment.endpoint else None
        if refusal is not None:
            outcome = self._turn_away(assignment, refusal)
        elif assignment.endpoint:
            outcome = await self._generate_text(assignment)
        else:
            outcome = Outcome(number, "done")
        if not self._is_assigned(number, epoch):
            return
        if outcome.kind == "done" and assignment.item.reward is not None:
            if assignment.endpoint:
                self._queue_outcome(replace(outcome, kind=PART, whole=True))
            self._scoring_numbers.add(number)
            outcome = await self._score(assignment, outcome.after + outcome.events)
            if not self._is_assigned(number, epoch):
                return
        self._queue_outcome(outcome)

    def _turn_away(self, assignment: Assignment, refusal: Reason) -> Outcome:
        """Report an item that is not sent, so that the dispatcher assigns it again."""
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
        )
        return Outcome(assignment.number, TURNED_AWAY)

    def _is_assigned(self, number: int, epoch: int) -> bool:
        """
        Whether the dispatcher still expects an outcome for this number.

        The epoch is compared too, since each epoch uses the same numbers.
        """
        return epoch == self._epoch and number in self._task_by_number

    def _queue_outcome(self, outcome: Outcome) -> None:
        self._pending_outcomes.append(outcome)
        self._report_due.set()

    async def _score(self, assignment: Assignment, after: int) -> Outcome:
        """Make an item's reward call; if the call is cancelled, another runner repeats it."""
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
            outcome = Outcome(assignment.number, scored.kind, after=after, whole=True)
        else:
            outcome = Outcome(assignment.number, "done", after=after, score=scored)
        took_s = boot_now() - started_at_s
        self._counters.add(f"reward_call.{outcome.kind}")
        self._counters.observe("reward_call_seconds", took_s, outcome.kind)
        eliot.log_message(
            "runner:scored",
            job=assignment.job,
            item=item.item,
            number=assignment.number,
            call=item.reward.request,
            kind=outcome.kind,
            reason="" if outcome.kind == "done" else outcome.kind,
            failures=scored.failures if isinstance(scored, ScoringFailure) else 0,
            text_from_elsewhere=not assignment.endpoint,
            took_s=round(took_s, 3),
        )
        return outcome

    async def _generate_text(self, assignment: Assignment) -> Outcome:
        started_at_s = boot_now()
        progress = RunProgress()
        self._progress_by_number[assignment.number] = progress
        outcome = await run_item(assignment, self._connections, self._wire, progress)
        # If the epoch changed during this run, its number may now belong to a newer run.
        if self._progress_by_number.get(assignment.number) is progress:
            del self._progress_by_number[assignment.number]
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
        )
        return outcome

    async def _report_parts(self, now: float) -> None:
        """Queue the new events of the current runs for the next report."""
        for number, progress in self._progress_by_number.items():
            if len(progress.data) > progress.reported_events and number in self._task_by_number:
                self._queue_outcome(progress.outcome(number, PART))

    async def _report_outcomes(self) -> None:
        while True:
            await self._report_due.wait()
            await asyncio.sleep(REPORT_DELAY_S)
            self._report_due.clear()
            epoch = self._epoch
            outcomes = tuple(self._pending_outcomes)
            if not outcomes:
                continue
            message = ReportWork(self._settings.peer_address, epoch, outcomes)
            answer = await self.leader.call(message, FIND_LEADER_TIMEOUT_S, CALL_TIMEOUT_S)
            if isinstance(answer, Refusal):
                self._report_due.set()
                continue
            if epoch == self._epoch:
                del self._pending_outcomes[: len(outcomes)]
                for outcome in outcomes:
                    if outcome.kind != PART:
                        self._task_by_number.pop(outcome.number, None)
                        self._scoring_numbers.discard(outcome.number)


__all__ = ["Runner"]
