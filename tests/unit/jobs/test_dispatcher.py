from __future__ import annotations

import dataclasses

import pytest
from unit.jobs.test_state import job_of

from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_core.messages.jobs import PART, JobItem, Outcome, TakeWork
from ibisspring_core.routes import ServiceTerms
from ibisspring_decisions.dispatch import WaitingItem
from ibisspring_jobs import items as items_module
from ibisspring_jobs.commands import COMMANDS, AcceptJob, CloseJob, KeepTexts, RecordResults
from ibisspring_jobs.dispatcher import Dispatcher, Surroundings
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


class _World:
    """A dispatcher with its state; calls are made by hand and time is a number."""

    def __init__(self, *engines: EndpointRecord, **job_changes) -> None:
        self.engines = engines
        self.wall = 1000.0
        self.state = JobsState()
        terms = ServiceTerms("scorer", 100, 2, 100_000)
        self.loading: set[tuple[str, str]] = set()
        around = Surroundings(
            lambda service: self.engines,
            lambda service: terms,
            lambda: self.wall,
            lambda endpoint, model: (endpoint, model) in self.loading,
        )
        self.dispatcher = Dispatcher(self.state, around, epoch=7)
        self.state.subscribe(self.dispatcher.forget_job)
        job = dataclasses.replace(job_of(), submitted_s=1000.0, **job_changes)
        self.apply(AcceptJob(job))
        self.sequence = 0

    def apply(self, command: object) -> None:
        self.state.apply(1, COMMANDS.encode(command))

    def poll(self, running=(), now: float = 0.0, runner: str = "e1", events=()):
        """Let a runner ask for work; what it is given."""
        self.sequence += 1
        call = TakeWork(runner, "derby", "x", 7, self.sequence, tuple(running), 10, 0.4, events)
        one = self.dispatcher.take(call, now)
        one.waiting = True
        self.dispatcher.match(now)
        one.waiting = False
        given = tuple(one.outbox)
        one.outbox.clear()
        return given

    def end(self, number: int, kind: str, now: float = 0.0, **fields):
        ended = self.dispatcher.report(Outcome(number, kind, **fields), now)
        if ended is not None:
            self.apply(RecordResults(ended[0], (ended[1],)))
        return ended[1] if ended is not None else None

    def part(self, number: int, after: int, output: str, versions=(4,)) -> bool:
        """Hand over what a run made meanwhile; whether it is to be kept."""
        events = output.count("\n") + 1
        made = self.dispatcher.take_part(
            Outcome(number, PART, output, events, versions, 0.0, after)
        )
        if made is not None:
            self.apply(KeepTexts(made[0], (made[1],)))
        return made is not None

    def change_leader(self) -> None:
        """Another store leads: it knows what the log kept and nothing else."""
        around = self.dispatcher._around
        self.dispatcher = Dispatcher(self.state, around, epoch=8)
        self.sequence = 0


@pytest.fixture
def world():
    return _World(ENGINE)


def test_an_engine_gets_no_more_than_its_places(world) -> None:
    assert len(world.poll()) == 2
    assert world.poll(running=(1, 2)) == ()


def test_a_call_looks_at_no_item_while_all_places_are_taken(monkeypatch) -> None:
    # Hundreds of entries ask twice a second each; a scan of all open items a call takes the jobs'
    # leader more than its processor.
    items = tuple(JobItem(f"i{n}", "/score", (), b"", 900, f"g{n // 8}") for n in range(400))
    world = _World(ENGINE, items=items)
    assert len(world.poll()) == 2
    looked_at = []

    def look_at(**fields):
        looked_at.append(fields["key"])
        return WaitingItem(**fields)

    monkeypatch.setattr(items_module, "WaitingItem", look_at)

    for call in range(20):
        assert world.poll(running=(1, 2), runner=f"e{call}") == ()
    assert not looked_at

    world.end(1, "done", output="a", events=1, versions=(4,))
    assert len(world.poll(running=(2,))) == 1
    assert len(looked_at) == 1


def test_work_whose_answer_was_lost_is_given_out_again(world) -> None:
    # The answer with an item is lost on its way. The dispatcher takes it for running, no engine has
    # it, and the trainer waits for it until its step runs out of time.
    first = world.poll()

    again = world.poll(running=())

    assert {one.item.item for one in again} == {one.item.item for one in first}


def test_the_work_of_a_runner_that_went_silent_begins_elsewhere(world) -> None:
    # An entry is frozen with items on it: its trainer waits for the freeze to end.
    first = world.poll(now=0.0)
    world.dispatcher.sweep(1.0)
    assert world.poll(now=1.0, runner="e2") == ()

    world.dispatcher.sweep(2.0)

    again = world.poll(now=2.0, runner="e2")
    assert {one.item.item for one in again} == {one.item.item for one in first}


def test_a_broken_run_goes_on_after_its_last_whole_event(world) -> None:
    # An engine dies after seven seconds of a long text; read again from its start, the text would
    # come too late for its step.
    number = world.poll()[0].number
    broken = {"output": "a\nb", "events": 2, "versions": (4,)}
    assert world.end(number, "broken", **broken) is None

    again = next(one for one in world.poll(running=(2,), now=1.0) if one.resume_after)
    assert again.resume_after == 2
    whole = world.end(again.number, "done", now=2.0, output="c", events=1, versions=(5,))

    assert whole.output == "a\nb\nc"
    assert whole.versions == (4, 5)


def test_a_text_of_two_versions_begins_anew_where_one_version_is_asked_for() -> None:
    world = _World(ENGINE, single_version=True)
    number = world.poll()[0].number
    world.end(number, "broken", output="a", events=1, versions=(4,))
    again = next(one for one in world.poll(running=(2,), now=1.0) if one.resume_after)

    assert world.end(again.number, "done", now=2.0, output="b", events=1, versions=(5,)) is None
    assert next(iter(world.poll(running=(2,), now=3.0))).resume_after == 0


def test_no_text_is_listed_that_older_weights_made() -> None:
    # A score under an older version than the trainer allows slips into its training.
    world = _World(ENGINE, min_version=4)
    number = world.poll()[0].number

    assert world.end(number, "done", output="a", events=1, versions=(3,)) is None
    assert not world.state.job_by_id["j"].results


def test_an_engine_with_older_weights_gets_nothing() -> None:
    world = _World(ENGINE, min_version=5)

    assert world.poll() == ()
    world.engines = (dataclasses.replace(ENGINE, version_by_adapter={"m": 5}),)
    assert len(world.poll()) == 2


def test_an_engine_that_loads_gets_nothing_for_that_model(world) -> None:
    # While an engine loads it turns away all that begins there; each item sent comes back, and is
    # sent again, hundreds of times for each version.
    world.loading.add(("engine-1", "m"))
    assert world.poll() == ()

    world.loading.clear()
    assert len(world.poll()) == 2


def test_an_item_is_given_up_after_as_many_failures_as_its_route_allows(world) -> None:
    now = 0.0
    for attempt in range(3):
        given = [one for one in world.poll(running=(), now=now) if one.item.item == "i0"]
        ended = world.end(given[0].number, "failed", now=now)
        assert (ended is not None) is (attempt == 2)
        now += 1.0
    assert ended.state == "abandoned"


def test_an_item_that_can_never_be_done_is_given_up_at_once(world) -> None:
    assert world.end(world.poll()[0].number, "impossible").state == "abandoned"


def test_nothing_is_given_up_before_its_time(world) -> None:
    world.wall = 1000.0 + 40.0
    assert world.dispatcher.sweep(40.0) == []

    world.wall = 1000.0 + 41.1
    assert len(world.dispatcher.sweep(41.1)) == 3


def test_a_result_that_is_being_committed_does_not_begin_again(world) -> None:
    number = world.poll()[0].number
    item = world.dispatcher.run_by_number[number].item

    assert world.dispatcher.report(Outcome(number, "done", "a", 1, (4,)), 0.0) is not None

    assert item not in {one.item.item for one in world.poll(running=(2,))}


def test_the_runs_of_an_ended_job_are_stopped(world) -> None:
    # A trainer has what it needs and ends its step. The engines go on for seconds at texts that
    # nobody reads, and the next step waits for them.
    world.poll()
    world.apply(CloseJob("j"))

    runner = world.dispatcher.runners.runner_by_address["e1"]
    assert sorted(runner.cancelled) == [1, 2]
    assert world.poll() == ()


def test_a_text_leaves_a_slow_engine_and_goes_on_after_its_last_event() -> None:
    # One engine of three turns slow with a text half way; the step waits for it though the other
    # engines have places.
    engines = [dataclasses.replace(ENGINE, endpoint=f"engine-{n}") for n in (1, 2, 3)]
    alone = tuple(dataclasses.replace(item, group=item.item) for item in job_of().items)
    world = _World(*engines, items=alone)
    first = world.poll()
    assert {one.endpoint for one in first} == {one.endpoint for one in engines}
    slow = next(one for one in first if one.endpoint == "engine-2")
    events = {one.number: 0 for one in first}
    for step in range(1, 5):
        for one in first:
            events[one.number] += 2 if one is slow else 10
        world.poll(events, now=step * 0.4, events=tuple(events.values()))
        world.dispatcher.move_stragglers(step * 0.4)

    runner = world.dispatcher.runners.runner_by_address["e1"]
    assert runner.moved == [slow.number]
    made = {"output": "a\nb", "events": 2, "versions": (4,)}
    world.end(slow.number, "broken", now=2.0, **made)
    again = world.poll([one.number for one in first if one is not slow], now=2.1)
    assert [one.resume_after for one in again] == [2]
    assert again[0].endpoint != "engine-2"


def test_a_new_leader_goes_on_after_the_parts_that_are_kept(world) -> None:
    """
    All machines lose power in the middle of a step; its texts are half written.

    Begun anew, each would take as long as before, the step would come late, and the trainer asks
    for one step less.
    """
    first, second = world.poll()
    assert world.part(first.number, 0, "a\nb")
    assert world.part(first.number, 2, "c")

    world.change_leader()
    again = {one.item.item: one for one in world.poll()}

    assert again[first.item.item].resume_after == 3
    assert again[second.item.item].resume_after == 0
    ended = world.end(again[first.item.item].number, "done", output="d", events=1, versions=(5,))
    assert (ended.output, ended.versions) == ("a\nb\nc\nd", (4, 5))


def test_the_end_of_a_run_joins_its_parts(world) -> None:
    first, _ = world.poll()
    world.part(first.number, 0, "a\nb")

    ended = world.end(first.number, "done", output="c", events=1, versions=(4,), after=2)

    assert (ended.output, ended.versions) == ("a\nb\nc", (4,))


def test_a_part_that_comes_twice_is_taken_once(world) -> None:
    first, _ = world.poll()
    assert world.part(first.number, 0, "a\nb")

    assert not world.part(first.number, 0, "a\nb")

    ended = world.end(first.number, "done", output="c", events=1, versions=(4,), after=2)
    assert ended.output == "a\nb\nc"


def test_a_broken_run_goes_on_after_its_parts_and_its_rest(world) -> None:
    first, _ = world.poll()
    world.part(first.number, 0, "a\nb")
    world.end(first.number, "broken", output="c", events=1, versions=(4,), after=2)

    (again,) = [one for one in world.poll(now=1.0) if one.item.item == first.item.item]

    assert again.resume_after == 3


def test_parts_of_two_versions_are_not_kept_where_one_version_is_asked_for() -> None:
    world = _World(ENGINE, single_version=True)
    first, _ = world.poll()
    assert world.part(first.number, 0, "a", (4,))

    assert not world.part(first.number, 1, "b", (5,))

    assert world.end(first.number, "done", output="c", events=1, versions=(5,), after=2) is None
    (again,) = [one for one in world.poll(now=1.0) if one.item.item == first.item.item]
    assert again.resume_after == 0


def test_a_part_of_a_run_that_is_not_known_is_left_alone(world) -> None:
    world.poll()

    assert not world.part(99, 0, "a")
