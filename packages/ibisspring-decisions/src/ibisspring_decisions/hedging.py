"""
When a request that has no answer yet is sent to a second endpoint, and how many may be.

Load pattern: one endpoint of three is slow, frozen or gone while it still accepts requests, or all
of them are a little slower than usual. A fixed delay hedges too late in the first case and doubles
the load in the second. An entry among seventy sees one request in ten seconds, so it hardly has
durations of its own: until it has some, the delay is the largest one that leaves a second endpoint
time to answer within the target.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ibisspring_decisions.retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

# Share of the recent durations that are shorter than the delay. At most the rest of the requests
# are hedged, as long as the endpoints stay as fast as they were.
QUANTILE = 0.95
# Number of durations from which the quantile is used.
MIN_DURATIONS = 10
# Most durations that are kept of a service, and the seconds for which each is kept.
MAX_DURATIONS = 64
KEEP_S = 120.0
# Bounds of the delay, as shares of the target. With the upper bound, a second endpoint still has
# half of the target; below the lower bound, small variations would cause hedged attempts.
MIN_DELAY_IN_TARGETS = 0.1
MAX_DELAY_IN_TARGETS = 0.5
# Seconds for which an endpoint that failed or did not answer is used only if there is no other one.
# The directory removes a silent endpoint after about this time.
SUSPECT_S = 5.0


class HedgeDelays:
    """
    The delay of a hedged attempt by service, from recent durations, with a budget.

    `now` is in seconds on any steady clock, the same one in all calls.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget
        self._durations_by_service: dict[str, deque[tuple[float, float]]] = {}

    @classmethod
    def from_defaults(cls) -> HedgeDelays:
        """Build the delays of an entry that has seen no answers yet."""
        return cls(RetryBudget.from_defaults())

    def record(self, service: str, took_s: float, now: float) -> None:
        """
        Record the duration of an attempt that an endpoint answered.

        Attempts of all kinds count: callers' requests and calls of the system itself, first
        attempts and later ones.
        """
        durations = self._durations_by_service.setdefault(service, deque(maxlen=MAX_DURATIONS))
        durations.append((now, took_s))

    def delay_s(self, service: str, target_s: float, now: float) -> float:
        """
        Return the seconds after which a request without an answer is sent to a second endpoint.

        :param target_s: seconds within which an answer has its full value.
        """
        max_delay_s = MAX_DELAY_IN_TARGETS * target_s
        ordered = sorted(self._recent(service, now))
        if len(ordered) < MIN_DURATIONS:
            return max_delay_s
        quantile_s = ordered[min(len(ordered) - 1, int(QUANTILE * len(ordered)))]
        return min(max_delay_s, max(MIN_DELAY_IN_TARGETS * target_s, quantile_s))

    def longest_s(self, service: str, now: float) -> float:
        """Return the longest recent duration; 0.0 if there is none."""
        return max(self._recent(service, now), default=0.0)

    def _recent(self, service: str, now: float) -> list[float]:
        durations = self._durations_by_service.get(service, deque())
        while durations and now - durations[0][0] > KEEP_S:
            durations.popleft()
        return [took_s for _, took_s in durations]

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request, which adds to the budget."""
        self._budget.count_request(now)

    def take(self, now: float) -> bool:
        """Take one hedged or repeated attempt from the budget; False if it is used up."""
        return self._budget.take_retry(now)


class SuspectEndpoints:
    """The endpoints that failed or did not answer lately; `now` as in `HedgeDelays`."""

    def __init__(self) -> None:
        self._suspect_until_by_endpoint: dict[str, float] = {}

    def mark(self, endpoint: str, now: float) -> None:
        """Record that an endpoint failed a request, or has not answered it in the usual time."""
        self._suspect_until_by_endpoint[endpoint] = now + SUSPECT_S

    def clear(self, endpoint: str) -> None:
        """Record that an endpoint answered a request."""
        self._suspect_until_by_endpoint.pop(endpoint, None)

    def without_suspects(self, endpoints: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the endpoints that are not suspect, or all of them if there is no other one."""
        known = tuple(endpoints)
        for endpoint, until in tuple(self._suspect_until_by_endpoint.items()):
            if until <= now:
                del self._suspect_until_by_endpoint[endpoint]
        trusted = tuple(one for one in known if one not in self._suspect_until_by_endpoint)
        return trusted or known


__all__ = ["HedgeDelays", "SUSPECT_S", "SuspectEndpoints"]
