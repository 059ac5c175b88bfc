"""Counters and durations, sent to statsd and kept in memory for the metrics address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

from ibisspring_core.latencies import Latencies

if TYPE_CHECKING:
    from ibisspring_core.errors import Reason
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import StatsdSettings

# statsd takes durations in milliseconds.
MS = 1000.0


class Counters:
    """The process's counters and histograms of durations by name."""

    name = "counters"

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self._client = client
        self.count_by_name: dict[str, int] = {}
        self.latencies = Latencies()

    @classmethod
    def from_config(cls, settings: StatsdSettings | None) -> Counters:
        """
        Build the counters.

        :param settings: where statsd listens (UDP); None keeps the counts in memory only.
        :return: the counters.
        """
        if settings is None:
            return cls(None)
        return cls(statsd.StatsClient(settings.host, settings.port, prefix="ibisspring"))

    async def start(self, kernel: Kernel) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop: statsd is UDP."""

    def add(self, name: str, count: int = 1) -> None:
        """
        Count.

        :param name: dotted name, listed in docs/reference/counters.md.
        :param count: how many.
        """
        self.count_by_name[name] = self.count_by_name.get(name, 0) + count
        if self._client is not None:
            self._client.incr(name, count)

    def observe(self, name: str, seconds: float, outcome: str) -> None:
        """
        Count a duration.

        :param name: ends with `_seconds` and is listed in docs/reference/counters.md.
        :param seconds: how long it took.
        :param outcome: how it ended, or what kind it was; of a small closed set, as each value is
            kept for the life of the process.
        """
        self.latencies.observe(name, seconds, outcome)
        if self._client is not None:
            self._client.timing(f"{name}.{outcome}", seconds * MS)

    def refused(self, reason: Reason) -> None:
        """
        Count a refusal.

        :param reason: its sentinel.
        """
        self.add(f"refused.{reason.value}")

    def retried(self, reason: Reason) -> None:
        """
        Count a retry.

        :param reason: why the earlier try failed.
        """
        self.add(f"retried.{reason.value}")


__all__ = ["Counters"]
