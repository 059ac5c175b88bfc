"""
Rate limits for log lines.

When every request of a flood is refused, an endpoint fails every try or a retry loop does not
pause, lines of one message type come thousands of times a second. Without limits, writing them
would take the CPU time that requests need, copies of one line would fill the log collector's disk,
and the few lines that name the cause would be hard to find.

Each message type has a token bucket of its own, so that a flood of one type drops no lines of
another; lines about failures have a larger bucket. While lines are buffered for a slow reader,
routine lines may fill half of the buffer and lines about failures all of it. Dropped lines are
counted by message type.
"""

from __future__ import annotations

# Lines a second for each message type. A line is about 300 bytes and takes about 50 us, so that one
# type uses at most 0.5% of a core for 100 routine lines and 2% for 400 lines about failures.
ROUTINE_PER_S = 100.0
FAILURES_PER_S = 400.0
# Size of a token bucket, in seconds of its rate: a burst of lines of one or two seconds, as after a
# change of leader, is written completely.
BURST_S = 2.0
# Buffer size in bytes: the lines of ten seconds at 600 lines a second, for a reader that stops for
# ten seconds.
BUFFER_BYTES = 2_000_000
# Share of the buffer that routine lines may fill.
ROUTINE_SHARE = 0.5


class _TokenBucket:
    """Token bucket of one message type; one token is one line."""

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._tokens = per_s * BURST_S
        self._refilled_s = now

    def consume(self, now: float) -> bool:
        refilled = self._tokens + (now - self._refilled_s) * self._per_s
        self._tokens = min(self._per_s * BURST_S, refilled)
        self._refilled_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LogBudget:
    """The rate limits for the log lines of one process."""

    def __init__(self) -> None:
        self._bucket_by_kind: dict[tuple[str, bool], _TokenBucket] = {}
        self._dropped_by_kind: dict[str, int] = {}

    def admit(self, kind: str, failure: bool, buffered_bytes: int, now: float) -> bool:
        """
        Decide whether a line is written.

        :param kind: the line's message type.
        :param failure: whether the line reports a failure or a refusal.
        :param buffered_bytes: size of the lines that are buffered and not written yet.
        :param now: seconds on a monotonic clock.
        :return: False if the line must be dropped, which is then counted.
        """
        limit_bytes = BUFFER_BYTES if failure else BUFFER_BYTES * ROUTINE_SHARE
        key = (kind, failure)
        bucket = self._bucket_by_kind.get(key)
        if bucket is None:
            bucket = _TokenBucket(FAILURES_PER_S if failure else ROUTINE_PER_S, now)
            self._bucket_by_kind[key] = bucket
        if buffered_bytes < limit_bytes and bucket.consume(now):
            return True
        self._dropped_by_kind[kind] = self._dropped_by_kind.get(kind, 0) + 1
        return False

    def reset_dropped(self) -> dict[str, int]:
        """Return and reset the number of dropped lines by message type."""
        count_by_kind, self._dropped_by_kind = self._dropped_by_kind, {}
        return count_by_kind


__all__ = [
    "BURST_S",
    "FAILURES_PER_S",
    "ROUTINE_PER_S",
    "ROUTINE_SHARE",
    "BUFFER_BYTES",
    "LogBudget",
]
