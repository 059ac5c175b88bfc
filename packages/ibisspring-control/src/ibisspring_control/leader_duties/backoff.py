"""Spaces out tries against a receiver that does not answer."""

from __future__ import annotations

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 10.0


class Backoff:
    """
    Pauses by key, doubled with each failure.

    Without it a receiver that is down for an hour is sent a fresh connection several times a
    second, and its first minute back is spent on them.
    """

    def __init__(self) -> None:
        self._pause_s_by_key: dict[str, float] = {}
        self._next_s_by_key: dict[str, float] = {}

    def ready(self, key: str, now: float) -> bool:
        """
        Tell whether to try again.

        :param key: the receiver.
        :param now: boot-clock seconds.
        """
        return now >= self._next_s_by_key.get(key, 0.0)

    def note(self, key: str, failed: bool, now: float) -> None:
        """
        Note how a try ended.

        :param key: the receiver.
        :param failed: it gave no answer that ends the matter.
        :param now: boot-clock seconds.
        """
        if not failed:
            self._pause_s_by_key.pop(key, None)
            self._next_s_by_key.pop(key, None)
            return
        pause_s = self._pause_s_by_key.get(key, FIRST_PAUSE_S)
        self._next_s_by_key[key] = now + pause_s
        self._pause_s_by_key[key] = min(LONGEST_PAUSE_S, pause_s * 2)


__all__ = ["FIRST_PAUSE_S", "LONGEST_PAUSE_S", "Backoff"]
