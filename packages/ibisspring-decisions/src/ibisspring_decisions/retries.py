"""
Retries: how many second tries may be sent.

Load pattern: an endpoint, a data centre or all of a service turns slow or fails, and every request
wants a second try at the same moment.

Without it: three tries for each request treble the load on what is left, which then fails too, and
the retries keep the load up after the cause is gone (a retry storm that does not end by itself).

Grounds of the figures: `RATIO` 0.2 lets one fifth of the requests fail at a time (one of five
endpoints, the size of today) without any caller seeing it, and bounds the added load to a fifth.
`FLOOR_PER_S` 1 lets an entry with hardly any traffic still retry. `BURST_S` 10: a crash of one
endpoint fails at once what it had under way, about ten seconds' worth of long generations.
"""

from __future__ import annotations

RATIO = 0.2
FLOOR_PER_S = 1.0
BURST_S = 10.0


class RetryBudget:
    """A bucket that requests fill and retries empty."""

    def __init__(self, ratio: float, floor_per_s: float, burst_s: float) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._burst_s = burst_s
        self._left = floor_per_s * burst_s
        self._rate = 0.0
        self._filled_at: float | None = None

    @classmethod
    def from_defaults(cls) -> RetryBudget:
        """
        Build a budget with the module's figures.

        :return: the budget, full.
        """
        return cls(RATIO, FLOOR_PER_S, BURST_S)

    def request(self, now: float) -> None:
        """
        Count a first try.

        :param now: seconds on any steady clock.
        """
        self._fill(now)
        self._rate += 1.0 / self._burst_s
        self._left = min(self._bound(), self._left + self._ratio)

    def take(self, now: float) -> bool:
        """
        Take one retry.

        :param now: seconds on the same clock.
        :return: whether it may be sent.
        """
        self._fill(now)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def _bound(self) -> float:
        return self._burst_s * max(self._floor_per_s, self._ratio * self._rate)

    def _fill(self, now: float) -> None:
        if self._filled_at is None:
            self._filled_at = now
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._rate *= max(0.0, 1.0 - elapsed / self._burst_s)
        self._left = min(self._bound(), self._left + self._floor_per_s * elapsed)


__all__ = ["BURST_S", "FLOOR_PER_S", "RATIO", "RetryBudget"]
