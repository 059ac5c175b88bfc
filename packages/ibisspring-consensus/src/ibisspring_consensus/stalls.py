"""Detects a leader whose log stands still although commands wait for their commit."""

from __future__ import annotations

# Seconds without a commit, while entries wait for theirs, after which a log counts as stalled.
STALLED_AFTER_S = 1.0


class StallWatch:
    """Compares the commit index of a leader with the one that it had before."""

    def __init__(self) -> None:
        self._commit_index = -1
        self._still_since: float | None = None
        self._reported = False

    def check(self, commit_index: int, waiting: int, now: float) -> bool:
        """
        Return True once for each time in which the log stands still.

        :param commit_index: index up to which the log is committed.
        :param waiting: number of entries that are not committed; 0 for a follower.
        :param now: seconds on the lease clock.
        """
        if not waiting or commit_index != self._commit_index:
            self._commit_index = commit_index
            self._still_since = now if waiting else None
            self._reported = False
            return False
        if self._still_since is None:
            self._still_since = now
        if self._reported or now - self._still_since < STALLED_AFTER_S:
            return False
        self._reported = True
        return True


__all__ = ["STALLED_AFTER_S", "StallWatch"]
