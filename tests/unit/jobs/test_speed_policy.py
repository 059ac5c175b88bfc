from __future__ import annotations

import dataclasses

import eliot
import pytest
from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness

from ibisspring_core.counters import Counters
from ibisspring_core.messages.endpoints import EndpointLoad
from ibisspring_core.messages.jobs import JobItem, Outcome
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_decisions.placement import MAX_HELD_S, TOKENS_PER_EVENT
from ibisspring_decisions.stragglers import MOVE_REST_S
from ibisspring_jobs.commands import COMMANDS, AcceptJob, KeepSpeeds
from ibisspring_jobs.dispatcher import Dispatcher
from ibisspring_jobs.learned_speeds import KEEP_EVERY_S
from ibisspring_jobs.reservations import RESERVED_S

REPORT_S = 0.4
SLOTS = 4
FAST_S = 0.028
SLOW_S = 0.062
# The slow engine comes first in every order by name.
SLOW = dataclasses.replace(ENGINE, endpoint="a-slow", load=EndpointLoad(capacity=SLOTS))
FAST = dataclasses.replace(ENGINE, endpoint="b-fast", load=EndpointLoad(capacity=SLOTS))
EVENT_S_BY_ENGINE = {SLOW.endpoint: SLOW_S, FAST.endpoint: FAST_S}


def item(number: int, events: int) -> JobItem:
    return JobItem(
        f"i{number}", "/score", (), b"", 12_000, f"g{number}", 100, events * TOKENS_PER_EVENT
    )


class SpeedHarness(DispatcherHarness):
    """A dispatcher with the policy `speeds`, and one runner whose streams produce events."""

    def __init__(self, *events: int, engines=(SLOW, FAST), **job_changes) -> None:
        items = tuple(item(number, one) for number, one in enumerate(events))
        fields = {"due_s": 60.0, "give_up_s": 400.0, **job_changes}
        super().__init__(*engines, items=items, **fields)
        self.counters = Counters(None)
        self.context = dataclasses.replace(
            self.dispatcher._context, policy=LoadPolicy(speeds=True), counters=self.counters
        )
        self.now = 0.0
        self.factor_by_engine: dict[str, float] = {}
        self.lead(epoch=7)

    def lead(self, epoch: int) -> None:
        self.dispatcher = Dispatcher(self.state, self.context, epoch, self.now)
        self.sequence = 0
        self.events_by_number: dict[int, float] = {}

    @property
    def policy(self):
        return self.dispatcher.speed_policy

    def assign(self) -> dict[str, str]:
        """Let the runner call, and return the engine of each newly assigned item."""
        events = tuple(int(one) for one in self.events_by_number.values())
        assigned = self.poll(tuple(self.events_by_number), self.now, events=events)
        for assignment in assigned:
            self.events_by_number[assignment.number] = 0.0
        return {assignment.item.item: assignment.endpoint for assignment in assigned}

    def run(self, seconds: float, move: bool = False) -> None:
        """Produce events and report them every REPORT_S seconds."""
        for _ in range(round(seconds / REPORT_S)):
            self.now += REPORT_S
            self.wall_s += REPORT_S
            for number in self.events_by_number:
                engine = self.dispatcher.run_by_number[number].endpoint
                factor = self.factor_by_engine.get(engine, 1.0)
                event_s = EVENT_S_BY_ENGINE[engine] * factor
                self.events_by_number[number] += REPORT_S / event_s
            self.assign()
            command = self.policy.update(self.now)
            if command is not None:
                self.apply(command)
            if move:
                self.dispatcher.move_stragglers(self.now)

    def run_of(self, item: str):
        runs = self.dispatcher.run_by_number.values()
        return next(run for run in runs if run.item == item)

    def end(self, item: str, kind: str = "done", **fields) -> None:
        number = self.run_of(item).number
        del self.events_by_number[number]
        self.end_run(number, kind, self.now, **fields)

    def moved(self) -> list[int]:
        return self.dispatcher.runners.runner_by_address["e1"].moved


@pytest.fixture
def logged(monkeypatch):
    messages = []
    monkeypatch.setattr(eliot, "log_message", lambda name, /, **fields: messages.append(name))
    return messages


def learned() -> SpeedHarness:
    """Return a harness whose engines have been measured for some seconds, with all slots taken."""
    harness = SpeedHarness(*([400] * 8 + [60] * 8))
    harness.assign()
    harness.run(6.0)
    return harness


def test_a_new_leader_places_its_first_items_by_the_learned_speeds() -> None:
    # The leader of the jobs' log fails. By unlearned speeds, the new one would give the long items
    # of the first seconds to slow engines, and their steps would end late.
    harness = learned()
    for number in range(8):
        harness.end(f"i{number}", output="x", events=1, versions=(4,))
    harness.lead(epoch=8)

    engines = harness.assign()

    assert list(engines.values())[:SLOTS] == [FAST.endpoint] * SLOTS


def test_without_kept_speeds_a_new_leader_takes_all_engines_for_equal() -> None:
    # Shows that the test above depends on the speeds in the log.
    harness = learned()
    for number in range(8):
        harness.end(f"i{number}", output="x", events=1, versions=(4,))
    harness.apply(KeepSpeeds(()))
    harness.lead(epoch=8)

    engines = harness.assign()

    assert list(engines.values())[:SLOTS] != [FAST.endpoint] * SLOTS


def test_the_speed_of_another_start_of_an_engine_is_not_used() -> None:
    # A VM was replaced under the same id. Its predecessor was fast.
    harness = learned()
    harness.engines = (SLOW, dataclasses.replace(FAST, incarnation=2))
    harness.lead(epoch=8)
    harness.assign()

    kept = {speed.engine for speed in harness.policy._recorder.speeds.known_speeds()}

    assert kept == {SLOW.endpoint}


def test_speeds_are_committed_only_when_they_change_and_not_more_often_than_stated() -> None:
    # Each commit is written to the disks of all stores.
    harness = SpeedHarness(*([2000] * 8))
    harness.assign()
    commands = []
    for _ in range(100):
        harness.now += REPORT_S
        for number, events in harness.events_by_number.items():
            engine = harness.dispatcher.run_by_number[number].endpoint
            harness.events_by_number[number] = events + REPORT_S / EVENT_S_BY_ENGINE[engine]
        harness.assign()
        command = harness.policy.update(harness.now)
        if command is not None:
            commands.append((harness.now, command))
            harness.apply(command)

    assert 1 <= len(commands) <= 2
    assert commands[0][0] >= KEEP_EVERY_S
    assert len(COMMANDS.encode(commands[-1][1])) < 40 * 2 + 40
    assert len(harness.state.speeds) == 2


def test_a_long_item_waits_for_a_fast_slot_that_becomes_free_soon() -> None:
    # All fast slots are taken by texts that end soon, and a slow slot is free. On the slow engine,
    # the long item of the next step would end after the step's due time.
    harness = SpeedHarness(*([400] * 8))
    first = harness.assign()
    harness.run(6.0)
    job = harness.state.job_by_id["j"].job
    harness.apply(AcceptJob(dataclasses.replace(job, job="k", items=(item(100, 150),))))
    slow_item = next(name for name, engine in first.items() if engine == SLOW.endpoint)
    harness.end(slow_item, output="x", events=1, versions=(4,))
    assert harness.assign() == {}
    assert harness.counters.count_by_name["placement.held_back"] == 1

    fast_item = next(name for name, engine in first.items() if engine == FAST.endpoint)
    harness.now += 0.3
    harness.end(fast_item, output="x", events=1, versions=(4,))
    assert harness.assign() == {"i100": FAST.endpoint}
    assert harness.counters.count_by_name["placement.held_back"] == 1
    held = harness.counters.latencies.histogram_by_key[("placement_held_seconds", "placed")]
    assert held.sum_s == pytest.approx(0.3)


def test_an_item_waits_only_for_a_moment_for_texts_that_outlive_their_estimates() -> None:
    # The texts on the fast engine are far longer than their callers said, so that their predicted
    # ends stay near all the time. Meanwhile a slot of the slow engine is free.
    harness = SpeedHarness(*([400] * 8))
    first = harness.assign()
    harness.run(6.0)
    job = harness.state.job_by_id["j"].job
    harness.apply(AcceptJob(dataclasses.replace(job, job="k", items=(item(100, 150),))))
    slow_item = next(name for name, engine in first.items() if engine == SLOW.endpoint)
    harness.end(slow_item, output="x", events=1, versions=(4,))
    assert harness.assign() == {}
    held_at = harness.now
    runs = harness.dispatcher.run_by_number
    while not any(run.job == "k" for run in runs.values()) and harness.now < held_at + 20.0:
        harness.run(REPORT_S)

    assert MAX_HELD_S <= harness.now - held_at < MAX_HELD_S + 2 * REPORT_S
    assert harness.run_of("i100").endpoint == SLOW.endpoint


def test_an_item_does_not_wait_for_an_engine_whose_streams_are_silent() -> None:
    # A fast engine is lost. Its streams stay silent until their time limit, and count as runs.
    harness = SpeedHarness(*([400] * 8))
    first = harness.assign()
    harness.run(6.0)
    job = harness.state.job_by_id["j"].job
    harness.apply(AcceptJob(dataclasses.replace(job, job="k", items=(item(100, 150),))))
    harness.factor_by_engine[FAST.endpoint] = 1e6
    harness.run(1.6)
    slow_item = next(name for name, engine in first.items() if engine == SLOW.endpoint)
    harness.end(slow_item, output="x", events=1, versions=(4,))

    assert harness.assign() == {"i100": SLOW.endpoint}


def test_runs_stay_on_an_engine_that_is_slow_by_nature() -> None:
    harness = SpeedHarness(*([400] * 8))
    first = harness.assign()
    harness.run(6.0)
    for name, engine in first.items():
        if engine == FAST.endpoint:
            harness.end(name, output="x", events=1, versions=(4,))
    harness.run(2.0, move=True)

    assert harness.moved() == []


def test_runs_leave_a_degraded_engine_for_reserved_slots(logged) -> None:
    # The fast engine becomes slower than the other one. While a run is stopped, a waiting item must
    # not take the slot that the run moves to: the run would go back to the engine that it left.
    harness = SpeedHarness(*([400] * 4))
    harness.assign()
    harness.run(6.0)
    fast_runs = {
        run.number
        for run in harness.dispatcher.run_by_number.values()
        if run.endpoint == FAST.endpoint
    }
    assert len(fast_runs) == 2
    harness.factor_by_engine[FAST.endpoint] = 6.0
    harness.run(3.2, move=True)

    moved = harness.moved()
    assert 1 <= len(moved) <= 2
    assert set(moved) <= fast_runs
    assert harness.counters.count_by_name["dispatch.moved.degraded"] == len(moved)
    assert "dispatch:engine_state" in logged

    number = moved[0]
    run = harness.dispatcher.run_by_number[number]
    del harness.events_by_number[number]
    harness.end_run(number, "broken", harness.now, output="a", events=1, versions=(4,))
    assert harness.assign() == {run.item: SLOW.endpoint}
    assert run.item not in [
        other.item for other, _ in harness.policy.choose_moves([harness.run_of(run.item)], 99.0)
    ]


def test_a_waiting_item_does_not_take_the_slot_of_a_moving_run() -> None:
    # All slots are taken, an engine degrades, and a slot becomes free on the other one. While the
    # run that moves there is being stopped, an item of a more urgent job arrives.
    harness = SpeedHarness(*([400] * 8))
    first = harness.assign()
    harness.run(6.0)
    harness.factor_by_engine[FAST.endpoint] = 6.0
    harness.run(2.0)
    slow_item = next(name for name, engine in first.items() if engine == SLOW.endpoint)
    harness.end(slow_item, output="x", events=1, versions=(4,))
    harness.dispatcher.move_stragglers(harness.now)
    assert len(harness.moved()) == 1

    job = harness.state.job_by_id["j"].job
    urgent = dataclasses.replace(job, job="k", items=(item(100, 150),), due_s=1.0)
    harness.apply(AcceptJob(urgent))
    assert harness.assign() == {}

    number = harness.moved()[0]
    moved_item = harness.dispatcher.run_by_number[number].item
    del harness.events_by_number[number]
    harness.end_run(number, "broken", harness.now, output="a", events=1, versions=(4,))
    assert harness.assign()[moved_item] == SLOW.endpoint


def test_a_moved_item_rests_even_if_its_new_engine_degrades() -> None:
    # Both engines degrade in turn. Without the rest, the same text would be read again and again.
    harness = SpeedHarness(*([400] * 8))
    first = harness.assign()
    harness.run(6.0)
    harness.factor_by_engine[FAST.endpoint] = 6.0
    harness.run(2.0)
    for name in [name for name, engine in first.items() if engine == SLOW.endpoint]:
        harness.end(name, output="x", events=1, versions=(4,))
    harness.dispatcher.move_stragglers(harness.now)
    number = harness.moved()[0]
    moved = harness.dispatcher.run_by_number[number]
    del harness.events_by_number[number]
    harness.end_run(number, "broken", harness.now, output="a", events=1, versions=(4,))
    assert harness.assign() == {moved.item: SLOW.endpoint}

    harness.factor_by_engine = {SLOW.endpoint: 12.0}
    moved_at = harness.now
    moved_items = []
    while harness.now - moved_at < MOVE_REST_S + 2.0:
        harness.moved().clear()
        harness.run(REPORT_S, move=True)
        moved_items = [harness.dispatcher.run_by_number[one].item for one in harness.moved()]
        if moved.item in moved_items:
            break
    assert moved.item in moved_items
    assert harness.now - moved_at >= MOVE_REST_S


def test_the_time_before_the_first_event_is_not_part_of_the_pace() -> None:
    # Engines read the prompt before the first event. If this time counted, an engine with many
    # short texts would seem to be noisy.
    harness = SpeedHarness(*([20] * 40), engines=(FAST,))
    for _ in range(8):
        names = list(harness.assign())
        for events in (0, 1, 1 + REPORT_S / FAST_S):
            harness.now += REPORT_S
            harness.events_by_number = dict.fromkeys(harness.events_by_number, events)
            harness.assign()
        for name in names:
            harness.end(name, output="x", events=1, versions=(4,))

    event_s = harness.policy._recorder.speeds.event_s(FAST.endpoint, SLOTS // 2)
    assert event_s == pytest.approx(FAST_S, rel=0.15)
    assert "engine_state.noisy" not in harness.counters.count_by_name


def test_a_slot_is_kept_for_a_moving_run_only_for_a_moment() -> None:
    harness = learned()
    reserved = harness.policy._placement.reserved
    reserved.reserve(("j", "i0"), FAST.endpoint, harness.now)

    assert reserved.engine_by_key(harness.now + RESERVED_S - 0.1) == {("j", "i0"): FAST.endpoint}
    assert reserved.engine_by_key(harness.now + RESERVED_S + 0.1) == {}


def test_a_late_run_moves_once_and_rests() -> None:
    # A text has outlived its estimate on a slow engine, and its step is due soon.
    harness = SpeedHarness(*([400] * 8), due_s=13.0)
    harness.assign()
    harness.run(6.0)
    slow_run = next(
        run for run in harness.dispatcher.run_by_number.values() if run.endpoint == SLOW.endpoint
    )
    fast_item = next(
        run.item
        for run in harness.dispatcher.run_by_number.values()
        if run.endpoint != SLOW.endpoint
    )
    harness.end(fast_item, output="x", events=1, versions=(4,))
    harness.run(REPORT_S, move=True)

    assert len(harness.moved()) == 1
    number = harness.moved()[0]
    moved_item = harness.dispatcher.run_by_number[number].item
    assert harness.dispatcher.run_by_number[number].endpoint == slow_run.endpoint
    assert harness.counters.count_by_name == {
        **harness.counters.count_by_name,
        "dispatch.moved.late": 1,
    }
    del harness.events_by_number[number]
    harness.end_run(number, "broken", harness.now, output="a", events=1, versions=(4,))
    assert harness.assign() == {moved_item: FAST.endpoint}
    harness.moved().clear()
    harness.run(MOVE_REST_S - 2 * REPORT_S, move=True)
    assert harness.moved() == []


def test_the_error_of_a_predicted_end_is_recorded_once() -> None:
    harness = learned()
    name = next(iter(harness.dispatcher.run_by_number.values())).item
    run = harness.run_of(name)
    outcome = Outcome(run.number, "done", "x", 1, (4,), 0.0, 0)
    harness.policy.record_end(run, dataclasses.replace(outcome, kind="broken"), harness.now)
    harness.policy.record_end(None, outcome, harness.now)
    assert harness.counters.latencies.histogram_by_key == {}

    harness.policy.record_end(run, outcome, run.predicted_end_at + 0.2)
    histogram = harness.counters.latencies.histogram_by_key[
        ("predicted_end_error_seconds", "later")
    ]
    assert histogram.sum_s == pytest.approx(0.2)


def test_nothing_is_predicted_while_the_policy_does_not_name_speeds() -> None:
    harness = DispatcherHarness(SLOW, FAST)

    assert harness.dispatcher.speed_policy is None
    assert harness.poll()
    assert harness.state.speeds == ()
