"""
Chooses which runs (items that an engine works on) move from a slow engine to a faster one.

Load pattern: one engine of five becomes three times slower for some seconds while it runs twelve
half-finished items; the step that they belong to waits for all of them.

Without this policy, the slow engine would be detected only when its runs end, which is too late:
the trainer's step waits for its slowest text, and each later step of the trainer begins late.

The policy detects a slow engine by the pace of the events in its streams while they run. A moved
run continues after its last event and costs the engine that it moves to one reading of its text, a
few milliseconds. A run moves only to an engine that may run it and that has a free slot which no
waiting item takes. Otherwise runs would leave the only engine that may run them and be sent back
to it again and again.

A comparison with the median takes an engine that is slow by nature for a sick one, and noise of
half a second for a fault. Where the speed of each engine is learned,
`choose_gainful_moves` decides instead: a run leaves its engine only if the engine is degraded or
the run will be late, and if the predicted gain exceeds the cost of the move.
"""

from __future__ import annotations

import enum
import math
import statistics
from collections import deque
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
# Seconds from the stop of a run to the next event of its text elsewhere: the stop, its report, the
# new connection, and the reading of the prompt and of the text so far.
MOVE_COST_S = 0.25
# Minimum predicted gain of a move after its cost, in seconds, by its reason. The predicted end of a
# run is known to about half a second; a degraded engine may get worse.
MIN_DEGRADED_GAIN_S = 0.5
MIN_LATE_GAIN_S = 0.8
# A run counts as late if it ends after its due time with this factor on its remaining time, as
# estimates of a text's length are often too low.
LATE_FACTOR = 1.3
# Seconds after a move in which an item does not move again.
MOVE_REST_S = 3.0
# Most moves in a second: this share of the runs in progress, and at least MIN_MOVES_PER_S.
MOVES_SHARE_PER_S = 0.02
MIN_MOVES_PER_S = 2


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


class MoveReason(enum.Enum):
    """Why a run moves."""

    DEGRADED = "degraded"
    LATE = "late"


@dataclass(frozen=True)
class ForecastRun:
    """
    A run that may move, with its prediction.

    :param number: number by which the caller identifies the run.
    :param engine: id of the engine that the run is on.
    :param degraded: whether that engine is degraded.
    :param remaining_events: estimated number of events that the run still has to produce.
    :param ends_in_s: seconds until its predicted end where it is.
    :param due_in_s: seconds until its job is due; negative if the time has passed.
    :param engines: ids of the engines that may continue the run.
    """

    number: int
    engine: str
    degraded: bool
    remaining_events: float
    ends_in_s: float
    due_in_s: float
    engines: frozenset[str]

    def reason(self) -> MoveReason | None:
        """Return why the run should leave its engine; None if it should not."""
        if self.degraded:
            return MoveReason.DEGRADED
        return MoveReason.LATE if LATE_FACTOR * self.ends_in_s > self.due_in_s else None


@dataclass
class FreeEngine:
    """
    An engine that runs may move to.

    :param free_slots: number of further runs; reduced by each move.
    :param event_s: expected seconds per event of a run that begins there now.
    """

    engine: str
    free_slots: int
    event_s: float


@dataclass(frozen=True)
class Move:
    """
    A move of a run.

    :param gain_s: seconds by which the run will end sooner, after the cost of the move.
    """

    number: int
    engine: str
    reason: MoveReason
    gain_s: float
    ends_in_s: float


class MoveBudget:
    """Limits the moves of any second to a share of the runs; `now` is in seconds since boot."""

    def __init__(self) -> None:
        self._moved_at: deque[float] = deque()

    def left(self, runs: int, now: float) -> int:
        """
        Return the number of further moves in the present second.

        :param runs: number of runs in progress.
        """
        while self._moved_at and now - self._moved_at[0] >= 1.0:
            self._moved_at.popleft()
        return max(MIN_MOVES_PER_S, math.ceil(MOVES_SHARE_PER_S * runs)) - len(self._moved_at)

    def spend(self, now: float) -> None:
        """Record a move."""
        self._moved_at.append(now)


def choose_gainful_moves(
    runs: Iterable[ForecastRun], free_engines: Iterable[FreeEngine], max_moves: int
) -> tuple[Move, ...]:
    """
    Choose the runs that end sooner on another engine by more than a move costs.

    A free slot is given to a run even if items wait, since the run's own slot becomes free for
    them.

    :param free_engines: engines with free slots, without those that are slower than usual now.
    :param max_moves: most moves of this decision.
    :return: the moves, those of the runs that end last first.
    """
    candidates = [(run, reason) for run in runs if (reason := run.reason()) is not None]
    candidates.sort(key=lambda candidate: (-candidate[0].ends_in_s, candidate[0].number))
    free = [engine for engine in free_engines if engine.free_slots > 0]
    moves: list[Move] = []
    for run, reason in candidates:
        if len(moves) >= max_moves:
            break
        target = min(
            (one for one in free if one.engine in run.engines and one.engine != run.engine),
            key=lambda one: (one.event_s, one.engine),
            default=None,
        )
        if target is None:
            continue
        ends_in_s = MOVE_COST_S + run.remaining_events * target.event_s
        gain_s = run.ends_in_s - ends_in_s
        least_s = MIN_DEGRADED_GAIN_S if reason is MoveReason.DEGRADED else MIN_LATE_GAIN_S
        if gain_s < least_s:
            continue
        target.free_slots -= 1
        if target.free_slots <= 0:
            free.remove(target)
        moves.append(Move(run.number, target.engine, reason, gain_s, ends_in_s))
    return tuple(moves)


__all__ = [
    "ForecastRun",
    "FreeEngine",
    "MovableRun",
    "Move",
    "MoveBudget",
    "MoveReason",
    "Pace",
    "choose_gainful_moves",
    "choose_moves",
    "slow_engines",
]
