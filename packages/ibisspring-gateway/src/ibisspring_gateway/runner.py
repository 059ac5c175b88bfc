"""The service `runner`: takes items from the jobs' dispatcher and runs them at engines."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.jobs import PART, Outcome, ReportWork, TakeWork, Work
from ibisspring_gateway.item_run import RunText, run_item
from ibisspring_gateway.reward_calls import Unscored

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import Assignment
    from ibisspring_core.settings.vm import VmSettings

# One entry reads this many streams at once at most; the engines of today have 60 places together.
MOST_RUNS = 48
HOLD_S = 0.4
CALL_TIMEOUT_S = 1.0
FIND_LEADER_S = 3.0
# Callers of jobs come again by themselves after a second or two without an answer.
JOB_CALL_S = 2.0
ONE_JOB_CALL_S = 0.8
# Outcomes that come close together travel and are committed together.
GATHER_S = 0.02
# What runs made is handed over this often, to be kept in the jobs' log: the loss of an entry, of
# the jobs' leader or of all power then costs each text half of this time on average, and not all.
PARTS_EVERY_S = 1.0
# At a stop the last outcomes are worth this much of the time until the process is killed.
HAND_OVER_S = 0.8


class Runner:
    """
    One task asks for work, one reports, and each run has its own.

    A run of an item with a reward call goes on after its text: the whole text is handed over to be
    kept while the call is under way, so the log costs the result no time.
    """

    name = "runner"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._epoch = 0
        self._sequence = 0
        self._stopping = False
        self._task_by_number: dict[int, asyncio.Task[None]] = {}
        self._text_by_number: dict[int, RunText] = {}
        self._scoring: set[int] = set()
        self._outcomes: list[Outcome] = []
        self._reported = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, settings: VmSettings) -> Runner:
        """
        Build the service.

        :param settings: checked settings of an entry.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Begin to ask for work."""
        self._view = kernel.find("directory_view")
        self._connections = kernel.find("connections")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")
        self._reward_calls = kernel.find("reward_calls")
        self.leader = LeaderClient(kernel.find("peer_client"), self.job_addresses)
        self._tasks = [
            asyncio.create_task(self._take(), name="runner:take"),
            asyncio.create_task(self._report(), name="runner:report"),
        ]
        self._parts = kernel.find("timer").subscribe("runner", PARTS_EVERY_S, self._hand_over)

    async def stop(self) -> None:
        """Stop all runs and hand over what they made; the items go on elsewhere."""
        self._parts.cancel()
        for task in self._tasks:
            task.cancel()
        runs = tuple(self._task_by_number.values())
        for task in runs:
            task.cancel()
        await asyncio.gather(*runs, return_exceptions=True)
        if self._outcomes:
            message = ReportWork(self._settings.peer_address, self._epoch, tuple(self._outcomes))
            await self.leader.call(message, HAND_OVER_S, HAND_OVER_S)

    def drain(self) -> None:
        """Take no more work; what runs goes on."""
        self._stopping = True

    @property
    def running(self) -> int:
        """Items that run here."""
        return len(self._task_by_number)

    def job_addresses(self) -> tuple[str, ...]:
        """Peer addresses where the leader of the jobs' log may be, the likeliest first."""
        view = self._view.view
        founders = view.job_group.founders if view.job_group is not None else ()
        # A store without a replica neither leads nor knows who does.
        holders = (one.address for one in view.stores if not one.empty)
        hint = (view.job_leader,) if view.job_leader else ()
        return tuple(dict.fromkeys((*hint, *holders, *(one.address for one in founders))))

    async def call_jobs(self, message: Any, hold_s: float = 0.0) -> Any:
        """
        Pass a caller's call on to the leader of the jobs' log.

        :param message: a message that may run twice.
        :param hold_s: seconds for which the leader may keep it waiting.
        :return: the leader's answer; a refusal where none was found in time.
        """
        return await self.leader.call(message, JOB_CALL_S + hold_s, ONE_JOB_CALL_S + hold_s)

    async def _take(self) -> None:
        while True:
            self._sequence += 1
            streams = len(self._task_by_number) - len(self._scoring)
            free = 0 if self._stopping else MOST_RUNS - streams
            call = TakeWork(
                runner=self._settings.peer_address,
                data_centre=self._settings.data_centre,
                incarnation=self._incarnation,
                epoch=self._epoch,
                sequence=self._sequence,
                running=tuple(self._task_by_number),
                free=free,
                hold_s=HOLD_S,
                events=tuple(self._events(number) for number in self._task_by_number),
            )
            answer = await self.leader.call(call, FIND_LEADER_S, CALL_TIMEOUT_S)
            if not isinstance(answer, Work):
                detail = answer.detail if isinstance(answer, Refusal) else repr(answer)
                eliot.log_message("runner:no_work_from", detail=detail)
                await asyncio.sleep(HOLD_S)
                continue
            self._begin(answer)

    def _events(self, number: int) -> int:
        text = self._text_by_number.get(number)
        return len(text.data) if text is not None else 0

    def _begin(self, work: Work) -> None:
        if work.epoch != self._epoch:
            # Another dispatcher goes on from the parts that are kept: what runs is for nobody.
            for task in self._task_by_number.values():
                task.cancel()
            self._task_by_number.clear()
            self._text_by_number.clear()
            self._scoring.clear()
            self._outcomes.clear()
            self._epoch = work.epoch
        for number in work.cancelled:
            task = self._task_by_number.pop(number, None)
            self._scoring.discard(number)
            if task is not None:
                task.cancel()
        for number in work.moved:
            task = self._task_by_number.get(number)
            # A text that became whole meanwhile has nothing left to go on elsewhere.
            if task is not None and number not in self._scoring:
                task.cancel()
        for assignment in work.assignments:
            task = asyncio.create_task(self._run(assignment), name=f"run:{assignment.item.item}")
            self._task_by_number[assignment.number] = task

    async def _run(self, assignment: Assignment) -> None:
        epoch = self._epoch
        number = assignment.number
        if assignment.endpoint:
            outcome = await self._make_text(assignment)
        else:
            outcome = Outcome(number, "done")
        if not self._is_wanted(number, epoch):
            return
        if outcome.kind == "done" and assignment.item.reward is not None:
            if assignment.endpoint:
                self._hand_on(replace(outcome, kind=PART, whole=True))
            self._scoring.add(number)
            outcome = await self._score(assignment, outcome.after + outcome.events)
            if not self._is_wanted(number, epoch):
                return
        self._hand_on(outcome)

    def _is_wanted(self, number: int, epoch: int) -> bool:
        """Whether the dispatcher still waits for a run; a new epoch gives its number anew."""
        return epoch == self._epoch and number in self._task_by_number

    def _hand_on(self, outcome: Outcome) -> None:
        self._outcomes.append(outcome)
        self._reported.set()

    async def _score(self, assignment: Assignment, after: int) -> Outcome:
        """Make an item's reward call; a run that is stopped here leaves it to another runner."""
        began_s = boot_now()
        item = assignment.item
        try:
            scored = await self._reward_calls.score(
                item.reward, assignment.max_attempts, began_s + assignment.deadline_s
            )
        except asyncio.CancelledError:
            scored = Unscored("broken", 0)
        if isinstance(scored, Unscored):
            outcome = Outcome(assignment.number, scored.kind, after=after, whole=True)
        else:
            outcome = Outcome(assignment.number, "done", after=after, score=scored)
        took_s = boot_now() - began_s
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
            failures=scored.failures if isinstance(scored, Unscored) else 0,
            text_from_elsewhere=not assignment.endpoint,
            took_s=round(took_s, 3),
        )
        return outcome

    async def _make_text(self, assignment: Assignment) -> Outcome:
        began_s = boot_now()
        text = RunText()
        self._text_by_number[assignment.number] = text
        outcome = await run_item(assignment, self._connections, self._wire, text)
        # Under another epoch the number may name another run by now.
        if self._text_by_number.get(assignment.number) is text:
            del self._text_by_number[assignment.number]
        took_s = boot_now() - began_s
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
            events=len(text.data),
            versions=outcome.versions,
            expected_version=assignment.expected_version,
            expected_tokens=assignment.item.expected_tokens,
            tokens=assignment.item.tokens,
            first_s=outcome.first_s,
            took_s=round(took_s, 3),
        )
        return outcome

    async def _hand_over(self, now: float) -> None:
        """Report what runs made that go on."""
        for number, text in self._text_by_number.items():
            if len(text.data) > text.handed_over and number in self._task_by_number:
                self._hand_on(text.outcome(number, PART))

    async def _report(self) -> None:
        while True:
            await self._reported.wait()
            await asyncio.sleep(GATHER_S)
            self._reported.clear()
            epoch = self._epoch
            outcomes = tuple(self._outcomes)
            if not outcomes:
                continue
            message = ReportWork(self._settings.peer_address, epoch, outcomes)
            answer = await self.leader.call(message, FIND_LEADER_S, CALL_TIMEOUT_S)
            if isinstance(answer, Refusal):
                self._reported.set()
                continue
            if epoch == self._epoch:
                del self._outcomes[: len(outcomes)]
                for outcome in outcomes:
                    if outcome.kind != PART:
                        self._task_by_number.pop(outcome.number, None)
                        self._scoring.discard(outcome.number)


__all__ = ["Runner"]
