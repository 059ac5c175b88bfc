from __future__ import annotations

import random
from statistics import mean

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.speeds import figures_of
from ibisspring_decisions.dispatch import EngineCapacity, WaitingItem
from ibisspring_decisions.placement import (
    MAX_HELD_BACK,
    MIN_REMAINING_EVENTS,
    MIN_WAIT_GAIN_S,
    EngineForecast,
    expected_events,
    place_by_end,
    remaining_events,
)

FAST_S = 0.028
SLOW_S = 0.062
ANY_ENGINE = frozenset({"fast", "slow"})
SEEDS = (1, 2)


def waiting_item(number: int, engines: frozenset[str] = ANY_ENGINE) -> WaitingItem:
    return WaitingItem(("job", f"i{number}"), ("job", f"g{number}"), 7.5, 0, False, 0, 10, engines)


def forecast(engine: str, event_s: float, free: int, ends=(), **changes) -> EngineForecast:
    capacity = EngineCapacity(engine, free, 100_000, len(ends), 1.0, set(), **changes)
    return EngineForecast(capacity, lambda running: event_s, lambda: list(ends))


def place(events: list[float], *forecasts: EngineForecast):
    """Place items with these numbers of remaining events; return engines and held keys."""
    items = [waiting_item(number) for number in range(len(events))]
    events_by_key = {item.key: one for item, one in zip(items, events, strict=True)}
    placed = place_by_end(items, forecasts, lambda item: events_by_key[item.key])
    return {one.key[1]: one.engine for one in placed.placements}, [
        key[1] for key in placed.held_back
    ]


def test_a_long_item_waits_for_a_fast_slot_and_a_short_one_takes_the_slow_slot() -> None:
    # The longest texts of a step take eight seconds on a slow engine and four on a fast one. One
    # that began on a slow engine because no fast slot was free ended after its step's due time.
    engines, held = place(
        [130, 5], forecast("fast", FAST_S, 0, ends=(0.4,)), forecast("slow", SLOW_S, 1)
    )

    assert engines == {"i1": "slow"}
    assert held == ["i0"]


def test_a_slow_slot_is_used_where_waiting_does_not_end_the_item_sooner() -> None:
    engines, held = place(
        [18], forecast("fast", FAST_S, 0, ends=(2.0,)), forecast("slow", SLOW_S, 1)
    )

    assert engines == {"i0": "slow"}
    assert held == []


def test_a_reserved_slot_is_not_promised_twice() -> None:
    # Without the reservation, all items of a step would wait for the same fast slot.
    engines, held = place(
        [100, 100, 100], forecast("fast", FAST_S, 0, ends=(0.2,)), forecast("slow", SLOW_S, 3)
    )

    assert held == ["i0", "i1"]
    assert engines == {"i2": "slow"}


def test_an_engine_whose_slots_are_limited_otherwise_is_not_waited_for() -> None:
    # A cold engine gets few requests a second; the end of a run does not make a slot free there.
    paced = EngineForecast(
        EngineCapacity("fast", 0, 100_000, 2, 1.0, set()), lambda running: FAST_S, list
    )
    engines, held = place([130], paced, forecast("slow", SLOW_S, 1))

    assert engines == {"i0": "slow"}
    assert held == []


def test_the_engine_with_the_prompt_is_preferred_only_among_nearly_equal_ones() -> None:
    item = waiting_item(0, frozenset({"a", "b"}))

    def engine_of(other_s: float) -> str:
        with_prompt = forecast("b", other_s, 1)
        with_prompt.capacity.groups_with_prompt.add(item.group)
        placed = place_by_end([item], [forecast("a", 0.030, 1), with_prompt], lambda one: 18.0)
        return placed.placements[0].engine

    assert engine_of(0.031) == "b"
    assert engine_of(0.062) == "a"


def test_items_are_placed_only_where_they_may_run_and_fit() -> None:
    items = [waiting_item(0, frozenset({"fast"})), waiting_item(1, frozenset({"slow"}))]
    full_memory = forecast("fast", FAST_S, 1, ends=(1.0,))
    full_memory.capacity.free_memory_tokens = 5

    placed = place_by_end(items, [full_memory, forecast("slow", SLOW_S, 1)], lambda item: 9.0)

    assert [(one.key[1], one.engine) for one in placed.placements] == [("i1", "slow")]


def test_a_text_that_has_outlived_its_estimate_is_long() -> None:
    assert remaining_events(20, 0) == 20
    assert remaining_events(20, 15) == 6.0
    assert remaining_events(20, 50) == 20.0
    assert remaining_events(2, 1) == MIN_REMAINING_EVENTS
    assert expected_events(9300, 300, 1200) == 20
    assert expected_events(9300, 300, 0) == 30
    assert expected_events(900, 300, 1200) == 10


@settings(max_examples=200, deadline=None)
@given(
    events=st.lists(st.floats(1, 130), max_size=40),
    free_fast=st.integers(0, 3),
    free_slow=st.integers(0, 6),
    seed=st.integers(0, 1000),
)
def test_a_slot_stays_free_only_while_every_waiting_item_ends_sooner_by_waiting(
    events: list[float], free_fast: int, free_slow: int, seed: int
) -> None:
    source = random.Random(seed)
    ends = [source.uniform(0.1, 4.0) for _ in range(4)]
    fast = forecast("fast", FAST_S, free_fast, ends=ends[free_fast:])
    engines, held = place(events, fast, forecast("slow", SLOW_S, free_slow))

    assert list(engines.values()).count("fast") <= free_fast
    assert list(engines.values()).count("slow") <= free_slow
    assert not set(held) & set(engines)
    slots_left = free_fast + free_slow - len(engines)
    if slots_left == 0:
        return
    waiting = {f"i{number}" for number in range(len(events))} - set(engines)
    assert waiting == set(held)
    # The ends of the items that were placed just now count as well.
    placed = [events[int(key[1:])] for key, engine in engines.items() if engine == "fast"]
    ends_s = [*ends[free_fast:], *(remaining * FAST_S for remaining in placed)]
    first_free_s = min(ends_s) if not fast.capacity.free_slots else 0.0
    for number, remaining in enumerate(events):
        if f"i{number}" in held:
            assert first_free_s + remaining * FAST_S < remaining * SLOW_S - MIN_WAIT_GAIN_S


def test_the_number_of_items_that_one_decision_examines_is_bounded() -> None:
    # The leader of the jobs' log decides dozens of times a second while hundreds of items wait.
    ends = [0.01] * 400
    examined = []

    def remaining_of(item: WaitingItem) -> float:
        examined.append(item)
        return 100.0

    items = [waiting_item(number) for number in range(400)]
    fast = forecast("fast", FAST_S, 0, ends=ends)
    placed = place_by_end(items, [fast, forecast("slow", SLOW_S, 1)], remaining_of)

    assert len(placed.held_back) == MAX_HELD_BACK
    assert len(placed.placements) == 1
    assert len(examined) == MAX_HELD_BACK + 1


@pytest.mark.parametrize("degraded", [False, True])
def test_steps_on_engines_of_two_speeds_end_in_time(degraded: bool) -> None:
    # Three trainers submit a step every four seconds, due after seven and a half, to 22 engines of
    # two speeds with noise. Items that take the fastest free slot, and runs that leave every engine
    # slower than the median, make one step in ten late and run one item in ten twice.
    before = [figures_of("fast first, moves by the median", seed, 1.0, degraded) for seed in SEEDS]
    after = [figures_of("predicted end, gainful moves", seed, 1.0, degraded) for seed in SEEDS]

    assert mean(one.late_steps for one in after) < mean(one.late_steps for one in before)
    assert mean(one.group_p99_s for one in after) < mean(one.group_p99_s for one in before)
    assert max(one.rerun for one in after) < 0.03
    assert min(one.rerun for one in before) > 0.03
    if not degraded:
        assert mean(one.group_p99_s for one in after) < 7.5


def test_holding_items_back_for_fast_slots_alone_makes_fewer_steps_late() -> None:
    before = [figures_of("fast first, no moves", seed) for seed in SEEDS]
    after = [figures_of("predicted end, no moves", seed) for seed in SEEDS]

    assert mean(one.late_steps for one in after) < mean(one.late_steps for one in before)
    assert mean(one.group_p99_s for one in after) < mean(one.group_p99_s for one in before)
