"""
Which endpoint the next attempt of a request may go to, and when, until the request is answered.

Load pattern: endpoints crash, freeze, restart in turn, fail a part of their requests, or a
connection to a healthy one is silent. A request that ends after a fixed number of attempts ends
without an answer while most of its time is left, and its caller repeats it only once. Repeating
without a plan multiplies the load of a service whose endpoints all fail.

A request reaches a limited number of endpoints. Within this limit it is repeated, also at the same
endpoints, with growing pauses. An endpoint to which no connection could be opened has not received
the request and does not count.
"""

from __future__ import annotations

# Pause before a request is sent again to an endpoint that has already failed it. The pause doubles
# from the first value up to the second, so that endpoints that reject requests are not flooded and
# one that recovers is used soon.
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.4
# Most endpoints' answers take this long at least; an attempt with less time left is not started.
MIN_ATTEMPT_S = 0.02
# Interval at which the endpoints are looked at again while there is none for the request.
LOOK_AGAIN_S = 0.025
# Share of a route's time limit that is left for the caller's own repetition. The repetition goes
# through another entry, which may reach endpoints that this one does not reach; it begins after a
# pause and on a new connection and so gets the larger part of the time.
SHARE_FOR_CALLER = 0.6


class AttemptPlan:
    """
    The attempts of one request that may be repeated; `now` is in seconds on any steady clock.

    :param next_at: when the next attempt is due.
    :param repeat_at: when an attempt at an endpoint that has been tried before is due.
    :param hand_back_at: when the request ends if no attempt is in progress, so that its caller can
        repeat it.
    """

    def __init__(
        self,
        max_endpoints: int,
        hedge_delay_s: float,
        now: float,
        deadline_at: float,
        timeout_s: float,
    ) -> None:
        self._max_endpoints = max_endpoints
        self._gap_s = hedge_delay_s
        self._pause_s = FIRST_PAUSE_S
        self._started_at = now
        self._deadline_at = deadline_at
        # By endpoint in the order of the last attempts: the number of attempts in progress.
        self._pending_by_tried: dict[str, int] = {}
        # Endpoints that may have received the request; without those of attempts in progress.
        self._sent_to: set[str] = set()
        self.next_at = now
        self.repeat_at = now
        self.hand_back_at = deadline_at - SHARE_FOR_CALLER * timeout_s
        self._caller_may_repeat = self.hand_back_at > now
        if not self._caller_may_repeat:
            # So little time is left that the caller has already repeated the request, or cannot.
            self.hand_back_at = deadline_at - MIN_ATTEMPT_S

    def may_start(self, now: float) -> bool:
        """Whether another attempt may still be started."""
        if self._deadline_at - now < MIN_ATTEMPT_S:
            return False
        return self.is_waiting or now < self.hand_back_at

    def hands_back_silence(self, has_unreached: bool, longest_s: float, now: float) -> bool:
        """
        Whether the caller's repetition is better than waiting for the attempts in progress.

        It is if the request may not be sent to endpoints that its repetition may be sent to, and
        no endpoint has recently answered as late as this.

        :param has_unreached: whether the service has an endpoint that has not got the request.
        :param longest_s: longest duration of a recent answer.
        """
        if not self._caller_may_repeat or now < self.hand_back_at or not has_unreached:
            return False
        return longest_s < now - self._started_at

    @property
    def is_waiting(self) -> bool:
        """Whether an attempt is in progress."""
        return any(self._pending_by_tried.values())

    @property
    def silent(self) -> tuple[str, ...]:
        """The endpoints with an attempt in progress."""
        return tuple(one for one, pending in self._pending_by_tried.items() if pending)

    def is_new(self, endpoint: str) -> bool:
        """Whether the request may be sent to an endpoint that was not tried before."""
        return endpoint not in self._pending_by_tried and self._may_reach(endpoint)

    def repeat_order(self) -> tuple[str, ...]:
        """
        Return the tried endpoints to which the request may be sent again, the best one first.

        Endpoints without an attempt in progress come first, then those tried longest ago.
        """
        allowed = [one for one in self._pending_by_tried if self._may_reach(one)]
        return tuple(sorted(allowed, key=lambda one: self._pending_by_tried[one] > 0))

    def started(self, endpoint: str, now: float) -> None:
        """Record that an attempt was started, which may reach its endpoint from now on."""
        self._pending_by_tried[endpoint] = self._pending_by_tried.pop(endpoint, 0) + 1
        self.next_at = now + self._gap_s
        self._gap_s *= 2

    def failed(self, endpoint: str, sent: bool, now: float) -> None:
        """
        Record that an attempt ended without a usable answer.

        :param sent: whether the endpoint can have received the request.
        """
        self._pending_by_tried[endpoint] -= 1
        if sent:
            self._sent_to.add(endpoint)
        self.next_at = now
        self.repeat_at = now + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)

    def look_again(self, now: float, at: float | None = None) -> None:
        """Record that there was no endpoint for an attempt, until the time `at` or a moment."""
        self.next_at = max(now + LOOK_AGAIN_S, at if at is not None else 0.0)

    def _may_reach(self, endpoint: str) -> bool:
        reached = self._sent_to.union(self.silent)
        return endpoint in reached or len(reached) < self._max_endpoints


__all__ = ["AttemptPlan", "MAX_PAUSE_S"]
