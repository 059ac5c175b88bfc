"""
The usual pace and the present state of one start of an engine.

Load pattern: an engine is slower for half a second now and then, degrades for seconds, or becomes
slower for good. A mean follows each of these at once; a fixed pace follows none. The usual pace is
a low quantile of measurements over seconds, and the state is the present pace relative to it, with
hysteresis.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

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
# A measurement that began this long ago and is still not complete is dropped.
MAX_SAMPLE_S = 3.0


class EngineState(enum.Enum):
    """An engine's present speed compared with its own usual speed."""

    NORMAL = "normal"
    NOISY = "noisy"
    DEGRADED = "degraded"


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

    def plus(self, stream_s: float, events: int) -> StreamProgress:
        """Add the progress of one more stream, in the seconds since its last report."""
        span_s = max(self.span_s, stream_s)
        return StreamProgress(self.stream_s + stream_s, self.events + events, span_s)


@dataclass
class _Window:
    """A measurement that is not complete; `half_full_s` is its stream time at half fullness."""

    started_at: float
    stream_s: float = 0.0
    half_full_s: float = 0.0
    events: int = 0


@dataclass
class EngineStart:
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
    registered_at: float = 0.0
    window: _Window | None = None

    def is_settled(self) -> bool:
        return len(self.samples) >= SETTLED_SAMPLES

    def add_progress(self, progress: StreamProgress, running: int, now: float) -> None:
        window = self.window
        if window is None or now - window.started_at > MAX_SAMPLE_S:
            window = self.window = _Window(now - progress.span_s)
        window.stream_s += progress.stream_s
        window.half_full_s += progress.stream_s / fullness_factor(running, self.slots)
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


def fullness_factor(running: int, slots: int) -> float:
    """Return the time of an event relative to that of a half-full engine."""
    fullness = min(1.0, running / max(1, slots))
    return (1.0 + FULL_SLOWDOWN * fullness) / (1.0 + FULL_SLOWDOWN / 2)


__all__ = ["EngineStart", "EngineState", "StreamProgress", "fullness_factor"]
