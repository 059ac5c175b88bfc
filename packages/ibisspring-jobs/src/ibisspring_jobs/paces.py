"""How long each engine takes for an event, as the streams that run show it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.stragglers import Pace, slow_engines

if TYPE_CHECKING:
    from ibisspring_core.messages.jobs import TakeWork
    from ibisspring_jobs.runs import Run

# Streams' time that must be seen before their events tell an engine's pace.
MEASURE_S = 0.3


class EnginePaces:
    """Paces by engine; `now` is always given."""

    def __init__(self) -> None:
        self._pace_by_engine: dict[str, Pace] = {}

    def slow(self) -> frozenset[str]:
        """Engines that are much slower than most."""
        return slow_engines(self._pace_by_engine)

    def slowness(self, engine: str) -> float:
        """Time that an engine takes against the fastest; 1.0 for that one and for an unknown."""
        paces = [pace.seconds for pace in self._pace_by_engine.values() if pace.seconds]
        fastest = min(paces, default=1.0)
        pace = self._pace_by_engine.get(engine)
        return pace.seconds / fastest if pace is not None and pace.seconds else 1.0

    def measure(self, call: TakeWork, run_by_number: dict[int, Run], now: float) -> None:
        """
        Learn from the streams that run how long each engine takes for an event.

        :param call: a runner's call, which tells the events of its streams.
        :param run_by_number: the runs under way; what the call tells of them is noted there.
        """
        seconds_by_engine: dict[str, float] = {}
        events_by_engine: dict[str, int] = {}
        for number, events in zip(call.running, call.events, strict=False):
            run = run_by_number.get(number)
            if run is None or run.scoring:
                continue
            engine = run.endpoint
            if run.noted_s and events:
                passed_s = now - run.noted_s
                seconds_by_engine[engine] = seconds_by_engine.get(engine, 0.0) + passed_s
                made = events - run.events
                events_by_engine[engine] = events_by_engine.get(engine, 0) + made
            run.noted_s = now
            run.events = events
        for engine, seconds in seconds_by_engine.items():
            if seconds >= MEASURE_S:
                pace = self._pace_by_engine.setdefault(engine, Pace())
                pace.measure(seconds / max(1, events_by_engine[engine]))


__all__ = ["EnginePaces"]
