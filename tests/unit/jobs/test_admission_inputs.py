from __future__ import annotations

import dataclasses
from types import SimpleNamespace

import pytest
from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness

from ibisspring_core.messages.jobs import PART, Outcome
from ibisspring_core.routes import ServiceTerms
from ibisspring_core.routes.model import ScalingTerms
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_core.settings.vm import STORE, VmSettings
from ibisspring_decisions.fleet_growth import GROWTH_SLACK_S, ORDER_DELAY_S
from ibisspring_jobs.admission_inputs import ServiceLoad
from ibisspring_jobs.commands import HoldJob, KeepTexts
from ibisspring_jobs.item_durations import MIN_OBSERVED, ItemDurations

BOOT_S = 4.0
SCALING = ScalingTerms(1, 3, BOOT_S, 1.0, {"derby": 1.0, "stoke": 2.0})
TERMS = ServiceTerms("scorer", 100, 2, scaling=SCALING)


def load_of(harness: DispatcherHarness, evacuated=(), **limits) -> ServiceLoad:
    settings = VmSettings(
        "s1", STORE, "derby", "10.0.0.1:1", ("10.0.0.1:1",), policy=LoadPolicy(True, **limits)
    )
    view = SimpleNamespace(
        wall_s=lambda: harness.wall_s,
        serving=lambda service: harness.engines,
        view=SimpleNamespace(evacuated=evacuated),
        index=SimpleNamespace(service_by_name={"scorer": TERMS}),
    )
    load = ServiceLoad(settings, harness.state, view)
    for _ in range(MIN_OBSERVED):
        load.durations.observe("scorer", 0, 10, 2.0)
    return load


def test_nothing_is_estimated_before_some_runs_ended() -> None:
    durations = ItemDurations()
    for _ in range(MIN_OBSERVED - 1):
        durations.observe("scorer", 100, 10, 2.0)
    assert durations.remaining_s("scorer", 100, 0) is None

    durations.observe("scorer", 100, 10, 2.0)
    assert durations.remaining_s("scorer", 300, 0) == pytest.approx(6.0)
    assert durations.remaining_s("scorer", 300, 15) == pytest.approx(3.0)
    assert durations.remaining_s("scorer", 0, 5) == pytest.approx(1.0)


def test_the_open_work_is_what_remains_of_texts() -> None:
    # An item that is nearly done must not count as a new one, nor the items of a held job at all.
    harness = DispatcherHarness(ENGINE)
    harness.poll()
    harness.apply(KeepTexts("j", ()))
    load = load_of(harness)

    (work,) = load.open_works("scorer", harness.dispatcher)
    assert (work.remaining_s, work.longest_s) == (pytest.approx(6.0), pytest.approx(2.0))
    assert work.due_s == 1007.5
    next(iter(harness.dispatcher.run_by_number.values())).events = 5
    (work,) = load.open_works("scorer", harness.dispatcher)
    assert work.remaining_s == pytest.approx(5.0)

    harness.apply(HoldJob("j", True, "r"))
    assert load.open_works("scorer", harness.dispatcher) == ()


def test_runs_that_are_known_in_part_are_not_observed() -> None:
    harness = DispatcherHarness(ENGINE)
    first, second = harness.poll()
    load = load_of(harness)
    harness.dispatcher.run_by_number[second.number].adopted = True
    before = load.durations.observed("scorer")

    load.run_reported(harness.dispatcher, Outcome(first.number, PART, "a", 1, (4,)), 1.0)
    load.run_reported(harness.dispatcher, Outcome(second.number, "done", "a", 1, (4,)), 1.0)
    assert load.durations.observed("scorer") == before
    load.run_reported(harness.dispatcher, Outcome(first.number, "done", "a", 1, (4,)), 1.0)
    assert load.durations.observed("scorer") == before + 1


def test_the_use_of_the_engines_counts_running_and_waiting_items() -> None:
    harness = DispatcherHarness(ENGINE)
    harness.poll()

    use = load_of(harness).engine_use("scorer", harness.dispatcher, 0.0)

    assert (use.slots, use.running, use.waiting) == (2, 2, 1)


def test_orders_can_add_engines_up_to_each_limit() -> None:
    # Engines that no order can bring would let jobs be accepted that cannot be met.
    harness = DispatcherHarness(ENGINE)

    def further(evacuated=(), **limits) -> float:
        load = load_of(harness, evacuated, **limits)
        use = load.engine_use("scorer", harness.dispatcher, 0.0)
        return use.all_slots - use.slots

    assert further() == 5 * 2
    assert further(evacuated=("stoke",)) == 2 * 2
    assert further(most_engines=4) == 3 * 2
    assert further(most_price=5.0) == 3 * 2
    assert further(most_engines=1) == 0


def test_a_fleet_that_does_not_grow_adds_no_slots() -> None:
    harness = DispatcherHarness(ENGINE)
    load = load_of(harness)
    load.watch_growth({"scorer": 100}, 10.0)

    serves_s = 10.0 + ORDER_DELAY_S + BOOT_S
    (added,) = load.engine_use("scorer", harness.dispatcher, 12.0).further
    assert added.from_s == pytest.approx(harness.wall_s + serves_s - 12.0)
    late_s = serves_s + GROWTH_SLACK_S + 0.1
    assert load.engine_use("scorer", harness.dispatcher, late_s).further == ()
    harness.engines = (ENGINE, dataclasses.replace(ENGINE, endpoint="engine-2"))
    load.watch_growth({"scorer": 100}, late_s)
    assert load.engine_use("scorer", harness.dispatcher, late_s).further
