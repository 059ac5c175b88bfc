from __future__ import annotations

import dataclasses
import itertools

import pytest
from unit.jobs.test_state import job_of

from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_core.messages.jobs import (
    LATE,
    PART,
    HeldRun,
    JobItem,
    Outcome,
    TakeWork,
    text_digest,
)
from ibisspring_core.routes import ServiceTerms
from ibisspring_decisions.crash_suspects import MAX_ITEM_PAUSE_S
from ibisspring_decisions.dispatch import WaitingItem
from ibisspring_decisions.paced_sends import MAX_WINDOW_S, WINDOW_S
from ibisspring_jobs import items as items_module
from ibisspring_jobs.adoption import MAX_WAIT_S, MIN_WAIT_S
from ibisspring_jobs.commands import (
    COMMANDS,
    AcceptJob,
    CloseJob,
    KeepTexts,
    RecordFailures,
    RecordResults,
)
from ibisspring_jobs.dispatcher import DispatchContext, Dispatcher
from ibisspring_jobs.state import JobsState

ENGINE = EndpointRecord(
    endpoint="engine-1",
    incarnation=1,
    sequence=1,
    service="scorer",
    role="engine",
    kind="standard",
    data_centre="derby",
    address="10.0.0.1:80",
    version_by_adapter={"m": 4},
    load=EndpointLoad(capacity=2),
)


class DispatcherHarness:
    """
    A dispatcher with a replicated state that applies each command as soon as it is proposed.

    Tests make the runners' calls for work themselves, and pass the current time in seconds.
    """

    def __init__(self, *engines: EndpointRecord, **job_changes) -> None:
        self.engines = engines
        self.wall_s = 1000.0
        self.state = JobsState()
        terms = ServiceTerms("scorer", 100, 2, 100_000)
        self.loading: set[tuple[str, str]] = set()
        self.paced_limit: int | None = None
        self.cold: set[str] = set()
        context = DispatchContext(
            lambda service: self.engines,
            lambda service: terms,
            lambda: self.wall_s,
            lambda endpoint, model: (endpoint, model) in self.loading,
            lambda service: self.paced_limit,
            lambda endpoint: endpoint in self.cold,
            lambda data_centre, regions: regions is None or data_centre in regions,
        )
        self.dispatcher = Dispatcher(self.state, context, epoch=7)
        self.state.subscribe(self.dispatcher.cancel_finished_runs)
        job = dataclasses.replace(job_of(), submitted_s=1000.0, **job_changes)
        self.apply(AcceptJob(job))
        self.sequence = 0

    def apply(self, command: object) -> None:
        self.state.apply(1, COMMANDS.encode(command))

    def poll(self, running=(), now: float = 0.0, runner: str = "e1", events=()):
        """
        Make a runner's call for work, and return the assignments in its answer.

        :param running: numbers of the assignments that the runner reports as running.
        :param events: number of events of each of these, in the same order.
        """
        self.sequence += 1
        call = TakeWork(runner, "derby", "x", 7, self.sequence, tuple(running), 10, 0.4, events)
        calling_runner = self.dispatcher.register_call(call, now)
        calling_runner.waiting = True
        self.dispatcher.assign_waiting_items(now)
        calling_runner.waiting = False
        assignments = tuple(calling_runner.outbox)
        calling_runner.outbox.clear()
        return assignments

    def end_run(self, number: int, kind: str, now: float = 0.0, **fields):
        """
        Report the outcome of a run, and list the item's result if the outcome leads to one.

        :return: the result; None if the item is to run again.
        """
        job_and_result = self.dispatcher.outcomes.process(Outcome(number, kind, **fields), now)
        if job_and_result is not None:
            self.apply(RecordResults(job_and_result[0], (job_and_result[1],)))
        self.commit_failures()
        return job_and_result[1] if job_and_result is not None else None

    def commit_failures(self) -> None:
        for job, failures in self.dispatcher.outcomes.take_failures().items():
            self.apply(RecordFailures(job, tuple(failures)))

    def report_part(self, number: int, after: int, output: str, versions=(4,)) -> bool:
        """
        Report text of a run in progress, and commit it if the dispatcher accepts it.

        :param after: number of events of this run that were reported before.
        :return: whether the dispatcher accepted the text.
        """
        events = output.count("\n") + 1
        job_and_part = self.dispatcher.outcomes.accept_part(
            Outcome(number, PART, output, events, versions, 0.0, after)
        )
        if job_and_part is not None:
            self.apply(KeepTexts(job_and_part[0], (job_and_part[1],)))
        return job_and_part is not None

    def change_leader(self) -> None:
        """Replace the dispatcher by that of a new leader, which knows only the replicated state."""
        context = self.dispatcher._context
        self.dispatcher = Dispatcher(self.state, context, epoch=8)
        self.sequence = 0


@pytest.fixture
def harness():
    return DispatcherHarness(ENGINE)


def test_engine_gets_no_more_runs_than_it_has_slots(harness) -> None:
    assert len(harness.poll()) == 2
    assert harness.poll(running=(1, 2)) == ()


def test_call_examines_no_item_while_all_slots_are_taken(monkeypatch) -> None:
    # Hundreds of entries call for work, each of them twice a second. A scan of all open items in
    # each call would take more processor time than the jobs' leader has.
    items = tuple(JobItem(f"i{n}", "/score", (), b"", 900, f"g{n // 8}") for n in range(400))
    harness = DispatcherHarness(ENGINE, items=items)
    assert len(harness.poll()) == 2
    examined_keys = []

    def record_item(**fields):
        examined_keys.append(fields["key"])
        return WaitingItem(**fields)

    monkeypatch.setattr(items_module, "WaitingItem", record_item)

    for call in range(20):
        assert harness.poll(running=(1, 2), runner=f"e{call}") == ()
    assert not examined_keys

    harness.end_run(1, "done", output="a", events=1, versions=(4,))
    assert len(harness.poll(running=(2,))) == 1
    assert len(examined_keys) == 1


def test_an_item_is_assigned_again_after_the_answer_with_it_was_lost(harness) -> None:
    # The answer with an assignment does not reach the runner. If the dispatcher continued to count
    # the item as running, no engine would run it, and the trainer would wait until its step times
    # out.
    first = harness.poll()

    reassigned = harness.poll(running=())

    assert {assignment.item.item for assignment in reassigned} == {
        assignment.item.item for assignment in first
    }


def test_the_items_of_an_unresponsive_runner_are_assigned_to_another(harness) -> None:
    # An entry process is frozen while it runs items. Without a reassignment of these items, the
    # trainer would wait until the entry process continues.
    first = harness.poll(now=0.0)
    harness.dispatcher.sweep(1.0)
    assert harness.poll(now=1.0, runner="e2") == ()

    harness.dispatcher.sweep(2.0)

    reassigned = harness.poll(now=2.0, runner="e2")
    assert {assignment.item.item for assignment in reassigned} == {
        assignment.item.item for assignment in first
    }


def test_a_broken_run_resumes_after_its_last_complete_event(harness) -> None:
    # An engine fails after it has generated a long text for seven seconds. If another engine
    # generated the text again from its start, it would be complete too late for the trainer's step.
    number = harness.poll()[0].number
    broken = {"output": "a\nb", "events": 2, "versions": (4,)}
    assert harness.end_run(number, "broken", **broken) is None

    reassigned = next(
        assignment for assignment in harness.poll(running=(2,), now=1.0) if assignment.resume_after
    )
    assert reassigned.resume_after == 2
    listed = harness.end_run(
        reassigned.number, "done", now=2.0, output="c", events=1, versions=(5,)
    )

    assert listed.output == "a\nb\nc"
    assert listed.versions == (4, 5)


def test_a_text_of_two_versions_restarts_if_a_single_version_is_required() -> None:
    harness = DispatcherHarness(ENGINE, single_version=True)
    number = harness.poll()[0].number
    harness.end_run(number, "broken", output="a", events=1, versions=(4,))
    reassigned = next(
        assignment for assignment in harness.poll(running=(2,), now=1.0) if assignment.resume_after
    )

    assert (
        harness.end_run(reassigned.number, "done", now=2.0, output="b", events=1, versions=(5,))
        is None
    )
    assert next(iter(harness.poll(running=(2,), now=3.0))).resume_after == 0


def test_a_text_of_an_older_version_than_allowed_is_not_listed() -> None:
    # An engine generated a text with an older weight version than the job allows. If the text were
    # listed, the trainer would train its model on it.
    harness = DispatcherHarness(ENGINE, min_version=4)
    number = harness.poll()[0].number

    assert harness.end_run(number, "done", output="a", events=1, versions=(3,)) is None
    assert not harness.state.job_by_id["j"].results


def test_engine_with_too_old_weights_gets_no_items() -> None:
    harness = DispatcherHarness(ENGINE, min_version=5)

    assert harness.poll() == ()
    harness.engines = (dataclasses.replace(ENGINE, version_by_adapter={"m": 5}),)
    assert len(harness.poll()) == 2


def test_loading_engine_gets_no_items_of_that_model(harness) -> None:
    # An engine that loads weights of a model rejects all new requests for this model. If items were
    # assigned to the engine meanwhile, they would be rejected and assigned again hundreds of times
    # for each new weight version.
    harness.loading.add(("engine-1", "m"))
    assert harness.poll() == ()

    harness.loading.clear()
    assert len(harness.poll()) == 2


def test_an_item_is_abandoned_after_as_many_failures_as_its_route_allows(harness) -> None:
    now = 0.0
    for attempt in range(3):
        assigned = [
            assignment
            for assignment in harness.poll(running=(), now=now)
            if assignment.item.item == "i0"
        ]
        ended = harness.end_run(assigned[0].number, "failed", now=now)
        assert (ended is not None) is (attempt == 2)
        now += 1.0
    assert ended.state == "abandoned"


def first_run(harness, now: float, running=()) -> int:
    """Make a runner's call, and return the number of the run of the first item."""
    assigned = harness.poll(running=running, now=now)
    return next(one.number for one in assigned if one.item.item == "i0")


def test_a_new_leader_goes_on_counting_the_failures_of_an_item(harness) -> None:
    # The stores were restarted in turn. Each new leader began to count anew, and an item that
    # failed at each run went on reaching engines.
    for attempt in range(3):
        now = 10.0 * attempt
        ended = harness.end_run(first_run(harness, now), "failed", now=now, run_id=f"r{attempt}")
        harness.change_leader()

    assert ended.state == "abandoned"


def test_a_snapshot_keeps_the_failures_of_an_item(harness) -> None:
    # A store that installed a snapshot became leader, and began to count anew.
    for attempt in range(2):
        now = 10.0 * attempt
        harness.end_run(first_run(harness, now), "failed", now=now, run_id=f"r{attempt}")
    harness.state.restore(harness.state.snapshot())
    harness.change_leader()

    ended = harness.end_run(first_run(harness, 20.0), "failed", now=20.0, run_id="r2")

    assert ended.state == "abandoned"
    assert not harness.state.job_by_id["j"].failed_runs_by_item


def held_failure(run_id: str, kind: str = "failed") -> HeldRun:
    return HeldRun(1, "j", "i0", ENGINE.endpoint, 0, 0, kind, run_id)


def test_a_failure_that_no_leader_has_confirmed_counts_once(harness) -> None:
    # The first leader counted a failure and was lost before it answered, so that the runner
    # reports the failure to the second leader as well. An item must not be abandoned too early.
    harness.end_run(first_run(harness, 0.0), "failed", run_id="r0")
    harness.change_leader()
    outcomes = harness.dispatcher.outcomes

    for _ in range(3):
        assert outcomes.process_held(held_failure("r0"), 1.0) is None
    assert outcomes.process_held(held_failure("r1"), 1.0) is None
    harness.commit_failures()
    assert harness.state.job_by_id["j"].failed_runs_by_item == {"i0": ["r0", "r1"]}
    _, ended = outcomes.process_held(held_failure("r2"), 1.0)
    assert ended.state == "abandoned"


def test_an_item_that_can_never_run_is_abandoned_by_the_next_leader(harness) -> None:
    # The engine answered 422 while no store led. The item was run again under the next leader.
    _, ended = harness.dispatcher.outcomes.process_held(held_failure("r0", "impossible"), 1.0)

    assert ended.state == "abandoned"


def test_a_failure_of_a_run_that_was_taken_for_lost_counts(harness) -> None:
    # A frozen entry is taken for lost, and reports the failure of its run once it is thawed.
    number = first_run(harness, 0.0)
    harness.dispatcher.sweep(10.0)

    harness.end_run(number, "failed", now=10.0, run_id="r0")
    harness.end_run(number, "failed", now=10.0, run_id="r0")

    assert harness.state.job_by_id["j"].failed_runs_by_item == {"i0": ["r0"]}


def test_a_failure_of_a_run_that_is_being_moved_counts(harness) -> None:
    # The engine answered 500 while the runner was told to stop the run.
    number = first_run(harness, 0.0)
    harness.dispatcher.run_by_number[number].moved = True

    harness.end_run(number, "failed", run_id="r0")

    assert harness.state.job_by_id["j"].failed_runs_by_item == {"i0": ["r0"]}


def test_an_item_that_ends_its_engines_pauses_between_its_runs() -> None:
    # The item went from engine to engine, and ended each of them within a tenth of a second.
    harness = DispatcherHarness(ENGINE, dataclasses.replace(ENGINE, endpoint="engine-2"))
    now = 0.0
    starts = []
    while now < 20.0:
        for assignment in harness.poll(running=(), now=now):
            if assignment.item.item != "i0":
                continue
            starts.append(now)
            harness.end_run(assignment.number, "broken", now=now, endpoint_ended=True)
        now += 0.5

    pauses = [later - earlier for earlier, later in itertools.pairwise(starts)]
    assert starts[0] == 0.0
    assert pauses[1:] == sorted(pauses[1:])
    assert pauses[-1] == MAX_ITEM_PAUSE_S
    # Beyond these runs the item is due every `MAX_ITEM_PAUSE_S` seconds.
    assert len(starts) <= 4 + 20.0 / MAX_ITEM_PAUSE_S


def test_ends_after_events_do_not_delay_an_item(harness) -> None:
    # The item shared two engines with one that ended them, and had made text at both.
    for now in (0.0, 0.6):
        assigned = harness.poll(running=(), now=now)
        number = next(one.number for one in assigned if one.item.item == "i0")
        text = {"output": "a", "events": 1, "versions": (4,)}
        harness.end_run(number, "broken", now=now, endpoint_ended=True, **text)

    assert "i0" in {one.item.item for one in harness.poll(running=(), now=1.2)}


def test_impossible_item_is_abandoned_at_once(harness) -> None:
    assert harness.end_run(harness.poll()[0].number, "impossible").state == "abandoned"


def test_items_are_not_abandoned_before_the_time_limit_of_their_job(harness) -> None:
    harness.wall_s = 1000.0 + 40.0
    assert harness.dispatcher.sweep(40.0) == []

    harness.wall_s = 1000.0 + 41.1
    assert len(harness.dispatcher.sweep(41.1)) == 3


def test_item_does_not_run_again_while_its_result_is_committed(harness) -> None:
    number = harness.poll()[0].number
    item = harness.dispatcher.run_by_number[number].item

    assert (
        harness.dispatcher.outcomes.process(Outcome(number, "done", "a", 1, (4,)), 0.0) is not None
    )

    assert item not in {assignment.item.item for assignment in harness.poll(running=(2,))}


def test_the_runs_of_an_ended_job_are_stopped(harness) -> None:
    # A trainer has enough results and ends its job. If the job's remaining runs were not cancelled,
    # the engines would spend seconds on unused texts, and the trainer's next step would wait for
    # free slots.
    harness.poll()
    harness.apply(CloseJob("j"))

    runner = harness.dispatcher.runners.runner_by_address["e1"]
    assert sorted(runner.cancelled) == [1, 2]
    assert harness.poll() == ()


def test_run_moves_off_a_slow_engine_and_resumes_after_its_last_event() -> None:
    # One of three engines becomes slow while it generates a text. Without a move of the run, the
    # trainer's step would wait for this text although the other two engines have free slots.
    engines = [dataclasses.replace(ENGINE, endpoint=f"engine-{n}") for n in (1, 2, 3)]
    items_without_shared_groups = tuple(
        dataclasses.replace(item, group=item.item) for item in job_of().items
    )
    harness = DispatcherHarness(*engines, items=items_without_shared_groups)
    first = harness.poll()
    assert {assignment.endpoint for assignment in first} == {engine.endpoint for engine in engines}
    slow_run = next(assignment for assignment in first if assignment.endpoint == "engine-2")
    events = {assignment.number: 0 for assignment in first}
    for step in range(1, 5):
        for assignment in first:
            events[assignment.number] += 2 if assignment is slow_run else 10
        harness.poll(events, now=step * 0.4, events=tuple(events.values()))
        harness.dispatcher.move_stragglers(step * 0.4)

    runner = harness.dispatcher.runners.runner_by_address["e1"]
    assert runner.moved == [slow_run.number]
    produced = {"output": "a\nb", "events": 2, "versions": (4,)}
    harness.end_run(slow_run.number, "broken", now=2.0, **produced)
    reassigned = harness.poll(
        [assignment.number for assignment in first if assignment is not slow_run], now=2.1
    )
    assert [assignment.resume_after for assignment in reassigned] == [2]
    assert reassigned[0].endpoint != "engine-2"


def test_a_new_leader_resumes_texts_after_their_stored_parts(harness) -> None:
    """
    All VMs lose power when the texts of a trainer's step are partly generated.

    If each text were generated again from its start, the step would end late, and the trainer would
    submit one step less.
    """
    first, second = harness.poll()
    assert harness.report_part(first.number, 0, "a\nb")
    assert harness.report_part(first.number, 2, "c")

    harness.change_leader()
    reassigned = {assignment.item.item: assignment for assignment in harness.poll()}

    assert reassigned[first.item.item].resume_after == 3
    assert reassigned[second.item.item].resume_after == 0
    ended = harness.end_run(
        reassigned[first.item.item].number, "done", output="d", events=1, versions=(5,)
    )
    assert (ended.output, ended.versions) == ("a\nb\nc\nd", (4, 5))


def test_result_of_a_run_contains_its_earlier_parts(harness) -> None:
    first, _ = harness.poll()
    harness.report_part(first.number, 0, "a\nb")

    ended = harness.end_run(first.number, "done", output="c", events=1, versions=(4,), after=2)

    assert (ended.output, ended.versions) == ("a\nb\nc", (4,))


def test_a_part_reported_twice_is_recorded_once(harness) -> None:
    first, _ = harness.poll()
    assert harness.report_part(first.number, 0, "a\nb")

    assert not harness.report_part(first.number, 0, "a\nb")

    ended = harness.end_run(first.number, "done", output="c", events=1, versions=(4,), after=2)
    assert ended.output == "a\nb\nc"


def test_broken_run_resumes_after_its_parts_and_its_last_outcome(harness) -> None:
    first, _ = harness.poll()
    harness.report_part(first.number, 0, "a\nb")
    harness.end_run(first.number, "broken", output="c", events=1, versions=(4,), after=2)

    (reassigned,) = [
        assignment
        for assignment in harness.poll(now=1.0)
        if assignment.item.item == first.item.item
    ]

    assert reassigned.resume_after == 3


def test_parts_of_two_versions_are_rejected_for_a_single_version_job() -> None:
    harness = DispatcherHarness(ENGINE, single_version=True)
    first, _ = harness.poll()
    assert harness.report_part(first.number, 0, "a", (4,))

    assert not harness.report_part(first.number, 1, "b", (5,))

    assert (
        harness.end_run(first.number, "done", output="c", events=1, versions=(5,), after=2) is None
    )
    (reassigned,) = [
        assignment
        for assignment in harness.poll(now=1.0)
        if assignment.item.item == first.item.item
    ]
    assert reassigned.resume_after == 0


def test_part_of_an_unknown_run_is_ignored(harness) -> None:
    harness.poll()

    assert not harness.report_part(99, 0, "a")


def test_engine_gets_no_more_runs_in_a_second_than_it_bears_when_cold() -> None:
    # An engine has just started. Its short items end at once, and each free slot would be filled
    # again until the engine gets more requests in a second than it survives.
    harness = DispatcherHarness(ENGINE, items=job_of(items=12).items)
    harness.paced_limit = 3
    started = []
    for tick in range(11):
        now = 10.0 + tick * 0.1
        for assignment in harness.poll(now=now):
            assert assignment.paced
            started.append(now)
            harness.end_run(assignment.number, "done", now, output="t", events=1, versions=(4,))

    assert len(started) == 3
    assert len(harness.poll(now=10.0 + WINDOW_S)) == 2


def test_new_leader_sends_nothing_to_cold_engines_in_its_first_window() -> None:
    # The jobs' leader fails after it has assigned as much to a cold engine as the engine bears. Its
    # successor knows nothing of these items.
    harness = DispatcherHarness(ENGINE)
    harness.paced_limit = 3
    harness.cold.add(ENGINE.endpoint)

    assert harness.poll(now=WINDOW_S / 2) == ()
    assert harness.poll(now=MAX_WINDOW_S - 0.01) == ()
    assert len(harness.poll(now=MAX_WINDOW_S)) == 2


def late_answers(delay_s: float, until_s: float) -> tuple[list[float], int]:
    """
    Let a runner receive each assignment of a paced engine some time after it was made.

    :return: the times at which its requests arrive, and the number of assignments.
    """
    harness = DispatcherHarness(ENGINE, items=job_of(items=200).items)
    harness.paced_limit = 3
    arrived, assigned = [], 0
    pending: list[tuple[float, int, bool]] = []
    for tick in range(int(until_s / 0.05)):
        now = 10.0 + tick * 0.05
        for entry in [entry for entry in pending if entry[0] <= now]:
            pending.remove(entry)
            if entry[2]:
                arrived.append(entry[0])
                harness.end_run(entry[1], "done", now, output="t", events=1, versions=(4,))
            else:
                harness.end_run(entry[1], LATE, now)
        for assignment in harness.poll(running=[number for _, number, _ in pending], now=now):
            assigned += 1
            in_time = delay_s <= assignment.begin_within_s
            pending.append((now + delay_s, assignment.number, in_time))
    return arrived, assigned


@pytest.mark.parametrize("delay_s", [0.3, 0.7, 1.5])
def test_items_run_although_each_assignment_comes_late(delay_s) -> None:
    # The leader is busy and answers late. With a fixed limit of the delay, runners would reject
    # every assignment for as long as that lasts, and each rejection would make the leader busier.
    arrived, assigned = late_answers(delay_s, until_s=20.0)

    assert len(arrived) >= assigned / 2
    assert max(now - before for before, now in itertools.pairwise(arrived)) < 4.0
    # The engine may have turned cold, so its limit holds at any delay.
    assert not any(later - first <= 1.0 for first, later in zip(arrived, arrived[3:], strict=False))


def test_engine_is_not_paused_for_an_assignment_that_came_late() -> None:
    harness = DispatcherHarness(ENGINE)
    harness.paced_limit = 10
    first, *_ = harness.poll(now=10.0)

    harness.end_run(first.number, LATE, now=10.3)

    assert first.item.item in [assignment.item.item for assignment in harness.poll(now=10.3)]


def test_items_and_their_bodies_stay_in_the_regions_of_their_job() -> None:
    # A job names the regions that it may run in; in this test each data centre is a region. Neither
    # an engine elsewhere may run its items, nor a runner elsewhere receive their bodies.
    abroad = dataclasses.replace(ENGINE, endpoint="engine-2", data_centre="york")

    harness = DispatcherHarness(ENGINE, abroad, regions=("york",))
    assert harness.poll() == ()

    harness = DispatcherHarness(ENGINE, abroad, regions=("derby",))
    assigned = harness.poll()
    assert {assignment.endpoint for assignment in assigned} == {ENGINE.endpoint}
    assert {assignment.regions for assignment in assigned} == {("derby",)}


def held(item: str, resume_after: int = 0, events: int = 0, key: int = 1) -> HeldRun:
    return HeldRun(key, "j", item, ENGINE.endpoint, resume_after, events)


def offer(harness: DispatcherHarness, *runs: HeldRun, now: float = 0.0):
    """Let a runner offer its runs to a new leader, and return those that are adopted."""
    harness.sequence += 1
    call = TakeWork("e1", "derby", "x", 8, harness.sequence, (), 10, 0.4, held=runs)
    runner = harness.dispatcher.register_call(call, now)
    harness.dispatcher.adopt(runner, runs, now)
    return tuple(runner.adopted)


def test_a_new_leader_continues_the_runs_that_a_runner_held(harness) -> None:
    # The jobs' leader is lost while an engine generates a text, of which two events are stored. The
    # runner went on reading: the item must neither run again, nor lose or repeat an event.
    first, *_ = harness.poll()
    assert harness.report_part(first.number, 0, "a\nb")
    harness.change_leader()

    (adopted,) = offer(harness, held(first.item.item, events=5))

    assert (adopted.stored_events, adopted.digest) == (2, text_digest(("a", "b")))
    assert first.item.item not in {assignment.item.item for assignment in harness.poll((1,))}
    result = harness.end_run(
        adopted.number, "done", output="c\nd\ne", events=3, versions=(4,), after=2
    )
    assert result.output == "a\nb\nc\nd\ne"


def test_a_run_that_does_not_continue_the_stored_text_is_not_adopted(harness) -> None:
    # The former leader had given the item to another runner, which stored more of the text.
    first, *_ = harness.poll()
    assert harness.report_part(first.number, 0, "a\nb")
    harness.change_leader()
    item = first.item.item

    assert offer(harness, held(item, events=1)) == ()
    assert offer(harness, held(item, resume_after=3, events=4)) == ()
    assert offer(harness, held("no such item", events=4)) == ()


def test_an_item_is_adopted_once(harness) -> None:
    # Two runners hold runs of the same item, because the former leader had counted one as lost.
    first, *_ = harness.poll()
    harness.change_leader()

    both = offer(
        harness, held(first.item.item, events=3, key=1), held(first.item.item, events=2, key=2)
    )

    assert [run.key for run in both] == [1]


def test_a_new_leader_assigns_no_items_before_runners_have_offered_their_runs(harness) -> None:
    # Runners call a new leader one after the other. If it assigned all items to the first one, the
    # runs that the others hold would be done twice.
    first, second = harness.poll()
    harness.change_leader()
    old_call = TakeWork("e2", "derby", "x", 7, 1, (first.number, second.number), 10, 0.4)
    harness.dispatcher.adoption.runner_called(old_call, 1.0)

    assert harness.poll(now=1.0) == ()
    assert harness.poll(now=1.0 + MIN_WAIT_S) == ()
    harness.dispatcher.adoption.runner_offered("e2")
    assert len(harness.poll(now=1.0 + MIN_WAIT_S)) == 2


def test_a_new_leader_waits_only_so_long_for_a_runner_that_is_lost(harness) -> None:
    harness.poll()
    harness.change_leader()
    old_call = TakeWork("e2", "derby", "x", 7, 1, (1, 2), 10, 0.4)
    harness.dispatcher.adoption.runner_called(old_call, 1.0)

    assert harness.poll(now=1.0 + MAX_WAIT_S - 0.01) == ()
    assert len(harness.poll(now=1.0 + MAX_WAIT_S)) == 2


def test_a_new_leader_assigns_at_once_to_runners_that_have_just_started(harness) -> None:
    harness.poll()
    harness.change_leader()
    harness.dispatcher.adoption.runner_called(TakeWork("e2", "derby", "x", 0, 1, (), 10, 0.4), 1.0)

    assert len(harness.poll(now=1.0)) == 2
