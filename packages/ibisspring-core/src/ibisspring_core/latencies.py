"""Histograms of durations by name and outcome."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

PREFIX = "ibisspring_"
# Upper bounds of the histograms' buckets in seconds, from the duration of a call between processes
# of one VM to that of the longest text generation. Each bound is two to two and a half times the
# bound before it (the last bound three times), so that a quantile is known to about that factor.
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


@dataclass
class Histogram:
    """
    Histogram of the measured durations with one name and outcome.

    :param counts: number of durations in each bucket; the last bucket has no upper bound.
    :param sum_s: sum of the durations, in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration; one equal to a bound falls into that bound's bucket."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds


class Latencies:
    """The histograms of this process by name and outcome."""

    def __init__(self) -> None:
        self.histogram_by_key: dict[tuple[str, str], Histogram] = {}

    def observe(self, name: str, seconds: float, outcome: str) -> None:
        """Add a duration to its histogram; see `Counters.observe`."""
        histogram = self.histogram_by_key.get((name, outcome))
        if histogram is None:
            histogram = self.histogram_by_key.setdefault((name, outcome), Histogram())
        histogram.observe(seconds)


__all__ = ["BUCKETS_S", "PREFIX", "Histogram", "Latencies"]
