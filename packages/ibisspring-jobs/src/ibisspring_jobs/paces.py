"""
The pace of each engine: how many seconds it takes per event of a stream.

The paces are computed from the numbers of events that runners report for their running streams. By
them the dispatcher finds slow engines and moves their runs to others.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ibisspring_decisions.engine_speed import StreamProgress
from ibisspring_decisions.stragglers import Pace, slow_engines
from ibisspring_jobs.forecasts import remaining_events_of

if TYPE_CHECKING:
    from ibisspring_core.messages.jobs import TakeWork
    from ibisspring_jobs.learned_speeds import SpeedRecorder
    from ibisspring_jobs.runs import Run

# Minimum seconds of streaming, summed over the streams of one engine that a runner's call reports,
# for the call to count as a measurement of the engine's pace.
MIN_MEASURED_S = 0.3
NO_PROGRESS = StreamProgress(0.0, 0, 0.0)


class EnginePaces:
    """
    The current pace of each engine, by engine id, as a moving average of measurements.

    :param recorder: learns the own speed of each engine from the same reports; None if the policy
        does not use it.
    """

    def __init__(self, recorder: SpeedRecorder | None = None) -> None:
        self._recorder = recorder
        self._pace_by_engine: dict[str, Pace] = {}

    def slow(self) -> frozenset[str]:
        """Return the ids of the engines that are much slower than the median engine."""
        return slow_engines(self._pace_by_engine)

    def slowness(self, engine: str) -> float:
        """
        Return an engine's seconds per event, divided by those of the fastest engine.

        :return: 1.0 for the fastest engine and for an engine without measurements.
        """
        paces = [pace.seconds for pace in self._pace_by_engine.values() if pace.seconds]
        fastest = min(paces, default=1.0)
        pace = self._pace_by_engine.get(engine)
        return pace.seconds / fastest if pace is not None and pace.seconds else 1.0

    def measure(self, call: TakeWork, run_by_number: dict[int, Run], now: float) -> None:
        """
        Update the paces of engines from the numbers of events in a runner's call.

        :param call: a runner's call for work, with the number of events of each of its streams.
        :param run_by_number: runs in progress; their `events` and `last_update_at` are updated.
        :param now: seconds since boot.
        """
        seconds_by_engine: dict[str, float] = {}
        events_by_engine: dict[str, int] = {}
        progress_by_engine: dict[str, StreamProgress] = {}
        for number, events in zip(call.running, call.events, strict=False):
            run = run_by_number.get(number)
            if run is None or run.scoring:
                continue
            engine = run.endpoint
            if run.last_update_at and events:
                passed_s = now - run.last_update_at
                seconds_by_engine[engine] = seconds_by_engine.get(engine, 0.0) + passed_s
                new_events = events - run.events
                events_by_engine[engine] = events_by_engine.get(engine, 0) + new_events
                # The time before a stream's first event is not part of its pace.
                if self._recorder is not None and run.events:
                    before = progress_by_engine.get(engine, NO_PROGRESS)
                    progress_by_engine[engine] = before.plus(passed_s, new_events)
            run.last_update_at = now
            run.events = events
        for engine, seconds in seconds_by_engine.items():
            if seconds >= MIN_MEASURED_S:
                pace = self._pace_by_engine.setdefault(engine, Pace())
                pace.add_measurement(seconds / max(1, events_by_engine[engine]))
        if self._recorder is not None and call.events:
            running = Counter(run.endpoint for run in run_by_number.values() if not run.scoring)
            self._recorder.observe(progress_by_engine, running, now)
            for number in call.running:
                run = run_by_number.get(number)
                if run is not None and not run.scoring:
                    event_s = self._recorder.speeds.expected_event_s(
                        run.endpoint, running[run.endpoint]
                    )
                    run.ends_at = now + remaining_events_of(run) * event_s


__all__ = ["EnginePaces"]
