"""
A dispatcher with engines, runners and trainers of three accounts that ask for more than there is.

Time passes in steps. Each run produces events at the pace of its engine, and runners report their
runs as entries do. The text of an item consists of numbered events, so that a lost or repeated
event shows.
"""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass, field

from unit.jobs.test_dispatcher import ENGINE

from ibisspring_core.messages.endpoints import EndpointLoad
from ibisspring_core.messages.jobs import PART, Assignment, Job, JobItem, Outcome, TakeWork
from ibisspring_core.routes import ServiceTerms
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_jobs.commands import COMMANDS, AcceptJob, CloseJob, KeepTexts, RecordResults
from ibisspring_jobs.dispatcher import Dispatcher
from ibisspring_jobs.moves import TOKENS_PER_EVENT
from ibisspring_jobs.state import JobsState
from ibisspring_jobs.surroundings import DispatchContext

STEP_S = 0.1
EVENT_S = 0.1
REPORT_EVERY_S = 1.0
SLOTS_OF_ENGINE = 8
ITEMS_OF_GROUP = 8
WALL_AT_BOOT_S = 1000.0
SERVICE = "scorer"


@dataclass(frozen=True)
class RunStart:
    """An assignment that a runner received."""

    at_s: float
    item: str
    resume_after: int


@dataclass
class SimulatedRun:
    """An assignment that a runner executes."""

    assignment: Assignment
    started_at: float
    events: int = 0
    reported: int = 0
    reported_at: float = 0.0


@dataclass
class SimulatedRunner:
    """An entry that runs items."""

    address: str
    sequence: int = 0
    run_by_number: dict[int, SimulatedRun] = field(default_factory=dict)
    lost: bool = False


class OverloadSystem:
    """
    The dispatcher of the jobs' leader with engines and runners.

    :param events_by_item: number of events of each item's complete text.
    :param whole_at_by_group: time at which all items of a group were listed.
    :param idle_steps: steps after which a slot was free while an item waited.
    :param run_starts: all assignments that runners received.
    :param moved: time and item of each run that was stopped for another one.
    """

    def __init__(self, policy: LoadPolicy, engines: int = 4, runners: int = 3) -> None:
        self.now = 0.0
        self.epoch = 1
        self.state = JobsState()
        terms = ServiceTerms(SERVICE, 100, SLOTS_OF_ENGINE, 1 << 30)
        self.engines = tuple(
            dataclasses.replace(
                ENGINE, endpoint=f"engine-{number}", load=EndpointLoad(capacity=SLOTS_OF_ENGINE)
            )
            for number in range(engines)
        )
        self.context = DispatchContext(
            lambda service: self.engines,
            lambda service: terms,
            lambda: WALL_AT_BOOT_S + self.now,
            policy=policy,
        )
        self.dispatcher = Dispatcher(self.state, self.context, self.epoch)
        self.state.subscribe(lambda job: self.dispatcher.cancel_finished_runs(job))
        self.runners = [SimulatedRunner(f"runner-{number}") for number in range(runners)]
        self.events_by_item: dict[str, int] = {}
        self.items_by_group: dict[tuple[str, str], list[str]] = {}
        self.whole_at_by_group: dict[tuple[str, str], float] = {}
        self.idle_steps = 0
        self.run_starts: list[RunStart] = []
        self.moved: list[tuple[float, str]] = []

    @property
    def slots(self) -> int:
        """Return the number of slots of all engines."""
        return len(self.engines) * SLOTS_OF_ENGINE

    def apply(self, command: object) -> None:
        """Apply a command of the jobs' log as if it were committed."""
        self.state.apply(1, COMMANDS.encode(command))

    def submit(self, job_id: str, account: str, groups: list[list[int]], **changes) -> None:
        """
        Submit a job.

        :param groups: for each group the numbers of events of its items.
        """
        items = []
        for number, group in enumerate(groups):
            for index, events in enumerate(group):
                item = f"{job_id}.{number}.{index}"
                self.events_by_item[item] = events
                self.items_by_group.setdefault((job_id, f"g{number}"), []).append(item)
                tokens = events * TOKENS_PER_EVENT
                items.append(JobItem(item, "/", (), b"", tokens, f"g{number}", 0, tokens))
        job = Job(
            job=job_id,
            client_account=account,
            host="scores.example",
            service=SERVICE,
            model="m",
            items=tuple(items),
            due_s=7.5,
            give_up_s=9.0,
            max_attempts=3,
            submitted_s=WALL_AT_BOOT_S + self.now,
        )
        self.apply(AcceptJob(dataclasses.replace(job, **changes)))

    def step(self) -> None:
        """Let STEP_S seconds pass."""
        self.now = round(self.now + STEP_S, 6)
        for runner in self.runners:
            if not runner.lost:
                self._receive(runner)
                self._advance(runner)
                self._call(runner)
        for job, result in self.dispatcher.sweep(self.now):
            self.apply(RecordResults(job, (result,)))
        self.dispatcher.assign_waiting_items(self.now)
        self.dispatcher.move_stragglers(self.now)
        self.dispatcher.preempt(self.now)
        kept = self.dispatcher.engine_time.usage_to_keep(self.now)
        if kept is not None:
            self.apply(kept)
        self._end_expired_jobs()
        self._note_idle_slots()

    def run_until(self, until_s: float) -> None:
        """Let time pass until the given one."""
        while self.now < until_s:
            self.step()

    def change_leader(self) -> None:
        """Replace the dispatcher by that of a new leader; the runners stop their runs."""
        self.epoch += 1
        self.dispatcher = Dispatcher(self.state, self.context, self.epoch, self.now)
        for runner in self.runners:
            runner.run_by_number.clear()

    def lose_runner(self) -> None:
        """Lose the runner with the most runs, without a report of these."""
        runner = max(self.runners, key=lambda runner: len(runner.run_by_number))
        runner.lost = True
        runner.run_by_number.clear()

    def _receive(self, runner: SimulatedRunner) -> None:
        known = self.dispatcher.runners.runner_by_address.get(runner.address)
        if known is None:
            return
        for number in known.cancelled:
            runner.run_by_number.pop(number, None)
        for number in known.moved:
            run = runner.run_by_number.pop(number, None)
            if run is not None:
                self.moved.append((self.now, run.assignment.item.item))
                self._report(run, "broken")
        for assignment in known.outbox:
            self.run_starts.append(
                RunStart(self.now, assignment.item.item, assignment.resume_after)
            )
            runner.run_by_number[assignment.number] = SimulatedRun(
                assignment, self.now, reported_at=self.now
            )
        known.cancelled.clear()
        known.moved.clear()
        known.outbox.clear()

    def _advance(self, runner: SimulatedRunner) -> None:
        for number, run in list(runner.run_by_number.items()):
            item = run.assignment.item.item
            left = self.events_by_item[item] - run.assignment.resume_after
            run.events = min(left, int((self.now - run.started_at) / EVENT_S + 1e-6))
            if run.events == left:
                del runner.run_by_number[number]
                self._report(run, "done")
            elif self.now - run.reported_at >= REPORT_EVERY_S:
                self._report(run, PART)

    def _report(self, run: SimulatedRun, kind: str) -> None:
        after = run.assignment.resume_after + run.reported
        events = run.events - run.reported
        output = "\n".join(str(after + number) for number in range(events))
        outcome = Outcome(
            run.assignment.number, kind, output, events, (4,) if events else (), 0.0, run.reported
        )
        run.reported, run.reported_at = run.events, self.now
        for part_or_end in self.dispatcher.outcomes.split(outcome):
            if part_or_end.kind != "done" and part_or_end.events:
                job_and_part = self.dispatcher.outcomes.accept_part(part_or_end)
                if job_and_part is not None:
                    self.apply(KeepTexts(job_and_part[0], (job_and_part[1],)))
            if part_or_end.kind == PART:
                continue
            job_and_result = self.dispatcher.outcomes.process(part_or_end, self.now)
            if job_and_result is not None:
                self.apply(RecordResults(job_and_result[0], (job_and_result[1],)))
                self._note_whole(run.assignment.job, run.assignment.item.group)

    def _note_whole(self, job: str, group: str) -> None:
        listed = {result.item for result in self.state.job_by_id[job].results}
        if listed.issuperset(self.items_by_group[job, group]):
            self.whole_at_by_group.setdefault((job, group), self.now)

    def _call(self, runner: SimulatedRunner) -> None:
        runner.sequence += 1
        call = TakeWork(
            runner.address,
            "derby",
            "x",
            self.epoch,
            runner.sequence,
            tuple(runner.run_by_number),
            self.slots,
            0.4,
            tuple(run.events for run in runner.run_by_number.values()),
        )
        self.dispatcher.register_call(call, self.now).waiting = True

    def _end_expired_jobs(self) -> None:
        for job_id, job_record in self.state.job_by_id.items():
            job = job_record.job
            if not job_record.ended and self.context.wall_s() > job.submitted_s + job.give_up_s:
                self.apply(CloseJob(job_id))

    def _note_idle_slots(self) -> None:
        waiting = any(
            True for _ in self.dispatcher.items.waiting(SERVICE, self.dispatcher.engines, self.now)
        )
        if waiting and len(self.dispatcher.run_by_number) < self.slots:
            self.idle_steps += 1

    def assert_texts_whole(self) -> None:
        """Check that each listed text has all its events, once and in order."""
        for job_record in self.state.job_by_id.values():
            listed = [result.item for result in job_record.results]
            assert len(listed) == len(set(listed))
            for result in job_record.results:
                if result.state == "completed":
                    events = self.events_by_item[result.item]
                    assert result.output.split("\n") == [str(n) for n in range(events)]

    def in_time_part(self, accounts: tuple[str, ...], until_s: float) -> float:
        """Return the part of the groups due before a time that were whole in time."""
        due = whole = 0
        for key in self.items_by_group:
            job = self.state.job_by_id[key[0]].job
            due_s = job.submitted_s + job.due_s - WALL_AT_BOOT_S
            if job.client_account not in accounts or due_s > until_s:
                continue
            due += 1
            whole += self.whole_at_by_group.get(key, float("inf")) <= due_s
        return whole / due


def submit_steps(
    system: OverloadSystem, source: random.Random, load: float, until_s: float, every_s: float = 4.0
) -> None:
    """
    Play trainers of three accounts that submit a step every few seconds; one asks for 70%.

    :param load: demand divided by what the slots can run.
    """
    next_step_s = system.now
    while system.now < until_s:
        if system.now >= next_step_s:
            next_step_s += every_s
            for account, part in (("large", 0.7), ("left", 0.15), ("right", 0.15)):
                wanted_events = load * part * system.slots * every_s / EVENT_S
                groups: list[list[int]] = []
                while sum(map(sum, groups)) < wanted_events:
                    groups.append([source.randint(4, 24) for _ in range(ITEMS_OF_GROUP)])
                due_s = 7.5 if account == "large" else 8.5
                job = f"{account}-{system.now:g}"
                system.submit(job, account, groups, due_s=due_s, give_up_s=due_s + 1.5)
        system.step()
