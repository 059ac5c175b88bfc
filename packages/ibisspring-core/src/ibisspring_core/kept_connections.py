"""
Which connections to an endpoint are idle and still open at the endpoint.

Load pattern: a trainer's step puts eighty texts on five engines every few seconds, each on a
connection of its own, and any of eight entries may read them. Between the steps the engines keep
idle connections for some seconds.

Without it: which entry reads an engine's texts changes with how many each has at the moment, and
each change opens connections beside those that stand idle at another entry. Measured, 240 were
opened for 740 texts where 80 run at a time at most, each at the price of a tenth of a lookup's
worth.

Grounds: an endpoint says with each answer how long it keeps the connection. `MARGIN_S` 0.5 covers
the answer's way and a late wake-up: a request on a connection that the endpoint is closing is lost.
"""

from __future__ import annotations

from collections import deque

MARGIN_S = 0.5


class KeptConnections:
    """Idle connections by key; `now` is in seconds on a steady clock."""

    def __init__(self) -> None:
        self._ends_by_key: dict[tuple[str, ...], deque[float]] = {}

    def released(self, key: tuple[str, ...], now: float, keep_s: float) -> None:
        """
        Note that a connection became idle.

        :param key: who holds it, and to which endpoint.
        :param keep_s: seconds that the endpoint keeps it; 0 where it closes it.
        """
        if keep_s > MARGIN_S:
            self._ends_by_key.setdefault(key, deque()).append(now + keep_s - MARGIN_S)

    def taken(self, key: tuple[str, ...], now: float) -> bool:
        """
        Take the one that became idle first, as the pool does.

        :return: whether there was one; otherwise a new one is opened.
        """
        if not self.idle(key, now):
            return False
        self._ends_by_key[key].popleft()
        return True

    def idle(self, key: tuple[str, ...], now: float) -> int:
        """Count those that are idle and open."""
        ends = self._ends_by_key.get(key)
        if ends is None:
            return 0
        while ends and ends[0] <= now:
            ends.popleft()
        if not ends:
            del self._ends_by_key[key]
        return len(ends)


__all__ = ["KeptConnections"]
