"""
Chooses which runs (items that an engine works on) move from a slow engine to a faster one.

Load pattern: one engine of five becomes three times slower for some seconds while it runs twelve
half-finished items; the step that they belong to waits for all of them.

Without this policy, the slow engine would be detected only when its runs end, which is too late. An
output of 38 events took 6.7 s on such an engine instead of 1.4 s; the next step of the trainer
began 4.9 s late, and the trainer's last step of the day was never submitted.

The policy detects a slow engine by the pace of the events in its streams while they run. A moved
run continues after its last event and costs the engine that it moves to one reading of its text, a
few milliseconds. A run moves only to an engine that may run it and that has a free slot which no
waiting item takes. When the free slots of engines whose weights were too old for the runs were
counted as well, sixteen runs left the slow engine, the only one that might run them, and were sent
back to it twice a second for six seconds.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# An engine is slow above this multiple of the engines' median time per event. The number of items
# on an engine alone causes smaller differences between equal engines: a full engine takes a quarter
# longer for an event than an empty one.
SLOW_PACE_RATIO = 1.7
# Minimum number of remaining events for a move: the result of a shorter run arrives sooner than
# a move would pay off.
MIN_REMAINING_EVENTS = 6
# Weight of a new measurement in the moving average of an engine's seconds per event: two
# measurements, half a second apart, are enough to detect a slow engine.
NEW_PACE_WEIGHT = 0.6


@dataclass
class Pace:
    """
    Moving average of the time that an engine takes for an event.

    :param seconds: average seconds per event of one stream; 0.0 before the first measurement.
    """

    seconds: float = 0.0

    def add_measurement(self, seconds: float) -> None:
        """Add a measurement of the seconds per event over some streams of the engine."""
        if not self.seconds:
            self.seconds = seconds
            return
        self.seconds += NEW_PACE_WEIGHT * (seconds - self.seconds)


@dataclass(frozen=True)
class MovableRun:
    """
    A run that may move to another engine.

    :param number: number by which the caller identifies the run.
    :param engine: id of the engine that the run is on.
    :param remaining_events: estimated number of events that the run still has to produce.
    :param engines: ids of the engines that may continue the run.
    """

    number: int
    engine: str
    remaining_events: float
    engines: frozenset[str]


def slow_engines(pace_by_engine: Mapping[str, Pace]) -> frozenset[str]:
    """
    Find the engines whose time per event is more than `SLOW_PACE_RATIO` times the median.

    :return: ids of these engines; empty if the pace of fewer than three engines is known, because
        the median of two engines does not show which one is slow.
    """
    paces = {engine: pace.seconds for engine, pace in pace_by_engine.items() if pace.seconds}
    if len(paces) < 3:
        return frozenset()
    median = statistics.median_low(paces.values())
    return frozenset(
        engine for engine, seconds in paces.items() if seconds > SLOW_PACE_RATIO * median
    )


def choose_moves(
    runs: Iterable[MovableRun],
    slow: frozenset[str],
    free_by_engine: Mapping[str, int],
    waiting_items: int,
) -> tuple[int, ...]:
    """
    Choose the runs that move from slow engines to free slots of other engines.

    :param runs: the runs that may move, on any engine.
    :param slow: ids of the slow engines.
    :param free_by_engine: number of free slots by engine.
    :param waiting_items: number of items that wait for a slot.
    :return: numbers of the runs, those with the most remaining events first.
    """
    movable = [
        run for run in runs if run.engine in slow and run.remaining_events >= MIN_REMAINING_EVENTS
    ]
    movable.sort(key=lambda run: (-run.remaining_events, run.number))
    free = {engine: slots for engine, slots in free_by_engine.items() if engine not in slow}
    max_moves = sum(free.values()) - waiting_items
    chosen: list[int] = []
    for run in movable:
        engine = max(run.engines & free.keys(), key=free.__getitem__, default=None)
        if engine is None or free[engine] <= 0 or len(chosen) >= max_moves:
            continue
        free[engine] -= 1
        chosen.append(run.number)
    return tuple(chosen)


__all__ = ["MovableRun", "Pace", "choose_moves", "slow_engines"]
