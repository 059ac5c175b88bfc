"""
Chooses which waiting item of which job begins next, and on which engine.

Load pattern: every few seconds a trainer submits a job of a hundred items. The items form groups
that share a prompt, and a group is useful only when it is complete. One item in twelve is five
times as long as the others. Several trainers share the engines, each of which runs a fixed number
of items at a time. The engines differ in speed, and items may leave an engine before they end.

If each entry placed its own items by the engines' late reports of their running items, two entries
would overload the same engine while another is idle, long items would begin last and delay their
groups for seconds, and every engine would read the prompt of the same group into its memory.

One dispatcher therefore places all items. `rank_of` ranks them: the job that is due first comes
first, since a training step that ends late is worth least, and within a job the longest items by
their callers' estimate. With twice as many items as slots, a long item that begins last would end
later than all others by its complete running time.

`place_items` then gives each item to the engine that will probably end it first. A full engine
takes a quarter longer for each event (part of an output) than an empty one and runs out of memory
sooner, so its cost equals that of an empty engine of half its speed. The long items, which are
placed first, thus go to the fast engines. A group is placed on the engine that already has its
prompt while that engine has free capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

ItemRank = tuple[int, float, bool, int, tuple[str, str]]
"""
Sort key of a waiting item: priority and due time of its job, whether its group is new (not carried
over from an earlier job), its negated expected length, and the ids of its job and of the item.
"""

# Cost factor of an engine that has read the group's prompt already. A cached prompt saves half a
# millisecond of reading, so the factor decides only between engines of nearly equal cost.
CACHED_PROMPT_FACTOR = 0.9
# Added to the cost of an engine without an idle connection, as if the engine were a quarter fuller.
# Each new connection has a price, which matters more than a small difference in the number of
# running items.
NEW_CONNECTION_COST = 0.25
# Ratio of the maximum output that callers allow to the median output.
MAX_TO_MEDIAN_OUTPUT_RATIO = 5


@dataclass(frozen=True)
class WaitingItem:
    """
    An item that may begin.

    :param key: ids of its job and of the item.
    :param group: ids of its job and of the group that shares its prompt.
    :param due_s: time at which the item's job is due, in seconds on the caller's clock.
    :param priority: its job's priority; the lowest number begins first.
    :param carried: whether the item's group is one that an earlier job left incomplete.
    :param expected_tokens: expected length of the item's output in tokens; 0 if not known.
    :param memory_tokens: tokens of engine memory that are reserved for the item, from
        `expected_memory_tokens`.
    :param engines: ids of the engines that may run it.
    """

    key: tuple[str, str]
    group: tuple[str, str]
    due_s: float
    priority: int
    carried: bool
    expected_tokens: int
    memory_tokens: int
    engines: frozenset[str]


@dataclass
class EngineCapacity:
    """
    Free capacity of an engine.

    :param engine: the engine's id.
    :param free_slots: number of further items that the engine can run.
    :param free_memory_tokens: free memory in tokens.
    :param running: number of items that the engine runs.
    :param slowness: the engine's time per event divided by that of the fastest engine, which has
        1.0.
    :param groups_with_prompt: groups whose prompt the engine has read.
    :param idle_connections: number of idle connections to the engine; None if connections cost
        nothing.
    """

    engine: str
    free_slots: int
    free_memory_tokens: int
    running: int
    slowness: float
    groups_with_prompt: set[tuple[str, str]]
    idle_connections: int | None = None


@dataclass(frozen=True)
class Placement:
    """
    An item and the engine on which it begins.

    :param ends_in_s: seconds until the predicted end of its text; 0.0 if not predicted.
    """

    key: tuple[str, str]
    engine: str
    ends_in_s: float = 0.0


def expected_memory_tokens(max_tokens: int, prompt_tokens: int, expected_tokens: int) -> int:
    """
    Estimate the engine memory that an item needs.

    The estimate is the expected size, not the maximum. If items were counted with their maximum
    size, a few items would fill an engine's memory and most of its slots would stay empty. An
    engine that runs out of memory returns its newest item to its queue and later reads that item's
    text again in a millisecond, which costs far less than empty slots.

    :param max_tokens: maximum size of the item, prompt and output.
    :param prompt_tokens: size of its prompt.
    :param expected_tokens: size of its output by the caller's estimate; 0 if there is none.
    :return: memory in tokens.
    """
    if not expected_tokens:
        return max(prompt_tokens, max_tokens // MAX_TO_MEDIAN_OUTPUT_RATIO)
    return min(max_tokens, prompt_tokens + expected_tokens)


def rank_of(item: WaitingItem) -> ItemRank:
    """
    Build the key by which waiting items are sorted.

    :return: the sort key; the item with the lowest one begins first.
    """
    return (item.priority, item.due_s, not item.carried, -item.expected_tokens, item.key)


def place_items(
    items: Iterable[WaitingItem], engine_capacities: Sequence[EngineCapacity]
) -> tuple[Placement, ...]:
    """
    Place items in the given order while engines have free capacity.

    The function stops reading `items` when all slots are filled, because often thousands of items
    wait and only one slot is free.

    :param items: waiting items, sorted by `rank_of`.
    :param engine_capacities: free capacity of each engine; reduced by each item that is placed.
    :return: the placements in the order of the items.
    """
    capacity_by_engine = {capacity.engine: capacity for capacity in engine_capacities}
    placements: list[Placement] = []
    free_slots = sum(max(0, capacity.free_slots) for capacity in engine_capacities)
    if free_slots <= 0:
        return ()
    engines_without_slots: set[frozenset[str]] = set()
    for item in items:
        if item.engines in engines_without_slots:
            continue
        fitting = [
            capacity_by_engine[engine]
            for engine in item.engines
            if engine in capacity_by_engine and fits(capacity_by_engine[engine], item)
        ]
        if not fitting:
            if not _any_slot(capacity_by_engine, item.engines):
                engines_without_slots.add(item.engines)
            continue
        capacity = _best(fitting, item)
        capacity.free_slots -= 1
        capacity.free_memory_tokens -= item.memory_tokens
        capacity.running += 1
        capacity.groups_with_prompt.add(item.group)
        if capacity.idle_connections:
            capacity.idle_connections -= 1
        free_slots -= 1
        placements.append(Placement(item.key, capacity.engine))
        if free_slots <= 0:
            break
    return tuple(placements)


def _any_slot(capacity_by_engine: dict[str, EngineCapacity], engines: frozenset[str]) -> bool:
    return any(
        capacity_by_engine[engine].free_slots > 0
        for engine in engines
        if engine in capacity_by_engine
    )


def fits(capacity: EngineCapacity, item: WaitingItem) -> bool:
    """Whether an engine has a free slot and probably enough memory for an item."""
    if capacity.free_slots <= 0:
        return False
    # An engine that runs nothing gets the item even if the estimate exceeds its memory: the engine
    # itself accepts or rejects it.
    return item.memory_tokens <= capacity.free_memory_tokens or capacity.running == 0


def _best(fitting: list[EngineCapacity], item: WaitingItem) -> EngineCapacity:
    """Return the engine with the lowest cost; the ids decide between equal costs."""

    def cost(capacity: EngineCapacity) -> tuple[float, str]:
        fullness = capacity.running / max(1, capacity.running + capacity.free_slots)
        prompt_factor = CACHED_PROMPT_FACTOR if item.group in capacity.groups_with_prompt else 1.0
        connection_cost = NEW_CONNECTION_COST if capacity.idle_connections == 0 else 0.0
        return (
            (1.0 + fullness + connection_cost) * capacity.slowness * prompt_factor,
            capacity.engine,
        )

    return min(fitting, key=cost)


__all__ = [
    "EngineCapacity",
    "Placement",
    "ItemRank",
    "WaitingItem",
    "expected_memory_tokens",
    "fits",
    "rank_of",
    "place_items",
]
