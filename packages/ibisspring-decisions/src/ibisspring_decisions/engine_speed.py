"""
The own speed and the present state of each engine.

Load pattern: the engines of a service differ in speed by a factor of two or more by nature, each of
them is two and a half times slower for half a second now and then, and some degrade for seconds.

A comparison with the other engines takes an engine that is slow by nature for a sick one, and any
pause of half a second for a fault; runs then leave engines that would have ended them sooner. Each
start of an engine is therefore compared with itself: `LearnedSpeeds` learns its usual seconds per
event as a low quantile of measurements over seconds, and its state is the present pace relative to
that usual pace, with hysteresis.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low
from typing import TYPE_CHECKING, Protocol

from ibisspring_decisions.engine_start import (
    SETTLED_SAMPLES,
    STATE_KEPT_S,
    EngineStart,
    EngineState,
    StreamProgress,
    fullness_factor,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Relative change of a usual pace that is worth keeping in the log.
KEPT_CHANGE = 0.1
# Seconds per event while no engine is known.
DEFAULT_EVENT_S = 0.04


@dataclass(frozen=True)
class KnownSpeed:
    """
    The learned speed of one start of an engine, as it is kept in the log.

    :param engine: id of the engine.
    :param incarnation: start of the engine; a speed of another start is not used.
    :param event_s: usual seconds per event of one stream while the engine is half full.
    """

    engine: str
    incarnation: int
    event_s: float


@dataclass(frozen=True)
class StateChange:
    """
    A change of an engine's state, for the log.

    :param present_s: present seconds per event of a stream while the engine is half full.
    :param usual_s: usual seconds of the same.
    :param age_s: seconds since the measurement that began the change.
    """

    engine: str
    state: EngineState
    present_s: float
    usual_s: float
    age_s: float


class EngineSpeeds(Protocol):
    """Learns the speed of each engine from the events of its streams."""

    def event_s(self, engine: str, running: int) -> float:
        """
        Return the usual seconds per event of one stream.

        :param running: number of streams that the engine would run.
        :return: the median of the known engines for an engine that is not known.
        """
        ...

    def state(self, engine: str) -> EngineState:
        """Return the engine's present state; NORMAL for an engine that is not known."""
        ...


class LearnedSpeeds:
    """
    The learned speeds of all engines, each of its present start.

    In all methods `now` is in seconds since boot.
    """

    def __init__(self, known: Iterable[KnownSpeed] = ()) -> None:
        """
        :param known: speeds that an earlier leader learned; see `restore`.
        """
        self._known_by_engine: dict[str, KnownSpeed] = {}
        self._start_by_engine: dict[str, EngineStart] = {}
        self._median_s = 0.0
        self.restore(known)

    def restore(self, known: Iterable[KnownSpeed]) -> None:
        """Use kept speeds for the same starts of engines that have not been measured."""
        self._known_by_engine = {speed.engine: speed for speed in known}
        for engine, start in self._start_by_engine.items():
            self._claim(engine, start)
        self._update_median()

    def _claim(self, engine: str, start: EngineStart) -> None:
        known = self._known_by_engine.pop(engine, None)
        if known is not None and known.incarnation == start.incarnation and not start.samples:
            start.usual_s = known.event_s
            start.samples.extend([known.event_s] * SETTLED_SAMPLES)

    def register(self, engine: str, incarnation: int, slots: int, now: float) -> StateChange | None:
        """
        State the present start of an engine; what was learned of another start is forgotten.

        :param slots: number of streams that the engine runs at a time.
        :return: the change of its state, if it was slow and has not been measured for some time.
        """
        start = self._start_by_engine.get(engine)
        if start is None or start.incarnation != incarnation:
            start = self._start_by_engine[engine] = EngineStart(incarnation, slots)
            self._claim(engine, start)
            self._update_median()
        start.slots = slots
        start.registered_at = now
        if start.state is EngineState.NORMAL or now - start.sampled_at <= STATE_KEPT_S:
            return None
        age_s = now - start.sampled_at
        start.reset_state()
        return StateChange(engine, start.state, start.usual_s, start.usual_s, age_s)

    def forget_absent(self, before: float) -> None:
        """Forget the engines that were last registered before the given time."""
        starts = self._start_by_engine.items()
        for engine in [engine for engine, start in starts if start.registered_at < before]:
            del self._start_by_engine[engine]
        self._update_median()

    def forget_unclaimed(self) -> None:
        """Forget the kept speeds of engines that have not been registered with this incarnation."""
        self._known_by_engine.clear()
        self._update_median()

    def observe(
        self, engine: str, running: int, progress: StreamProgress, now: float
    ) -> StateChange | None:
        """
        Add what some streams of a registered engine produced; other engines are ignored.

        :param running: number of streams that the engine runs.
        :return: the change of the engine's state; None if it did not change.
        """
        start = self._start_by_engine.get(engine)
        if start is None:
            return None
        state, usual_s, since = start.state, start.usual_s, start.slow_since or start.usual_since
        start.add_progress(progress, running, now)
        if start.usual_s != usual_s:
            self._update_median()
        if start.state is state:
            return None
        began_at = start.slow_since or start.usual_since or since or now
        present_s = start.ratio * start.usual_s
        return StateChange(engine, start.state, present_s, start.usual_s, now - began_at)

    def event_s(self, engine: str, running: int) -> float:
        """
        Return the usual seconds per event of one stream.

        :param running: number of streams that the engine would run.
        :return: the median of the known engines for an engine that is not known.
        """
        start = self._start_by_engine.get(engine)
        if start is None:
            return self._median_s
        return (start.usual_s or self._median_s) * fullness_factor(running, start.slots)

    def expected_event_s(self, engine: str, running: int) -> float:
        """Return the seconds per event to expect now: with usual noise, or the degraded pace."""
        start = self._start_by_engine.get(engine)
        if start is None:
            return self._median_s
        factor = start.ratio if start.state is EngineState.DEGRADED else start.noise
        return self.event_s(engine, running) * max(1.0, factor)

    def median_event_s(self, engines: Iterable[str] | None = None) -> float:
        """
        Return the median of the usual seconds per event of half-full engines.

        :param engines: ids of the engines, such as those of a service; None for all.
        :return: the median of all engines if none of the given ones is known.
        """
        if engines is None:
            return self._median_s
        starts = [self._start_by_engine.get(engine) for engine in engines]
        speeds = [start.usual_s for start in starts if start is not None and start.usual_s]
        return median_low(speeds) if speeds else self._median_s

    def state(self, engine: str) -> EngineState:
        """Return the engine's present state; NORMAL for an engine that is not known."""
        start = self._start_by_engine.get(engine)
        return start.state if start is not None else EngineState.NORMAL

    def known_speeds(self) -> tuple[KnownSpeed, ...]:
        """Return the speeds that are settled, and those of the log that no engine has used yet."""
        learned = [
            KnownSpeed(engine, start.incarnation, start.usual_s)
            for engine, start in self._start_by_engine.items()
            if start.is_settled()
        ]
        learned += self._known_by_engine.values()
        return tuple(sorted(learned, key=lambda speed: speed.engine))

    def _update_median(self) -> None:
        speeds = [start.usual_s for start in self._start_by_engine.values() if start.usual_s]
        speeds += [speed.event_s for speed in self._known_by_engine.values()]
        self._median_s = median_low(speeds) if speeds else DEFAULT_EVENT_S


def is_worth_keeping(kept: Iterable[KnownSpeed], learned: Iterable[KnownSpeed]) -> bool:
    """
    Whether the learned speeds differ from the kept ones by more than KEPT_CHANGE.

    :param kept: the speeds in the log. One of an engine that is no longer known is not a
        difference, as no engine uses it.
    """
    kept_by_start = {(speed.engine, speed.incarnation): speed.event_s for speed in kept}
    for speed in learned:
        event_s = kept_by_start.get((speed.engine, speed.incarnation))
        if event_s is None or abs(speed.event_s - event_s) > KEPT_CHANGE * event_s:
            return True
    return False


__all__ = [
    "DEFAULT_EVENT_S",
    "EngineSpeeds",
    "EngineState",
    "KnownSpeed",
    "LearnedSpeeds",
    "StateChange",
    "StreamProgress",
    "is_worth_keeping",
]
