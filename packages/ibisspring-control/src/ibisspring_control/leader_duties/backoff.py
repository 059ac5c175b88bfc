"""Exponential backoff for requests to a receiver that does not answer."""

from __future__ import annotations

# Seconds between a failed attempt and the next attempt: after the first failure, and at most.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 10.0


class Backoff:
    """
    Tracks, for each receiver, the pause (seconds without a request) before the next attempt.

    Each failed attempt doubles the pause up to MAX_PAUSE_S. Without the pause, a receiver that is
    down for an hour would be sent several new connections per second, and would be busy with them
    for its first minute after it is up again.
    """

    def __init__(self) -> None:
        self._pause_s_by_key: dict[str, float] = {}
        self._next_s_by_key: dict[str, float] = {}

    def ready(self, key: str, now: float) -> bool:
        """
        Return whether the pause before the next request to a receiver is over.

        :param key: name of the receiver, such as `platform` or `usage`.
        :param now: boot-clock seconds.
        """
        return now >= self._next_s_by_key.get(key, 0.0)

    def record_attempt(self, key: str, failed: bool, now: float) -> None:
        """
        Record whether a request to a receiver failed.

        :param key: name of the receiver, as for `ready`.
        :param failed: True if the attempt has to be repeated; False resets the pause.
        :param now: boot-clock seconds.
        """
        if not failed:
            self._pause_s_by_key.pop(key, None)
            self._next_s_by_key.pop(key, None)
            return
        pause_s = self._pause_s_by_key.get(key, FIRST_PAUSE_S)
        self._next_s_by_key[key] = now + pause_s
        self._pause_s_by_key[key] = min(MAX_PAUSE_S, pause_s * 2)


__all__ = ["FIRST_PAUSE_S", "MAX_PAUSE_S", "Backoff"]
