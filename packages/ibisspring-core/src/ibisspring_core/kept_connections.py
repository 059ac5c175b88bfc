"""
Counts the connections to endpoints that are idle and still open at the endpoint.

Every few seconds a trainer's step starts the generation of eighty texts on five engines. Each text
needs a connection of its own, and any of eight entries may read it; between steps the engines keep
idle connections open for some seconds. Without these counts, the choice of the entry that reads an
engine's texts would change with the work that each entry has at the moment, and each change would
open new connections although another entry has idle ones: 240 connections were opened for 740 texts
of which at most 80 run at a time, and each new connection costs a tenth of the value of a lookup.
"""

from __future__ import annotations

from collections import deque

# Seconds subtracted from the keep-alive time that an endpoint announces with each response, for the
# response's transfer and a late wake-up of this process: a request on a connection that the
# endpoint is closing is lost.
MARGIN_S = 0.5


class IdleConnections:
    """The idle connections by endpoint; `now` is in seconds on a monotonic clock."""

    def __init__(self) -> None:
        self._expiries_by_key: dict[tuple[str, ...], deque[float]] = {}

    def add(self, key: tuple[str, ...], now: float, keep_s: float) -> None:
        """
        Record that a connection became idle.

        :param key: the endpoint; preceded by the daemon that holds the connection if the
            connections of several daemons are counted.
        :param now: seconds on a monotonic clock.
        :param keep_s: seconds that the endpoint keeps the connection open; 0 if it closes it.
        """
        if keep_s > MARGIN_S:
            self._expiries_by_key.setdefault(key, deque()).append(now + keep_s - MARGIN_S)

    def take_idle(self, key: tuple[str, ...], now: float) -> bool:
        """
        Record that a request uses an idle connection: the one that became idle first.

        The connection pool uses its idle connections in the same order.

        :return: False if there was none, so that a new connection is opened.
        """
        if not self.count_idle(key, now):
            return False
        self._expiries_by_key[key].popleft()
        return True

    def count_idle(self, key: tuple[str, ...], now: float) -> int:
        """Return the number of idle connections that the endpoint still keeps open."""
        expiries = self._expiries_by_key.get(key)
        if expiries is None:
            return 0
        while expiries and expiries[0] <= now:
            expiries.popleft()
        if not expiries:
            del self._expiries_by_key[key]
        return len(expiries)


__all__ = ["IdleConnections"]
