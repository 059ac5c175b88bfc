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
delay, so the window is longer than the second by the longest delay that a sender accepts.
"""

from __future__ import annotations

import math
from collections import deque

# Longest time in seconds from an assignment until its request is sent. A sender that was frozen or
# cut off in between rejects the assignment.
MAX_PACED_DELAY_S = 0.2
# Length of the sliding window in seconds: one second, and the longest delay.
WINDOW_S = 1.0 + MAX_PACED_DELAY_S


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


class PacedSends:
    """
    The requests that one sender has sent to each endpoint within the last window.

    In all methods `now` is in seconds on one steady clock.

    :param first_window_until: end of the first window of this sender, during which an earlier
        sender's requests may still count against the limit.
    """

    def __init__(self, started_at: float) -> None:
        self.first_window_until = started_at + WINDOW_S
        self._sent_at_by_endpoint: dict[str, deque[float]] = {}

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
        sent_at = self._sent_at_by_endpoint.get(endpoint)
        if sent_at is None:
            return limit
        while sent_at and sent_at[0] <= now - WINDOW_S:
            sent_at.popleft()
        if not sent_at:
            del self._sent_at_by_endpoint[endpoint]
            return limit
        return max(0, limit - len(sent_at))

    def record(self, endpoint: str, now: float) -> None:
        """Record a request that is sent to an endpoint."""
        self._sent_at_by_endpoint.setdefault(endpoint, deque()).append(now)


__all__ = [
    "MAX_PACED_DELAY_S",
    "PacedSends",
    "WINDOW_S",
    "forwarded_part",
    "requests_per_window",
]
