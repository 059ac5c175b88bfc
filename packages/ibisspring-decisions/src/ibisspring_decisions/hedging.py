"""
When a request that has no answer yet is sent to a second endpoint, and how many may be.

Load pattern: one endpoint of three is slow, frozen or gone while it still accepts requests, or all
of them are a little slower than usual. A delay that is fixed hedges too late in the first case, and
doubles the load in the second.
"""

from __future__ import annotations

from typing import Protocol


class HedgeDelays(Protocol):
    """The delay of a hedged attempt by service, from recent durations, with a budget."""

    def record(self, service: str, took_s: float, now: float) -> None:
        """Record the duration of a request that was answered."""
        ...

    def delay_s(self, service: str, target_s: float) -> float:
        """
        Return the seconds after which a request without an answer is sent to a second endpoint.

        :param target_s: seconds within which an answer has its full value.
        """
        ...

    def take(self, now: float) -> bool:
        """Take one hedged attempt from the budget; False if it is used up."""
        ...


__all__ = ["HedgeDelays"]
