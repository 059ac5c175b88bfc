"""
How many reward calls one sender has under way at the endpoints of a route.

Load pattern: a plain service answers callers' lookups and, beside them, a call for each text that a
trainer's step makes. Fifty texts end within half a second, each call works eight times as long as a
lookup, and the endpoints refuse what comes when their places and short lines are full. Several
senders, which do not know of each other, send such calls.

Without it: a step's end puts all its calls on the endpoints at once; lookups, which wait for an
answer of milliseconds, are refused or stand behind them, and refused calls come back to fill each
place that becomes free.

How it decides: as a sender on a shared link does, but with care. The window grows by a part of a
call for each window of calls that ended well, and shrinks by `SHRINK` when endpoints refused. How
long a call takes is no sign: calls differ by more than a line adds. Measured with such a sign,
windows shrank to one call, and the median call waited 0.77 s for its turn and its 0.2 s of work.

Grounds for the figures:

- `FIRST` 6: five senders that begin at once then hold two thirds of the places that seven endpoints
  of six have.
- `GROW` 0.1: with the 1.0 of a shared link, the replayed steps had 65 to 92 of 800 lookups refused
  while windows felt for their limit, with 0.1 none.
- `SHRINK` 0.7, and not again within `SETTLE_S` 0.2 s: the refusals of one burst are one sign, and
  a call of that burst takes about that long to end.
- `MOST` 64: more texts than that do not end at once at one sender.
"""

from __future__ import annotations

FIRST = 6.0
GROW = 0.1
LEAST = 1.0
MOST = 64.0
SHRINK = 0.7
SETTLE_S = 0.2


class CallWindow:
    """The window of one route; `now` is in seconds on a steady clock."""

    def __init__(self) -> None:
        self.limit = FIRST
        self.under_way = 0
        self._shrunk_at = float("-inf")

    def has_room(self) -> bool:
        """Whether one more call may begin."""
        return self.under_way < int(self.limit)

    def began(self) -> None:
        """Count a call that begins."""
        self.under_way += 1

    def left(self) -> None:
        """Take back a call that did not begin after all."""
        self.under_way -= 1

    def ended(self, now: float, refused: bool) -> None:
        """
        Learn from a call that ended.

        :param refused: no endpoint took it.
        """
        self.under_way -= 1
        if not refused:
            self.limit = min(MOST, self.limit + GROW / self.limit)
            return
        if now - self._shrunk_at >= SETTLE_S:
            self.limit = max(LEAST, SHRINK * self.limit)
            self._shrunk_at = now


__all__ = ["CallWindow"]
