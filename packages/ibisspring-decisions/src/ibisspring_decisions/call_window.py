"""
How many reward calls one sender has under way at the endpoints of a route.

Load pattern: a plain service answers callers' lookups and, beside them, a call for each text that a
trainer's step makes. Fifty texts end within half a second, each call works eight times as long as a
lookup, and the endpoints refuse what comes when their places and short lines are full. Several
senders, which do not know of each other, send such calls.

Without it: a step's end puts all its calls on the endpoints at once; lookups, which wait for an
answer of milliseconds, are refused or stand behind them, and refused calls come back to fill each
place that becomes free.

How it decides: a sender begins with few calls at a time and takes more only where its texts wait:
each call at a time is a connection, which is paid for, and a text that waits for `WAIT_S` costs its
step nothing. The window shrinks by `SHRINK` when endpoints refused. How long a call takes is no
sign: calls differ by more than a line adds. Measured with such a sign, windows shrank to one call,
and the median call took 0.77 s with its wait, 0.2 s of it work.

Grounds for the figures:

- `FIRST` 3: one call that fails or hangs does not hold up all others.
- `WAIT_S` 0.25: about one call's work; a step has seconds.
- `GROW_EVERY_S` 1.0 while calls wait longer: sixteen texts that end together at one sender are all
  scored after a second. With one more for each call that waited, 110 of 800 replayed lookups were
  refused while windows felt for their limit.
- `HOLD_S` 2 s after a refusal without growth: a full service becomes free within a few calls' work.
- `SHRINK` 0.7, and not again within `SETTLE_S` 0.2 s: the refusals of one burst are one sign, and
  a call of that burst takes about that long to end.
- `MOST_SHARE` 0.18 of the places that the endpoints say they have: five senders, which is what
  reads five engines' texts, then leave a tenth of them to lookups.
"""

from __future__ import annotations

FIRST = 3.0
WAIT_S = 0.25
GROW_EVERY_S = 1.0
HOLD_S = 2.0
LEAST = 1.0
MOST_SHARE = 0.18
SHRINK = 0.7
SETTLE_S = 0.2


class CallWindow:
    """The window of one route; `now` is in seconds on a steady clock."""

    def __init__(self) -> None:
        self.limit = FIRST
        self.under_way = 0
        self._grown_at = float("-inf")
        self._shrunk_at = float("-inf")

    def has_room(self) -> bool:
        """Whether one more call may begin."""
        return self.under_way < int(self.limit)

    def began(self, now: float, waited_s: float, places: int) -> None:
        """
        Count a call that begins.

        :param waited_s: seconds that it waited for room.
        :param places: requests that all endpoints of the route work on at a time.
        """
        self.under_way += 1
        may_grow = now - self._grown_at >= GROW_EVERY_S and now - self._shrunk_at >= HOLD_S
        if waited_s > WAIT_S and may_grow:
            self.limit = max(self.limit, min(MOST_SHARE * places, self.limit + 1.0))
            self._grown_at = now

    def left(self) -> None:
        """Take back a call that did not begin after all."""
        self.under_way -= 1

    def ended(self, now: float, refused: bool) -> None:
        """
        Learn from a call that ended.

        :param refused: no endpoint took it.
        """
        self.under_way -= 1
        if refused and now - self._shrunk_at >= SETTLE_S:
            self.limit = max(LEAST, SHRINK * self.limit)
            self._shrunk_at = now


__all__ = ["CallWindow"]
