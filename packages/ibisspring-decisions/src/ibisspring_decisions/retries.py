"""
Retry budget: a limit on the number of retries in proportion to the requests.

When an endpoint, a data centre or all of a service becomes slow or fails, all requests need a retry
at the same moment. Three tries for each request would treble the load on the remaining endpoints,
which would then fail as well, and the retries would keep up the overload after its cause has ended:
a retry storm that does not end by itself. The budget is a token bucket: each first try of a request
adds a part of a token, and each retry takes one token, which bounds the load that retries add.
"""

from __future__ import annotations

# Retries allowed per request. One fifth of the requests may fail at a time (one of five endpoints,
# the present size of a service) without any caller noticing, and the added load is bounded to a
# fifth.
RETRIES_PER_REQUEST = 0.2
# Retries per second that are allowed without any request: 1, so that an entry with hardly any
# traffic may retry too.
MIN_RETRIES_PER_S = 1.0
# Size of the bucket, in seconds of allowed retries. It holds the retries of 10 s: a crash of one
# endpoint fails all its requests in flight at once, about ten seconds' worth of long generations.
BURST_S = 10.0


class RetryBudget:
    """
    Token bucket to which each request adds a part of a token and from which a retry takes one.
    """

    def __init__(
        self, retries_per_request: float, min_retries_per_s: float, burst_s: float
    ) -> None:
        self._retries_per_request = retries_per_request
        self._min_retries_per_s = min_retries_per_s
        self._burst_s = burst_s
        self._tokens = min_retries_per_s * burst_s
        self._requests_per_s = 0.0
        self._refilled_at: float | None = None

    @classmethod
    def from_defaults(cls) -> RetryBudget:
        """
        Build a budget with the constants of this module.

        :return: the budget, with a full bucket.
        """
        return cls(RETRIES_PER_REQUEST, MIN_RETRIES_PER_S, BURST_S)

    def count_request(self, now: float) -> None:
        """
        Count the first try of a request, which adds to the tokens for retries.

        :param now: seconds on any steady clock.
        """
        self._refill(now)
        self._requests_per_s += 1.0 / self._burst_s
        self._tokens = min(self._size(), self._tokens + self._retries_per_request)

    def take_retry(self, now: float) -> bool:
        """
        Take the token for one retry.

        :param now: seconds on the clock of `request`.
        :return: whether the retry may be sent; False if the budget is used up.
        """
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _size(self) -> float:
        """Return the largest number of tokens at the present rate of requests."""
        return self._burst_s * max(
            self._min_retries_per_s, self._retries_per_request * self._requests_per_s
        )

    def _refill(self, now: float) -> None:
        """Add the tokens of the minimum rate, and decay the request rate, until now."""
        if self._refilled_at is None:
            self._refilled_at = now
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._requests_per_s *= max(0.0, 1.0 - elapsed / self._burst_s)
        self._tokens = min(self._size(), self._tokens + self._min_retries_per_s * elapsed)


__all__ = ["BURST_S", "MIN_RETRIES_PER_S", "RETRIES_PER_REQUEST", "RetryBudget"]
