"""
Places waiting items by the predicted end of their text, on engines of different speeds.

Load pattern: a quarter of the engines takes 28 ms for an event and the others 62 ms; the steps of
several trainers overlap, and the longest texts of a step have seven times the median length. If
each item preferred a fast engine with a free slot, the short items that come first would fill the
fast engines, and the longest texts of the next step would end on slow engines after the step's due
time. Each step that ends late delays the later steps of its trainer.

An item goes to the engine that ends it first, counting the time until a slot becomes free there.
If that engine has no free slot, the item is held back for it, and the free slots of other engines
go to the next items in order. A slot therefore stays free only while every waiting item that may
run there ends sooner by waiting.
"""

from __future__ import annotations

import heapq
from bisect import insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_decisions.dispatch import (
    CACHED_PROMPT_FACTOR,
    MAX_TO_MEDIAN_OUTPUT_RATIO,
    Placement,
    fits,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ibisspring_decisions.dispatch import EngineCapacity, WaitingItem

# Number of tokens in one stream event of current engines.
TOKENS_PER_EVENT = 60
# Estimates are often far off: a text that has so many events has at least this part of them still
# to come, whatever its estimate was.
OUTLIVED_SHARE = 0.4
# Minimum number of events that a text in progress still has to produce.
MIN_REMAINING_EVENTS = 3.0
# Seconds by which waiting for a slot must end an item sooner than the best free slot. The predicted
# ends of the runs that hold the slots are less certain than the free slot.
MIN_WAIT_GAIN_S = 0.15
# Cost factor of an engine without an idle connection, as each new connection has a price. It
# decides only between engines of nearly equal speed.
NEW_CONNECTION_FACTOR = 1.15
# Number of items that one decision holds back. The items after them take the free slots, so that
# the time of a decision is bounded.
MAX_HELD_BACK = 8
# Seconds for which an item is held back at most. The predicted end of a run whose stream is silent
# stays near, and without a limit the items that wait for its slot would never begin.
MAX_HELD_S = 2.0


@dataclass
class EngineForecast:
    """
    An engine, its speed, and when its slots become free.

    :param capacity: its free capacity; reduced by each item that is placed.
    :param event_s: returns the expected seconds per event of a run by the number of runs.
    :param ends_in_s: returns the seconds until the predicted end of each of its runs; called only
        if an item may wait for the engine. It returns none if something else than the runs limits
        the free slots.
    """

    capacity: EngineCapacity
    event_s: Callable[[int], float]
    ends_in_s: Callable[[], list[float]]


@dataclass(frozen=True)
class PlacedItems:
    """
    Result of a decision.

    :param placements: the placements in the order of the items.
    :param held_back: keys of the items for which a slot stayed free or went to a later item, as
        they will end sooner by waiting.
    """

    placements: tuple[Placement, ...] = ()
    held_back: tuple[tuple[str, str], ...] = ()


def expected_events(max_tokens: int, prompt_tokens: int, expected_tokens: int) -> float:
    """
    Estimate the number of events of a complete text.

    :param max_tokens: maximum size of the item, prompt and output.
    :param expected_tokens: size of the output by the caller's estimate; 0 if there is none.
    """
    output_tokens = max(0, max_tokens - prompt_tokens)
    if not expected_tokens:
        return output_tokens / MAX_TO_MEDIAN_OUTPUT_RATIO / TOKENS_PER_EVENT
    return min(expected_tokens, output_tokens) / TOKENS_PER_EVENT


def remaining_events(expected: float, produced: float) -> float:
    """
    Estimate the number of events that a text still has to produce.

    :param expected: number of events of the complete text by the caller's estimate.
    :param produced: number of events that exist; a text that has outlived its estimate is long.
    """
    return max(expected - produced, OUTLIVED_SHARE * produced, MIN_REMAINING_EVENTS)


def place_by_end(
    items: Iterable[WaitingItem],
    forecasts: Sequence[EngineForecast],
    remaining_of: Callable[[WaitingItem], float],
    may_wait: Callable[[WaitingItem], bool] = lambda item: True,
) -> PlacedItems:
    """
    Place items in the given order, each on the engine that will probably end it first.

    :param items: waiting items in the order in which they should begin; read only while slots are
        free.
    :param forecasts: the engines; their capacities are reduced by each item that is placed.
    :param remaining_of: returns the estimated number of events that an item has to produce.
    :param may_wait: whether an item may be held back; False for one that has waited for
        MAX_HELD_S seconds.
    """
    board = _Board(forecasts)
    placements: list[Placement] = []
    held_back: list[tuple[str, str]] = []
    engines_without_slots: set[frozenset[str]] = set()
    for item in items:
        if not board.free:
            break
        if item.engines in engines_without_slots:
            continue
        remaining = remaining_of(item)
        chosen = board.best_free(item, remaining)
        if chosen is None:
            if not any(slot.engine in item.engines for slot in board.free):
                engines_without_slots.add(item.engines)
            continue
        slot, end_s = chosen
        may_hold = len(held_back) < MAX_HELD_BACK and may_wait(item)
        if may_hold and board.reserve(item, remaining, end_s):
            held_back.append(item.key)
            continue
        placements.append(Placement(item.key, slot.engine, end_s))
        board.take(slot, item, end_s)
    return PlacedItems(tuple(placements), tuple(held_back))


@dataclass
class _Slot:
    """
    A forecast with its present speed.

    :param placed_end_s: ends of the items that this decision placed there.
    :param next_free_s: heap of the times at which slots become free; None while it is not needed.
    """

    engine: str
    forecast: EngineForecast
    event_s: float
    placed_end_s: list[float] = field(default_factory=list)
    next_free_s: list[float] | None = None

    def free_times_s(self) -> list[float]:
        """Build the heap of the times at which slots become free."""
        ends_s = [*self.forecast.ends_in_s(), *self.placed_end_s]
        is_complete = len(ends_s) == self.forecast.capacity.running
        self.next_free_s = ends_s if is_complete else []
        heapq.heapify(self.next_free_s)
        return self.next_free_s


class _Board:
    """The engines with free slots and the full ones during one decision."""

    def __init__(self, forecasts: Sequence[EngineForecast]) -> None:
        self.free: list[_Slot] = []
        self._full: list[_Slot] = []
        for forecast in forecasts:
            capacity = forecast.capacity
            if capacity.free_slots > 0:
                event_s = forecast.event_s(capacity.running + 1)
                self.free.append(_Slot(capacity.engine, forecast, event_s))
            else:
                event_s = forecast.event_s(capacity.running)
                self._full.append(_Slot(capacity.engine, forecast, event_s))
        self._full.sort(key=lambda slot: slot.event_s)

    def best_free(self, item: WaitingItem, remaining: float) -> tuple[_Slot, float] | None:
        """Return the free slot with the lowest cost for an item, and the item's end there."""
        best: _Slot | None = None
        best_cost = float("inf")
        for slot in self.free:
            if slot.event_s * CACHED_PROMPT_FACTOR >= best_cost or slot.engine not in item.engines:
                continue
            capacity = slot.forecast.capacity
            if not fits(capacity, item):
                continue
            cost = slot.event_s
            if item.group in capacity.groups_with_prompt:
                cost *= CACHED_PROMPT_FACTOR
            if capacity.idle_connections == 0:
                cost *= NEW_CONNECTION_FACTOR
            if cost < best_cost:
                best, best_cost = slot, cost
        return (best, remaining * best.event_s) if best is not None else None

    def reserve(self, item: WaitingItem, remaining: float, free_end_s: float) -> bool:
        """
        Reserve the next slot of a full engine for an item if it will end sooner there.

        :param free_end_s: seconds until the item's end in the best free slot.
        """
        latest_s = free_end_s - MIN_WAIT_GAIN_S
        best: _Slot | None = None
        for slot in self._full:
            if remaining * slot.event_s >= latest_s:
                break
            if slot.engine not in item.engines:
                continue
            free_times_s = slot.next_free_s
            if free_times_s is None:
                free_times_s = slot.free_times_s()
            if not free_times_s:
                continue
            end_s = free_times_s[0] + remaining * slot.event_s
            if end_s < latest_s:
                best, latest_s = slot, end_s
        if best is None or best.next_free_s is None:
            return False
        heapq.heapreplace(best.next_free_s, latest_s)
        return True

    def take(self, slot: _Slot, item: WaitingItem, end_s: float) -> None:
        """Place an item in a free slot."""
        forecast = slot.forecast
        capacity = forecast.capacity
        capacity.free_slots -= 1
        capacity.free_memory_tokens -= item.memory_tokens
        capacity.running += 1
        capacity.groups_with_prompt.add(item.group)
        if capacity.idle_connections:
            capacity.idle_connections -= 1
        slot.placed_end_s.append(end_s)
        if capacity.free_slots > 0:
            slot.event_s = forecast.event_s(capacity.running + 1)
            return
        self.free.remove(slot)
        insort(self._full, slot, key=lambda full: full.event_s)


__all__ = [
    "EngineForecast",
    "PlacedItems",
    "expected_events",
    "place_by_end",
    "remaining_events",
]
