"""
Which item of which job runs next, at which engine.

Load pattern: every few seconds a trainer submits a hundred items at once, in groups that share a
prompt and are worth something only when whole; one item in twelve is five times as long as the
others; engines work on a fixed number at a time, differ in speed, and are left in mid-run. Several
trainers share them.

Without it, each entry would place its own items by load reports that lag: two of them flood the
same engine while another is idle, long items begin last and hold up their groups for seconds, and a
group is read into the memory of every engine.

Counted at the most that they may grow to, four items fill an engine's memory and eight of its
twelve places stay empty: measured, a job of 111 items took 5.6 s until its last one began, against
1.3 s.

Grounds: the earliest due job first, since a step that is late is worth least. Within a job the long
items first, by their callers' estimate: with twice as many items as places, a long one that begins
last ends a whole item's time after all others. An item goes where it likely ends first: a full
engine takes a quarter longer for an event than an empty one and runs out of memory sooner, which
counts as much as an engine that is half as fast again; so the long items, which are placed first,
go to the fast engines. A group goes to the engine that holds its prompt
already, while that one has room. An engine to which no connection is idle costs as much as one that
is a quarter fuller (`OPENING`): a new connection is paid for, and which engine is a little emptier
matters less.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

Rank = tuple[int, float, bool, int, tuple[str, str]]
"""Sort key of an item."""

# A prompt that an engine holds saves a reading of half a millisecond: it decides between engines
# that are nearly equal.
HELD_PROMPT = 0.9
OPENING = 0.25
# Outputs are a fifth of the most that callers allow at the median.
UNKNOWN_SHARE = 5


@dataclass(frozen=True)
class WaitingItem:
    """
    An item that may begin.

    :param key: job and item.
    :param due_s: when its job is due, on the caller's clock.
    :param carried: it belongs to a group that an earlier job left unfinished.
    :param expected_tokens: tokens that its output likely has.
    :param tokens: tokens that it takes in memory at most.
    :param engines: engines that may run it.
    """

    key: tuple[str, str]
    group: tuple[str, str]
    due_s: float
    priority: int
    carried: bool
    expected_tokens: int
    tokens: int
    engines: frozenset[str]


@dataclass
class EngineRoom:
    """
    What an engine has left.

    :param slots: items that it still takes.
    :param tokens: memory that is left.
    :param running: items on it.
    :param slowness: time that it takes for an item against the fastest; 1.0 for that one.
    :param groups: groups whose prompt it holds.
    :param connected: idle connections to it; None where connections cost nothing.
    """

    engine: str
    slots: int
    tokens: int
    running: int
    slowness: float
    groups: set[tuple[str, str]]
    connected: int | None = None


@dataclass(frozen=True)
class Placement:
    """An item to begin at an engine."""

    key: tuple[str, str]
    engine: str


def memory_needed(tokens: int, prompt_tokens: int, expected_tokens: int) -> int:
    """
    Reckon the memory that an item takes.

    Engines put the newest item back when memory runs out and read it again in a millisecond, which
    costs far less than places that stay empty.

    :param tokens: most that it may grow to.
    :param expected_tokens: its output by its caller's estimate; 0 for none.
    :return: tokens.
    """
    if not expected_tokens:
        return max(prompt_tokens, tokens // UNKNOWN_SHARE)
    return min(tokens, prompt_tokens + expected_tokens)


def order_of(item: WaitingItem) -> Rank:
    """
    Rank an item among those that wait; the lowest begins first.

    :return: a sort key.
    """
    return (item.priority, item.due_s, not item.carried, -item.expected_tokens, item.key)


def place(items: Iterable[WaitingItem], rooms: Sequence[EngineRoom]) -> tuple[Placement, ...]:
    """
    Place items in their order while engines have room.

    With thousands of items waiting and a place free now and then, only as many items are looked at
    as it takes to fill the places.

    :param items: items in the order of `order_of`; no more of them are taken than needed.
    :param rooms: engines; changed as items are placed.
    :return: the placements in order.
    """
    room_by_engine = {room.engine: room for room in rooms}
    placements: list[Placement] = []
    free = sum(max(0, room.slots) for room in rooms)
    if free <= 0:
        return ()
    full: set[frozenset[str]] = set()
    for item in items:
        if item.engines in full:
            continue
        fitting = [
            room_by_engine[engine]
            for engine in item.engines
            if engine in room_by_engine and _fits(room_by_engine[engine], item)
        ]
        if not fitting:
            if not _any_slot(room_by_engine, item.engines):
                full.add(item.engines)
            continue
        room = _best(fitting, item)
        room.slots -= 1
        room.tokens -= item.tokens
        room.running += 1
        room.groups.add(item.group)
        if room.connected:
            room.connected -= 1
        free -= 1
        placements.append(Placement(item.key, room.engine))
        if free <= 0:
            break
    return tuple(placements)


def _any_slot(room_by_engine: dict[str, EngineRoom], engines: frozenset[str]) -> bool:
    return any(room_by_engine[engine].slots > 0 for engine in engines if engine in room_by_engine)


def _fits(room: EngineRoom, item: WaitingItem) -> bool:
    if room.slots <= 0:
        return False
    # Alone, an item may take more than what is reckoned: the engine itself decides.
    return item.tokens <= room.tokens or room.running == 0


def _best(fitting: list[EngineRoom], item: WaitingItem) -> EngineRoom:
    """Take the engine that likely ends the item first, its group's if that one is near."""

    def cost(room: EngineRoom) -> tuple[float, str]:
        fullness = room.running / max(1, room.running + room.slots)
        held = HELD_PROMPT if item.group in room.groups else 1.0
        opening = OPENING if room.connected == 0 else 0.0
        return ((1.0 + fullness + opening) * room.slowness * held, room.engine)

    return min(fitting, key=cost)


__all__ = [
    "EngineRoom",
    "Placement",
    "Rank",
    "WaitingItem",
    "memory_needed",
    "order_of",
    "place",
]
