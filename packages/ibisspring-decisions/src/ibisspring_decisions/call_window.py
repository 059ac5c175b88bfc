"""
Adaptive limit on the reward calls that one sender has in flight at the endpoints of a route.

A plain service answers callers' lookups and also one reward call for each text of a trainer's step.
Fifty texts end within half a second, a call takes eight times as long as a lookup, and the
endpoints reject requests when their slots and short queues are full. Several senders, which do not
know of each other, send such calls. Without a limit, all calls of a step reach the endpoints at
once: lookups, whose callers need an answer within milliseconds, are rejected or queued behind the
calls, and retries of rejected calls occupy each slot that becomes free.

A sender therefore starts with a small limit and raises it only while its texts wait, since each
concurrent call needs a connection, which has a cost, and a text that waits for up to
`GROW_AFTER_WAIT_S` does not delay its step. Rejections by endpoints lower the limit. The duration
of calls is no signal, because it varies by more than queueing adds: with that signal, limits shrank
to one call, and the median call took 0.77 s including its wait, of which 0.2 s was work.
"""

from __future__ import annotations

# With 3 calls in flight, one that fails or hangs does not block all the others.
INITIAL_LIMIT = 3.0
# About the duration of one call; a step lasts seconds.
GROW_AFTER_WAIT_S = 0.25
# While calls wait longer than that, the limit grows by one call per second: sixteen texts that end
# together at one sender are then all scored after a second. With growth at each call that waited,
# 110 of 800 replayed lookups were rejected while the senders searched for their limits.
GROW_EVERY_S = 1.0
# No growth for 2 s after a rejection: a full service has free slots again within the duration of a
# few calls.
GROWTH_PAUSE_S = 2.0
MIN_LIMIT = 1.0
# Largest part of the capacity reported by the endpoints. Five senders, as many as read the texts of
# five engines, then leave a tenth of the capacity to lookups.
MAX_CAPACITY_SHARE = 0.18
SHRINK_FACTOR = 0.7
# The limit shrinks at most once in 0.2 s, about the time in which the calls of one burst end: their
# rejections count as one signal.
SHRINK_EVERY_S = 0.2


class CallWindow:
    """
    The limit of one route at one sender, and the number of its calls in flight.

    Every `now` is in seconds on one steady clock.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self._grown_at = float("-inf")
        self._shrunk_at = float("-inf")

    def has_capacity(self) -> bool:
        """Return whether one more call may start."""
        return self.in_flight < int(self.limit)

    def call_started(self, now: float, waited_s: float, capacity: int) -> None:
        """
        Count a call that starts, and raise the limit if calls wait too long.

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
