"""How much of its time the jobs' leader spends on decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_decisions.decision_pacing import MAX_DECISION_SHARE

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters

# Seconds over which the load is summed up.
SPAN_S = 1.0
# Part of a span from which the time that decisions take is reported: decisions wait for each other.
BUSY_SHARE = 0.8 * MAX_DECISION_SHARE


class DispatchLoad:
    """
    Measures the decisions of one store.

    In all methods `now` is in seconds since boot.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._span_began_at: float | None = None
        self._decision_s = 0.0
        self._decisions = 0
        self._calls = 0

    def decided(self, seconds: float) -> None:
        """Record a decision and the seconds that it took."""
        self._counters.observe("dispatch_seconds", seconds, "decided")
        self._decision_s += seconds
        self._decisions += 1

    def called(self) -> None:
        """Record a runner's call for work or its report."""
        self._calls += 1

    def report(self, now: float, runners: int, runs: int) -> None:
        """
        Log the load of the span that has ended, if decisions took BUSY_SHARE of it.

        :param runners: number of runners that call for work.
        :param runs: number of runs in progress.
        """
        if self._span_began_at is None:
            self._begin(now)
            return
        span_s = now - self._span_began_at
        if span_s < SPAN_S:
            return
        if self._decision_s >= BUSY_SHARE * span_s:
            eliot.log_message(
                "jobs:busy",
                span_s=round(span_s, 3),
                decision_s=round(self._decision_s, 3),
                decisions=self._decisions,
                calls=self._calls,
                runners=runners,
                runs=runs,
            )
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._span_began_at = now
        self._decision_s = 0.0
        self._decisions = 0
        self._calls = 0


__all__ = ["DispatchLoad"]
