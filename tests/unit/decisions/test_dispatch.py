from __future__ import annotations

import dataclasses

from ibisspring_decisions.dispatch import (
    EngineRoom,
    WaitingItem,
    memory_needed,
    order_of,
    place,
)

EVENT_S = 0.037
STRIDE = 68
SLOTS = 12
MEMORY = 40_482


def waiting(number: int, expected: int, **changes) -> WaitingItem:
    fields = {
        "key": ("job", f"item-{number:03d}"),
        "group": ("job", f"group-{number // 8}"),
        "due_s": 7.5,
        "priority": 1,
        "carried": False,
        "expected_tokens": expected,
        "tokens": memory_needed(9300, 271, expected),
        "engines": frozenset({"a", "b", "c", "d", "e"}),
    }
    return WaitingItem(**{**fields, **changes})


def room(engine: str, **changes) -> EngineRoom:
    fields = {
        "engine": engine,
        "slots": SLOTS,
        "tokens": MEMORY,
        "running": 0,
        "slowness": 1.0,
        "groups": set(),
    }
    return EngineRoom(**{**fields, **changes})


def replay(items: list[WaitingItem], events_by_key: dict, sort: bool) -> float:
    """Run a job on five engines, one engine's place after another; when its last item ends."""
    left = sorted(items, key=order_of) if sort else list(items)
    ends: list[tuple[float, str, WaitingItem]] = []
    now = 0.0
    while left or ends:
        rooms = []
        for engine in "abcde":
            mine = [item for _, name, item in ends if name == engine]
            tokens = MEMORY - sum(item.tokens for item in mine)
            rooms.append(room(engine, slots=SLOTS - len(mine), tokens=tokens, running=len(mine)))
        placed = {one.key: one.engine for one in place(left, rooms)}
        for item in left:
            if item.key in placed:
                ends.append((now + events_by_key[item.key] * EVENT_S, placed[item.key], item))
        left = [item for item in left if item.key not in placed]
        ends.sort(key=lambda one: one[0])
        now = ends.pop(0)[0]
    return now


def job_of(count: int) -> tuple[list[WaitingItem], dict]:
    """One item in twelve makes five times as many events; estimates are right at the median."""
    items = []
    events_by_key = {}
    for number in range(count):
        events = 100 if number % 12 == 11 else 20
        item = waiting(number, events * STRIDE)
        items.append(item)
        events_by_key[item.key] = events
    return items, events_by_key


def test_a_job_of_more_items_than_places_is_done_in_little_more_than_its_longest_item() -> None:
    # A trainer submits 112 items for 60 places. Its step was thrown away: the last items began
    # after six seconds, since each was counted at the most that it might grow to and four of them
    # filled an engine.
    items, events_by_key = job_of(112)
    longest_s = 100 * EVENT_S

    assert replay(items, events_by_key, sort=True) <= longest_s * 1.35

    by_most = [waiting(n, item.expected_tokens, tokens=9300) for n, item in enumerate(items)]
    assert replay(by_most, events_by_key, sort=True) > longest_s * 1.35


def test_long_items_begin_first() -> None:
    # The one long item of a step begins when all others are done, and the step ends a whole item's
    # time later than it had to.
    items, events_by_key = job_of(112)

    assert replay(items, events_by_key, sort=True) < replay(items, events_by_key, sort=False)


def test_the_job_that_is_due_first_goes_first_and_a_carried_group_before_the_others() -> None:
    late = waiting(0, 9000, due_s=9.0)
    early = waiting(1, 10, due_s=5.0)
    carried = waiting(2, 10, due_s=9.0, carried=True)
    urgent = waiting(3, 10, due_s=20.0, priority=0)

    ranked = sorted([late, early, carried, urgent], key=order_of)

    assert ranked == [urgent, early, carried, late]


def test_a_group_goes_to_the_engine_that_holds_its_prompt_while_that_one_is_near() -> None:
    item = waiting(0, 100)
    holds = room("b", running=1, groups={item.group})

    assert place([item], [room("a"), holds])[0].engine == "b"

    holds.running = 4
    assert place([item], [room("a"), holds])[0].engine == "a"


def test_a_slow_engine_gets_no_group_for_holding_its_prompt() -> None:
    # A text that left a slow engine is sent straight back there, since its prompt is there.
    item = waiting(0, 100)
    slow = room("b", slowness=5.0, groups={item.group})

    assert place([item], [room("a", running=1), slow])[0].engine == "a"


def test_long_items_go_to_the_fast_engines() -> None:
    # Engines of one data centre take a third longer for each event. A text of 134 events ends after
    # seven seconds there and after five elsewhere, and its step waits for it.
    rooms = [room("a", slowness=1.3), room("b"), room("c")]
    items = [waiting(n, 9000 if n < 6 else 900, group=("job", str(n))) for n in range(24)]
    items = [dataclasses.replace(item, engines=frozenset("abc"), tokens=900) for item in items]

    placed = {one.key: one.engine for one in place(sorted(items, key=order_of), rooms)}

    assert not [item for item in items[:6] if placed[item.key] == "a"]
    assert [item for item in items[6:] if placed[item.key] == "a"]


def test_nothing_goes_to_an_engine_without_a_place_or_with_other_weights() -> None:
    full = room("a", slots=0)
    other = room("b")
    items = [waiting(0, 100, engines=frozenset({"a"}))]

    assert place(items, [full, other]) == ()


def test_a_slow_engine_gets_less() -> None:
    rooms = [room("a", slowness=3.0), room("b")]
    items = [waiting(n, 100, engines=frozenset("ab"), group=("job", str(n))) for n in range(12)]

    placed = [placement.engine for placement in place(items, rooms)]

    assert placed.count("a") <= 3


def test_memory_is_reckoned_by_the_estimate_and_never_above_the_bound() -> None:
    assert memory_needed(9300, 271, 1300) == 1571
    assert memory_needed(9300, 271, 16000) == 9300
    assert memory_needed(9300, 271, 0) == 1860
