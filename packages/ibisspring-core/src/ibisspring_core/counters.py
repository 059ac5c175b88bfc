"""Counters and durations, sent to statsd and kept in memory for the metrics server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

from ibisspring_core.latencies import Latencies

if TYPE_CHECKING:
    from ibisspring_core.errors import Reason
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import StatsdSettings

# statsd expects durations in milliseconds.
MS = 1000.0


class Counters:
    """The counters and duration histograms of this process by name."""

    name = "counters"

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self._client = client
        self.count_by_name: dict[str, int] = {}
        self.latencies = Latencies()

    @classmethod
    def from_config(cls, settings: StatsdSettings | None) -> Counters:
        """
        Build the counters of this process.

        :param settings: address of the statsd server that they are sent to; None keeps them in
            memory only.
        """
        if settings is None:
            return cls(None)
        return cls(statsd.StatsClient(settings.host, settings.port, prefix="ibisspring"))

    async def start(self, kernel: Kernel) -> None:
        """No-op: counters are ready when they are built."""

    async def stop(self) -> None:
        """No-op: statsd uses UDP, so there is no connection to close."""

    def add(self, name: str, count: int = 1) -> None:
        """
        Increase a counter.

        :param name: dotted name, listed in docs/reference/counters.md.
        :param count: number that is added to the counter.
        """
        self.count_by_name[name] = self.count_by_name.get(name, 0) + count
        if self._client is not None:
            self._client.incr(name, count)

    def observe(self, name: str, seconds: float, outcome: str) -> None:
        """
        Add a duration to its histogram.

        :param name: name that ends with `_seconds`, listed in docs/reference/counters.md.
        :param seconds: the duration.
        :param outcome: outcome or kind of the measured operation. It must come from a small closed
            set, as each value uses memory until the process exits.
        """
        self.latencies.observe(name, seconds, outcome)
        if self._client is not None:
            self._client.timing(f"{name}.{outcome}", seconds * MS)

    def refused(self, reason: Reason) -> None:
        """Count a refusal in the counter `refused.<reason>`."""
        self.add(f"refused.{reason.value}")

    def retried(self, reason: Reason) -> None:
        """Count a retry in `retried.<reason>`, by the reason why the try before it failed."""
        self.add(f"retried.{reason.value}")


__all__ = ["Counters"]
