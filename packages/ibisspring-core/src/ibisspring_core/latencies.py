"""Histograms of durations, by what was measured and how it ended."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

PREFIX = "ibisspring_"
# From a call between processes of one VM to the longest generation; each bound is two to two and a
# half times the one before, so that a quantile is known to about that factor.
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


@dataclass
class Histogram:
    """
    Durations of one kind that ended in one way.

    :param counts: durations in each bucket; the last one holds those above all bounds.
    :param sum_s: all of them together, in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration; one that equals a bound is within it."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds


class Latencies:
    """This process's histograms by name and outcome."""

    def __init__(self) -> None:
        self.histogram_by_key: dict[tuple[str, str], Histogram] = {}

    def observe(self, name: str, seconds: float, outcome: str) -> None:
        """Count a duration; see `Counters.observe`."""
        histogram = self.histogram_by_key.get((name, outcome))
        if histogram is None:
            histogram = self.histogram_by_key.setdefault((name, outcome), Histogram())
        histogram.observe(seconds)


__all__ = ["BUCKETS_S", "PREFIX", "Histogram", "Latencies"]
