"""
Which runs leave a slow engine for a faster one.

Load pattern: one engine of five turns three times as slow for some seconds, with twelve texts half
way; the step that they belong to waits for all of them.

Without it: the engine's slowness shows only when its runs end, which is when it is too late.
Measured, a text of 38 events took 6.7 s on such an engine against 1.4 s elsewhere; the trainer's
next step began 4.9 s late and the last one of the day was never asked.

Grounds: how fast an engine is shows in the events of its streams while they run. `SLOW` 1.7 times
the median is outside what load makes of equals (a full engine takes a quarter longer for an event
than an empty one). A run that moves goes on after its last event and costs the other engine one
reading of its text, a few milliseconds; it moves only where a place is free that no waiting item
takes, at an engine that may run it, and not in its last moments (`LEAST_LEFT`). Measured where
places at engines with too old weights were counted as well: sixteen texts left the slow engine, the
only one that might run them, and came back to it twice a second for six seconds.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

SLOW = 1.7
# Events that must be left for a move to be worth it; the outcome of a shorter run is on its way.
LEAST_LEFT = 6
# The weight of a new measurement: two of them, half a second apart, tell a slow engine.
PACE_WEIGHT = 0.6


@dataclass
class Pace:
    """
    How long an engine takes for an event.

    :param seconds: smoothed seconds for an event of one stream; 0.0 before the first.
    """

    seconds: float = 0.0

    def measure(self, seconds: float) -> None:
        """Take in a measurement over some streams of the engine."""
        if not self.seconds:
            self.seconds = seconds
            return
        self.seconds += PACE_WEIGHT * (seconds - self.seconds)


@dataclass(frozen=True)
class MovableRun:
    """
    A run that may move.

    :param left: events that it likely still makes.
    :param engines: engines that may run it.
    """

    number: int
    engine: str
    left: float
    engines: frozenset[str]


def slow_engines(pace_by_engine: Mapping[str, Pace]) -> frozenset[str]:
    """
    Find the engines that are much slower than most.

    :return: their ids; none where fewer than three are known, since nobody knows then who is slow.
    """
    paces = {engine: pace.seconds for engine, pace in pace_by_engine.items() if pace.seconds}
    if len(paces) < 3:
        return frozenset()
    usual = statistics.median_low(paces.values())
    return frozenset(engine for engine, seconds in paces.items() if seconds > SLOW * usual)


def choose_moves(
    runs: Iterable[MovableRun],
    slow: frozenset[str],
    free_by_engine: Mapping[str, int],
    waiting: int,
) -> tuple[int, ...]:
    """
    Choose the runs that leave.

    :param free_by_engine: places that are free.
    :param waiting: items that wait for places.
    :return: numbers, the run with the most left first.
    """
    movable = [run for run in runs if run.engine in slow and run.left >= LEAST_LEFT]
    movable.sort(key=lambda run: (-run.left, run.number))
    free = {engine: places for engine, places in free_by_engine.items() if engine not in slow}
    left = sum(free.values()) - waiting
    chosen: list[int] = []
    for run in movable:
        engine = max(run.engines & free.keys(), key=free.__getitem__, default=None)
        if engine is None or free[engine] <= 0 or len(chosen) >= left:
            continue
        free[engine] -= 1
        chosen.append(run.number)
    return tuple(chosen)


__all__ = ["MovableRun", "Pace", "choose_moves", "slow_engines"]
