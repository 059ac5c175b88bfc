"""Histograms of durations, by what was measured and how it ended."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Histogram

PREFIX = "ibisspring_"
# From a call between processes of one VM to the longest generation; each bound is two to two and a
# half times the one before, so that a quantile is known to about that factor.
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Latencies:
    """This process's histograms by name."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._histogram_by_name: dict[str, Histogram] = {}

    def observe(self, name: str, seconds: float, outcome: str) -> None:
        """Count a duration; see `Counters.observe`."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = Histogram(
                PREFIX + name, name, ("outcome",), registry=self.registry, buckets=BUCKETS_S
            )
            self._histogram_by_name[name] = histogram
        histogram.labels(outcome).observe(seconds)


__all__ = ["BUCKETS_S", "PREFIX", "Latencies"]
