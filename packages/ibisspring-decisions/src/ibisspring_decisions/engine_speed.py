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

import enum
from collections import deque
from dataclasses import dataclass, field
from statistics import median_low
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

# Extra time of an event: a full engine takes a quarter longer for it than an empty one.
FULL_SLOWDOWN = 0.25
# A measurement covers at least this many seconds and about this many events at the usual pace, as
# the number of events of a stream is known only up to one.
MIN_SAMPLE_S = 0.25
MIN_SAMPLE_EVENTS = 12
# Seconds of all streams together that a measurement needs while the engine's usual pace is unknown.
MIN_FIRST_SAMPLE_S = 0.5
# A measurement without an event counts as if it had this part of one.
MIN_EVENTS = 0.5
# Number of measurements from which the usual pace is taken: about eight seconds of work.
KEPT_SAMPLES = 24
# Position of the usual pace among the sorted measurements. Noise only makes an engine slower, so
# the usual pace lies below the median of a sample that contains noise.
USUAL_QUANTILE = 0.35
# Number of measurements after which slow ones no longer change the usual pace.
SETTLED_SAMPLES = 8
# An engine is slower than usual above the first ratio, and as usual again below the second one.
SLOW_RATIO = 1.6
USUAL_RATIO = 1.3
# Seconds of slow measurements after which an engine counts as degraded, and of usual ones after
# which a degraded engine counts as normal again.
DEGRADED_AFTER_S = 1.2
NORMAL_AFTER_S = 1.0
# Seconds after which the pace of a degraded engine becomes its usual pace.
RELEARN_AFTER_S = 30.0
# Seconds without a measurement after which the state of an engine is no longer known.
STATE_KEPT_S = 5.0
# Weight of a new measurement in the moving averages of the present pace and of the engine's noise.
PRESENT_WEIGHT = 0.5
NOISE_WEIGHT = 0.05
# Relative change of a usual pace that is worth keeping in the log.
KEPT_CHANGE = 0.1
# Seconds per event while no engine is known.
DEFAULT_EVENT_S = 0.04
# A measurement that began this long ago and is still not complete is dropped.
MAX_SAMPLE_S = 3.0


class EngineState(enum.Enum):
    """An engine's present speed compared with its own usual speed."""

    NORMAL = "normal"
    NOISY = "noisy"
    DEGRADED = "degraded"


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
class StreamProgress:
    """
    What some streams of an engine produced since they were last reported.

    :param stream_s: seconds of streaming, summed over the streams.
    :param events: events that the streams produced in this time.
    :param span_s: seconds since the earliest of the previous reports.
    """

    stream_s: float
    events: int
    span_s: float


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


@dataclass
class _Window:
    """A measurement that is not complete; `half_full_s` is its stream time at half fullness."""

    started_at: float
    stream_s: float = 0.0
    half_full_s: float = 0.0
    events: int = 0


@dataclass
class _EngineStart:
    """
    What is known about one start of an engine.

    :param samples: measured seconds per event at half fullness, the newest last.
    :param usual_s: usual seconds per event at half fullness; 0.0 while not known.
    :param ratio: moving average of the present pace relative to the usual one.
    :param noise: mean pace relative to the usual one outside of degraded times.
    :param slow_since: when the present series of slow measurements began; None if there is none.
    :param usual_since: the same for the present series of usual ones.
    """

    incarnation: int
    slots: int
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_SAMPLES))
    usual_s: float = 0.0
    ratio: float = 1.0
    noise: float = 1.0
    state: EngineState = EngineState.NORMAL
    slow_since: float | None = None
    usual_since: float | None = None
    sampled_at: float = 0.0
    window: _Window | None = None

    def is_settled(self) -> bool:
        return len(self.samples) >= SETTLED_SAMPLES

    def add_progress(self, progress: StreamProgress, running: int, now: float) -> None:
        window = self.window
        if window is None or now - window.started_at > MAX_SAMPLE_S:
            window = self.window = _Window(now - progress.span_s)
        window.stream_s += progress.stream_s
        window.half_full_s += progress.stream_s / _fullness_factor(running, self.slots)
        window.events += progress.events
        needed_s = MIN_SAMPLE_EVENTS * self.usual_s if self.usual_s else MIN_FIRST_SAMPLE_S
        if now - window.started_at < MIN_SAMPLE_S or window.stream_s < needed_s:
            return
        self.window = None
        self._add_sample(window.half_full_s / max(MIN_EVENTS, window.events), window, now)

    def _add_sample(self, event_s: float, window: _Window, now: float) -> None:
        self.sampled_at = now
        if not self.is_settled() or event_s < SLOW_RATIO * self.usual_s:
            self.samples.append(event_s)
            ordered = sorted(self.samples)
            self.usual_s = ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]
        if not self.is_settled():
            return
        ratio = event_s / self.usual_s
        self.ratio += PRESENT_WEIGHT * (ratio - self.ratio)
        self._update_state(ratio, window.started_at, now)
        if self.state is not EngineState.DEGRADED:
            self.noise += NOISE_WEIGHT * (min(ratio, 2 * SLOW_RATIO) - self.noise)
        elif self.slow_since is not None and now - self.slow_since > RELEARN_AFTER_S:
            self._relearn(event_s)

    def _update_state(self, ratio: float, started_at: float, now: float) -> None:
        if ratio >= SLOW_RATIO:
            self.usual_since = None
            self.slow_since = started_at if self.slow_since is None else self.slow_since
        elif ratio < USUAL_RATIO:
            self.slow_since = None
            self.usual_since = started_at if self.usual_since is None else self.usual_since
        if self.slow_since is not None:
            if self.state is not EngineState.DEGRADED:
                is_long = now - self.slow_since >= DEGRADED_AFTER_S
                self.state = EngineState.DEGRADED if is_long else EngineState.NOISY
        elif self.usual_since is not None and (
            self.state is not EngineState.DEGRADED or now - self.usual_since >= NORMAL_AFTER_S
        ):
            self.state = EngineState.NORMAL

    def _relearn(self, event_s: float) -> None:
        self.samples.clear()
        self.samples.append(event_s)
        self.usual_s = event_s
        self.reset_state()

    def reset_state(self) -> None:
        """Forget the present pace: the engine counts as normal until it is measured again."""
        self.state = EngineState.NORMAL
        self.slow_since = self.usual_since = None
        self.ratio = 1.0
        self.window = None


class LearnedSpeeds:
    """
    The learned speeds of all engines, each of its present start.

    In all methods `now` is in seconds since boot.
    """

    def __init__(self, known: Iterable[KnownSpeed] = ()) -> None:
        """
        :param known: speeds that an earlier leader learned; used as soon as an engine with the same
            incarnation is registered.
        """
        self._known_by_engine = {speed.engine: speed for speed in known}
        self._start_by_engine: dict[str, _EngineStart] = {}
        self._median_s = 0.0
        self._update_median()

    def register(self, engine: str, incarnation: int, slots: int, now: float) -> StateChange | None:
        """
        State the present start of an engine; what was learned of another start is forgotten.

        :param slots: number of streams that the engine runs at a time.
        :return: the change of its state, if it was slow and has not been measured for some time.
        """
        start = self._start_by_engine.get(engine)
        if start is None or start.incarnation != incarnation:
            start = self._start_by_engine[engine] = _EngineStart(incarnation, slots)
            known = self._known_by_engine.pop(engine, None)
            if known is not None and known.incarnation == incarnation:
                start.usual_s = known.event_s
                start.samples.extend([known.event_s] * SETTLED_SAMPLES)
            self._update_median()
        start.slots = slots
        if start.state is EngineState.NORMAL or now - start.sampled_at <= STATE_KEPT_S:
            return None
        age_s = now - start.sampled_at
        start.reset_state()
        return StateChange(engine, start.state, start.usual_s, start.usual_s, age_s)

    def retain(self, engines: Iterable[str]) -> None:
        """Forget all engines but the given ones."""
        kept = set(engines)
        for engine in [engine for engine in self._start_by_engine if engine not in kept]:
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
        return (start.usual_s or self._median_s) * _fullness_factor(running, start.slots)

    def expected_event_s(self, engine: str, running: int) -> float:
        """Return the seconds per event to expect now: with usual noise, or the degraded pace."""
        start = self._start_by_engine.get(engine)
        if start is None:
            return self._median_s
        factor = start.ratio if start.state is EngineState.DEGRADED else start.noise
        return self.event_s(engine, running) * max(1.0, factor)

    def median_event_s(self) -> float:
        """Return the median of the usual seconds per event of half-full engines."""
        return self._median_s

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


def _fullness_factor(running: int, slots: int) -> float:
    """Return the time of an event relative to that of a half-full engine."""
    fullness = min(1.0, running / max(1, slots))
    return (1.0 + FULL_SLOWDOWN * fullness) / (1.0 + FULL_SLOWDOWN / 2)


__all__ = [
    "EngineSpeeds",
    "EngineState",
    "KnownSpeed",
    "LearnedSpeeds",
    "StateChange",
    "StreamProgress",
    "is_worth_keeping",
]
