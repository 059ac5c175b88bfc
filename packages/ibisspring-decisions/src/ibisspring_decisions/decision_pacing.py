"""
Decides when the jobs' leader decides again about the waiting items.

Load pattern: each of a hundred entries calls for work several times a second and reports each run
that ends, and a decision compares all waiting items with all engines. With a decision for each of
these events, the time that decisions take grows with the number of entries times that of items and
engines. A leader without time left answers late, entries reject assignments that come too late, and
each rejected item needs another decision, another call and another report: the fleet stays busy
with rejections after the trouble that filled the queue is over.

One decision therefore serves all events since the one before. After each decision the leader does
other work for a multiple of the time that the decision took, so that decisions never take more than
a fixed part of its time. A decision that takes a millisecond is delayed by a few milliseconds.
"""

from __future__ import annotations

# Largest part of the leader's time that decisions take. Receiving calls, committing texts and
# answering runners need the rest.
MAX_DECISION_SHARE = 0.25
# Longest pause in seconds after a decision. A process that was stopped during a decision would
# otherwise pause for a multiple of that time.
MAX_PAUSE_S = 0.1


class DecisionPacing:
    """The time of the next decision; all times are in seconds on one steady clock."""

    def __init__(self) -> None:
        self._next_at = float("-inf")

    def due_in_s(self, now: float) -> float:
        """Return the seconds until the next decision may begin; 0.0 if it may begin now."""
        return max(0.0, self._next_at - now)

    def decided(self, began_at: float, ended_at: float) -> None:
        """Record a decision with its begin and its end."""
        pause_s = (ended_at - began_at) * (1.0 / MAX_DECISION_SHARE - 1.0)
        self._next_at = ended_at + min(pause_s, MAX_PAUSE_S)


__all__ = ["MAX_DECISION_SHARE", "MAX_PAUSE_S", "DecisionPacing"]
