from __future__ import annotations

import dataclasses

from ibisspring_decisions.dispatch import (
    EngineCapacity,
    WaitingItem,
    expected_memory_tokens,
    place_items,
    rank_of,
)

EVENT_S = 0.037
TOKENS_PER_EVENT = 68
SLOTS = 12
MEMORY_TOKENS = 40_482


def waiting_item(number: int, expected: int, **changes) -> WaitingItem:
    fields = {
        "key": ("job", f"item-{number:03d}"),
        "group": ("job", f"group-{number // 8}"),
        "due_s": 7.5,
        "priority": 1,
        "carried": False,
        "expected_tokens": expected,
        "memory_tokens": expected_memory_tokens(9300, 271, expected),
        "engines": frozenset({"a", "b", "c", "d", "e"}),
    }
    return WaitingItem(**{**fields, **changes})


def engine_capacity(engine: str, **changes) -> EngineCapacity:
    fields = {
        "engine": engine,
        "free_slots": SLOTS,
        "free_memory_tokens": MEMORY_TOKENS,
        "running": 0,
        "slowness": 1.0,
        "groups_with_prompt": set(),
    }
    return EngineCapacity(**{**fields, **changes})


def run_job(items: list[WaitingItem], events_by_key: dict, sort: bool) -> float:
    """Run a job on five engines; return the seconds until its last item ends."""
    remaining = sorted(items, key=rank_of) if sort else list(items)
    ends: list[tuple[float, str, WaitingItem]] = []
    now = 0.0
    while remaining or ends:
        capacities = []
        for engine in "abcde":
            running = [item for _, name, item in ends if name == engine]
            tokens = MEMORY_TOKENS - sum(item.memory_tokens for item in running)
            capacities.append(
                engine_capacity(
                    engine,
                    free_slots=SLOTS - len(running),
                    free_memory_tokens=tokens,
                    running=len(running),
                )
            )
        engine_by_key = {one.key: one.engine for one in place_items(remaining, capacities)}
        for item in remaining:
            if item.key in engine_by_key:
                ends.append(
                    (now + events_by_key[item.key] * EVENT_S, engine_by_key[item.key], item)
                )
        remaining = [item for item in remaining if item.key not in engine_by_key]
        ends.sort(key=lambda end: end[0])
        now = ends.pop(0)[0]
    return now


def job_of(count: int) -> tuple[list[WaitingItem], dict]:
    """
    Build a job in which one item in twelve produces five times as many events as the others.

    :return: the items, with exact estimates of their length, and the number of events by item key.
    """
    items = []
    events_by_key = {}
    for number in range(count):
        events = 100 if number % 12 == 11 else 20
        item = waiting_item(number, events * TOKENS_PER_EVENT)
        items.append(item)
        events_by_key[item.key] = events
    return items, events_by_key


def test_a_job_with_more_items_than_slots_takes_little_longer_than_its_longest_item() -> None:
    # A trainer submits 112 items for 60 slots. When each item was counted with its maximum size,
    # four items filled an engine, the last items began after six seconds, and the trainer discarded
    # the step of these items.
    items, events_by_key = job_of(112)
    longest_s = 100 * EVENT_S

    assert run_job(items, events_by_key, sort=True) <= longest_s * 1.35

    by_maximum = [
        waiting_item(n, item.expected_tokens, memory_tokens=9300) for n, item in enumerate(items)
    ]
    assert run_job(by_maximum, events_by_key, sort=True) > longest_s * 1.35


def test_long_items_begin_first() -> None:
    # If a long item of a step began only after the other items had ended, the step would be delayed
    # by the running time of a complete item.
    items, events_by_key = job_of(112)

    assert run_job(items, events_by_key, sort=True) < run_job(items, events_by_key, sort=False)


def test_the_job_that_is_due_first_begins_first_and_its_carried_groups_before_the_others() -> None:
    late = waiting_item(0, 9000, due_s=9.0)
    early = waiting_item(1, 10, due_s=5.0)
    carried = waiting_item(2, 10, due_s=9.0, carried=True)
    urgent = waiting_item(3, 10, due_s=20.0, priority=0)

    ranked = sorted([late, early, carried, urgent], key=rank_of)

    assert ranked == [urgent, early, carried, late]


def test_a_group_goes_to_the_engine_with_its_prompt_while_loads_are_nearly_equal() -> None:
    item = waiting_item(0, 100)
    with_prompt = engine_capacity("b", running=1, groups_with_prompt={item.group})

    assert place_items([item], [engine_capacity("a"), with_prompt])[0].engine == "b"

    with_prompt.running = 4
    assert place_items([item], [engine_capacity("a"), with_prompt])[0].engine == "a"


def test_a_slow_engine_is_not_preferred_for_having_the_prompt() -> None:
    # An item was moved away from a slow engine, which has read the item's prompt. If the prompt
    # outweighed the slowness, the item would be sent back to that engine.
    item = waiting_item(0, 100)
    slow = engine_capacity("b", slowness=5.0, groups_with_prompt={item.group})

    assert place_items([item], [engine_capacity("a", running=1), slow])[0].engine == "a"


def test_long_items_go_to_the_fast_engines() -> None:
    # The engines of one data centre take a third longer for each event. An output of 134 events
    # takes seven seconds there and five elsewhere. If a long item went there, its step would wait
    # for it.
    capacities = [engine_capacity("a", slowness=1.3), engine_capacity("b"), engine_capacity("c")]
    items = [waiting_item(n, 9000 if n < 6 else 900, group=("job", str(n))) for n in range(24)]
    items = [
        dataclasses.replace(item, engines=frozenset("abc"), memory_tokens=900) for item in items
    ]

    engine_by_key = {
        one.key: one.engine for one in place_items(sorted(items, key=rank_of), capacities)
    }

    assert not [item for item in items[:6] if engine_by_key[item.key] == "a"]
    assert [item for item in items[6:] if engine_by_key[item.key] == "a"]


def test_nothing_goes_to_an_engine_without_free_slots_or_one_that_may_not_run_the_item() -> None:
    full = engine_capacity("a", free_slots=0)
    not_allowed = engine_capacity("b")
    items = [waiting_item(0, 100, engines=frozenset({"a"}))]

    assert place_items(items, [full, not_allowed]) == ()


def test_a_slow_engine_gets_fewer_items() -> None:
    capacities = [engine_capacity("a", slowness=3.0), engine_capacity("b")]
    items = [
        waiting_item(n, 100, engines=frozenset("ab"), group=("job", str(n))) for n in range(12)
    ]

    engines = [placement.engine for placement in place_items(items, capacities)]

    assert engines.count("a") <= 3


def test_memory_follows_the_estimate_and_never_exceeds_the_maximum() -> None:
    assert expected_memory_tokens(9300, 271, 1300) == 1571
    assert expected_memory_tokens(9300, 271, 16000) == 9300
    assert expected_memory_tokens(9300, 271, 0) == 1860
