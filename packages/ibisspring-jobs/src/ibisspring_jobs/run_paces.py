"""
The seconds per event that the runs of each engine took recently, for predictions.

A run's time counts from its start, so the reading of its prompt is part of its pace.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_jobs.runs import Run

# Seconds per event while no engine has been measured.
DEFAULT_EVENT_S = 0.05
# Seconds after which a measurement counts half.
HALF_LIFE_S = 3.0
# Events by which an engine counts as measured.
MIN_EVENTS = 5.0


class RunPaces:
    """The recent pace of each engine, by engine id."""

    def __init__(self) -> None:
        self._seconds_by_engine: dict[str, float] = {}
        self._events_by_engine: dict[str, float] = {}
        self._seen_by_number: dict[int, tuple[int, float]] = {}
        self._observed_at = 0.0

    def observe(self, runs: Iterable[Run], now: float) -> None:
        """
        Add the events that runners have reported since the last call.

        :param runs: all runs in progress.
        :param now: seconds since boot.
        """
        factor = 0.5 ** (max(0.0, now - self._observed_at) / HALF_LIFE_S)
        self._observed_at = now
        for engine in self._events_by_engine:
            self._events_by_engine[engine] *= factor
            self._seconds_by_engine[engine] *= factor
        seen_by_number = {}
        for run in runs:
            if run.scoring or not run.last_update_at:
                continue
            events, at_s = self._seen_by_number.get(run.number, (0, run.started_at))
            seen_by_number[run.number] = (run.events, run.last_update_at)
            added = max(0, run.events - events)
            seconds = max(0.0, run.last_update_at - at_s)
            engine = run.endpoint
            self._events_by_engine[engine] = self._events_by_engine.get(engine, 0.0) + added
            self._seconds_by_engine[engine] = self._seconds_by_engine.get(engine, 0.0) + seconds
        self._seen_by_number = seen_by_number

    def event_s(self, engine: str, running: int) -> float:
        """
        Return the recent seconds per event of an engine's runs.

        :param running: number of runs of the engine; the pace is that of its recent number.
        :return: the median of the measured engines for an engine that has not been measured.
        """
        if self._events_by_engine.get(engine, 0.0) >= MIN_EVENTS:
            return self._seconds_by_engine[engine] / self._events_by_engine[engine]
        measured = [
            self._seconds_by_engine[known] / events
            for known, events in self._events_by_engine.items()
            if events >= MIN_EVENTS
        ]
        return median(measured) if measured else DEFAULT_EVENT_S


__all__ = ["DEFAULT_EVENT_S", "RunPaces"]
