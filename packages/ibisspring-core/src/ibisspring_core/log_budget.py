"""
Which log lines are written when there are too many.

Load pattern: a flood of requests of which each is refused, an endpoint that fails every try, a part
that retries in a tight loop. One kind of line then comes thousands of times a second, beside the
few lines that tell why.

Without it: writing takes the processor time that requests need, the disk of the log collector fills
with copies of one line, and the line that names the cause is pushed out.

How it decides: each kind of line has an allowance of its own, so that a flood of one costs no other
its place; lines about failures have a larger one. While lines wait for a slow reader, routine lines
may fill half of the room and lines about failures all of it. What is left out is counted by kind.

Grounds for the figures:

- `ROUTINE_PER_S` 100 and `FAILURES_PER_S` 400 a kind: a line is about 300 bytes and costs about
  50 us, so that one kind takes at most 0.5%, of failures 2%, of a core.
- `BURST_S` 2: a burst of a second or two, as after a change of leader, is kept whole.
- `WAITING_BYTES` 2 MB: what a reader that stops for ten seconds leaves at 600 lines a second.
"""

from __future__ import annotations

ROUTINE_PER_S = 100.0
FAILURES_PER_S = 400.0
BURST_S = 2.0
WAITING_BYTES = 2_000_000
ROUTINE_SHARE = 0.5


class _Allowance:
    """The lines that one kind may still write."""

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._left = per_s * BURST_S
        self._filled_s = now

    def take(self, now: float) -> bool:
        filled = self._left + (now - self._filled_s) * self._per_s
        self._left = min(self._per_s * BURST_S, filled)
        self._filled_s = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class LogBudget:
    """What one process may write; `now` is always given."""

    def __init__(self) -> None:
        self._allowance_by_kind: dict[tuple[str, bool], _Allowance] = {}
        self._left_out_by_kind: dict[str, int] = {}

    def admit(self, kind: str, failure: bool, waiting_bytes: int, now: float) -> bool:
        """
        Decide whether a line is written.

        :param kind: the line's message type.
        :param failure: whether it tells of a failure or a refusal.
        :param waiting_bytes: of the lines that no reader has taken yet.
        :param now: seconds on a steady clock.
        """
        room = WAITING_BYTES if failure else WAITING_BYTES * ROUTINE_SHARE
        key = (kind, failure)
        allowance = self._allowance_by_kind.get(key)
        if allowance is None:
            allowance = _Allowance(FAILURES_PER_S if failure else ROUTINE_PER_S, now)
            self._allowance_by_kind[key] = allowance
        if waiting_bytes < room and allowance.take(now):
            return True
        self._left_out_by_kind[kind] = self._left_out_by_kind.get(kind, 0) + 1
        return False

    def take_left_out(self) -> dict[str, int]:
        """Hand over the lines left out since the last call, by kind."""
        taken, self._left_out_by_kind = self._left_out_by_kind, {}
        return taken


__all__ = [
    "BURST_S",
    "FAILURES_PER_S",
    "ROUTINE_PER_S",
    "ROUTINE_SHARE",
    "WAITING_BYTES",
    "LogBudget",
]
