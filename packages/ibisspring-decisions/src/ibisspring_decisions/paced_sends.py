"""
Bounds how many requests an endpoint gets in any span of a second.

Load pattern: an engine that has just started bears only some requests per second, and fails above
that. A data centre returns, and all of its engines become cold at once, while items of several jobs
wait for a free slot: without a limit all slots of these engines are filled in the same moment, and
each item that ends within the second is followed by another one.

An engine may become cold at any moment, and its announcement arrives up to an interval later. The
limit therefore holds for every engine of a service that states one, warm or cold. It costs a warm
engine nothing while the limit is above the rate at which its slots become free.

The limit holds for the time at which requests are sent. An assignment reaches its sender after some
delay, so each one counts for a second longer than the longest delay that its sender accepts. Where
a busy leader's assignments arrive later than that, they are rejected; with a fixed delay all of
them would be, and nothing would run. `PacedDelay` therefore accepts longer delays after rejections,
at the cost of fewer requests per second.
"""

from __future__ import annotations

import math
from collections import deque

# Time span of the limit in seconds.
LIMIT_SPAN_S = 1.0
# Longest time in seconds from an assignment until its request is sent, as long as none came later.
# A sender that was frozen or cut off in between rejects the assignment.
PACED_DELAY_S = 0.2
# The same after repeated rejections.
MAX_PACED_DELAY_S = 1.6
# Seconds without a rejection after which the accepted delay is halved.
DELAY_CALM_S = 5.0
# Seconds for which a request counts that is sent within the usual delay.
WINDOW_S = LIMIT_SPAN_S + PACED_DELAY_S
# The same for any request.
MAX_WINDOW_S = LIMIT_SPAN_S + MAX_PACED_DELAY_S


def requests_per_window(cold_requests_per_s: float, overshoot: float, slack: float) -> int | None:
    """
    Compute how many requests an endpoint may get in any second.

    :param cold_requests_per_s: requests per second that a cold endpoint bears; 0 for no limit.
    :param overshoot: factor by which this number may be exceeded.
    :param slack: requests that may be added to the result.
    :return: the number, at least 1; None if there is no limit.
    """
    if cold_requests_per_s <= 0:
        return None
    return max(1, math.floor(cold_requests_per_s * overshoot + slack))


def forwarded_part(limit: int) -> int:
    """
    Return how many of an endpoint's requests per window are reserved for forwarded requests.

    Applies to an endpoint that runs both items of jobs and requests that entries forward; the rest
    is for the items.
    """
    return limit // 2


class PacedDelay:
    """
    The longest delay that senders accept, which follows the rejections of late assignments.

    In all methods `now` is in seconds on one steady clock.
    """

    def __init__(self) -> None:
        self._delay_s = PACED_DELAY_S
        self._raised_at = float("-inf")
        self._calm_since = float("-inf")

    def current_s(self, now: float) -> float:
        """Return the longest delay of an assignment that is made now, in seconds."""
        if self._delay_s > PACED_DELAY_S and now - self._calm_since >= DELAY_CALM_S:
            self._delay_s = max(PACED_DELAY_S, self._delay_s / 2)
            self._calm_since = now
        return self._delay_s

    def rejected(self, now: float) -> None:
        """
        Record that a sender rejected an assignment because it came too late.

        Assignments that were made before the delay was raised do not raise it again.
        """
        self._calm_since = now
        if now - self._raised_at < 2 * self._delay_s:
            return
        self._delay_s = min(MAX_PACED_DELAY_S, 2 * self._delay_s)
        self._raised_at = now


class PacedSends:
    """
    The requests that one sender has sent to each endpoint and that count against its limit.

    In all methods `now` is in seconds on one steady clock.

    :param first_window_until: time from which no request of an earlier sender counts any more.
    """

    def __init__(self, started_at: float) -> None:
        self.first_window_until = started_at + MAX_WINDOW_S
        self._counted_until_by_endpoint: dict[str, deque[float]] = {}

    def free(self, endpoint: str, limit: int, is_cold: bool, now: float) -> int:
        """
        Return how many requests may be sent to an endpoint now.

        A cold endpoint gets nothing in the first window, since the sender does not know what an
        earlier one sent.

        :param limit: most requests in a window, from `requests_per_window`.
        :param is_cold: whether the endpoint says that it is cold.
        """
        if is_cold and now < self.first_window_until:
            return 0
        counted_until = self._counted_until_by_endpoint.get(endpoint)
        if counted_until is None:
            return limit
        while counted_until and counted_until[0] <= now:
            counted_until.popleft()
        if not counted_until:
            del self._counted_until_by_endpoint[endpoint]
            return limit
        return max(0, limit - len(counted_until))

    def record(self, endpoint: str, now: float, delay_s: float = PACED_DELAY_S) -> None:
        """
        Record a request that is sent to an endpoint.

        :param delay_s: longest time in seconds until it is sent.
        """
        counted_until = self._counted_until_by_endpoint.setdefault(endpoint, deque())
        counted_until.append(now + LIMIT_SPAN_S + delay_s)


__all__ = [
    "DELAY_CALM_S",
    "LIMIT_SPAN_S",
    "MAX_PACED_DELAY_S",
    "MAX_WINDOW_S",
    "PACED_DELAY_S",
    "PacedDelay",
    "PacedSends",
    "WINDOW_S",
    "forwarded_part",
    "requests_per_window",
]
