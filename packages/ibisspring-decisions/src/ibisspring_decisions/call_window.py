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
call for each window of calls that ended well, and shrinks by `SHRINK` when an endpoint refused or
when a call took `SLOW_TIMES` the best of the last ones, since it then stood in a line in which a
lookup would have stood as well.

Grounds for the figures:

- `FIRST` 6: five senders that begin at once then hold two thirds of the places that seven endpoints
  of six have.
- `GROW` 0.1: with the 1.0 of a shared link, the replayed steps had 65 to 92 of 800 lookups refused
  while windows felt for their limit, with 0.1 none.
- `SHRINK` 0.7, and not again within `SETTLE_S` 0.2 s: the refusals of one burst are one sign, and
  a call of that burst takes about that long to end.
- `SLOW_TIMES` 1.5: outside what load makes of endpoints that differ in speed; a call that took so
  much longer waited for half of its work.
- `SHRINK_SLOW` 0.9: that is a weaker sign than a refusal.
- `BEST_MEMORY` 0.95: the best time rises by a twentieth with each call, so that endpoints that have
  all become slower are not taken for full for good.
- `MOST` 64: more texts than that do not end at once at one sender.
"""

from __future__ import annotations

FIRST = 6.0
GROW = 0.1
LEAST = 1.0
MOST = 64.0
SHRINK = 0.7
SHRINK_SLOW = 0.9
SETTLE_S = 0.2
SLOW_TIMES = 1.5
BEST_MEMORY = 0.95


class CallWindow:
    """The window of one route; `now` is in seconds on a steady clock."""

    def __init__(self) -> None:
        self.limit = FIRST
        self.under_way = 0
        self._best_s: float | None = None
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

    def ended(self, now: float, took_s: float, refused: bool) -> None:
        """
        Learn from a call that ended.

        :param took_s: seconds that it took.
        :param refused: no endpoint took it.
        """
        self.under_way -= 1
        if refused or self._was_slow(took_s):
            if now - self._shrunk_at >= SETTLE_S:
                shrink = SHRINK if refused else SHRINK_SLOW
                self.limit = max(LEAST, shrink * self.limit)
                self._shrunk_at = now
            return
        self.limit = min(MOST, self.limit + GROW / self.limit)

    def _was_slow(self, took_s: float) -> bool:
        best_s = took_s if self._best_s is None else min(took_s, self._best_s / BEST_MEMORY)
        self._best_s = best_s
        return took_s > SLOW_TIMES * best_s


__all__ = ["CallWindow"]
