"""
Adaptive limit on the reward calls that one entry has in flight at the endpoints of a route.

A plain service answers callers' lookups and also one reward call for each text of a trainer's step.
Fifty texts end within half a second, a call takes eight times as long as a lookup, and the
endpoints reject requests when their slots and short queues are full. Several entries (the senders
below), which do not know of each other, send such calls. Without a limit, all calls of a step reach
the endpoints at once: lookups, whose callers need an answer within milliseconds, are rejected or
queued behind the calls, and retries of rejected calls occupy each slot that becomes free.

A sender therefore starts with a small limit (its call window) and raises it only while texts wait
for their calls, since each concurrent call needs a connection, which has a cost, and a text that
waits for up to `GROW_AFTER_WAIT_S` does not delay its step. Rejections by endpoints lower the
limit. The duration of calls is not used as a signal: it varies by more than queueing adds, so that
limits would shrink to one call without need.
"""

from __future__ import annotations

# Calls that a sender may have in flight at first. With 3, one call that fails or hangs does not
# block all other calls.
INITIAL_LIMIT = 3.0
# Seconds that a call must have waited for the limit before the limit grows. They are about the
# duration of one call; a step lasts seconds.
GROW_AFTER_WAIT_S = 0.25
# Seconds between two increases of the limit by one call, while calls wait for more than
# `GROW_AFTER_WAIT_S`. Sixteen texts that end together at one sender are all scored after a second;
# faster growth makes the endpoints reject lookups while the senders search for their limits.
GROW_EVERY_S = 1.0
# Seconds after a rejection by the endpoints during which the limit does not grow: 2 s, because a
# full service has free slots again within the duration of a few calls.
GROWTH_PAUSE_S = 2.0
MIN_LIMIT = 1.0
# Largest limit, as a part of the number of requests that, by their reports, the endpoints work on
# at a time. Five senders, as many as read the texts of five engines, then leave a tenth of the
# capacity to lookups.
MAX_CAPACITY_SHARE = 0.18
SHRINK_FACTOR = 0.7
# Shortest time in seconds between two decreases of the limit. Within about 0.2 s the calls that
# were sent together all end: their rejections count as one signal.
SHRINK_EVERY_S = 0.2


class CallWindow:
    """
    Limit on the calls that one sender has in flight to the endpoints of one route, and their
    number.

    Every `now` is in seconds on one steady clock.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self._grown_at = float("-inf")
        self._shrunk_at = float("-inf")

    def has_capacity(self) -> bool:
        """Return whether one more call may start within the limit."""
        return self.in_flight < int(self.limit)

    def call_started(self, now: float, waited_s: float, capacity: int) -> None:
        """
        Count a call that starts, and raise the limit if the call waited too long for it.

        :param waited_s: seconds that the call waited for the limit.
        :param capacity: requests that all endpoints of the route work on at a time.
        """
        self.in_flight += 1
        may_grow = now - self._grown_at >= GROW_EVERY_S and now - self._shrunk_at >= GROWTH_PAUSE_S
        if waited_s > GROW_AFTER_WAIT_S and may_grow:
            self.limit = max(self.limit, min(MAX_CAPACITY_SHARE * capacity, self.limit + 1.0))
            self._grown_at = now

    def call_cancelled(self) -> None:
        """Undo `call_started` for a call that was cancelled before it was sent."""
        self.in_flight -= 1

    def call_ended(self, now: float, rejected: bool) -> None:
        """
        Count a call that ended, and lower the limit if the call was rejected.

        :param rejected: whether no endpoint accepted the call.
        """
        self.in_flight -= 1
        if rejected and now - self._shrunk_at >= SHRINK_EVERY_S:
            self.limit = max(MIN_LIMIT, SHRINK_FACTOR * self.limit)
            self._shrunk_at = now


__all__ = ["CallWindow"]
