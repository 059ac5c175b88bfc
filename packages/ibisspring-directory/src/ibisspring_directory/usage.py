"""Request counts by usage window, as reported by the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import CountUsage, Renew


class WindowCounts:
    """Newest request counts by window, entry incarnation and client account."""

    def __init__(self) -> None:
        self._count_by_key: dict[tuple[int, str, str], int] = {}

    def clear(self) -> None:
        """
        Remove all counts; the entries resend those of windows that are not confirmed as closed.
        """
        self._count_by_key.clear()

    def merge(self, message: Renew | CountUsage, closed_window: int) -> None:
        """
        Merge an entry's counts; each replaces an earlier count of the same window and client
        account.

        Counts of one incarnation only rise, so a smaller count is an older one that was delayed.

        :param closed_window: newest window whose counts are fixed.
        """
        incarnation = f"{message.address}/{message.incarnation}"
        for usage in message.usage:
            if usage.window <= closed_window:
                continue
            key = (usage.window, incarnation, usage.client_account)
            self._count_by_key[key] = max(usage.count, self._count_by_key.get(key, 0))

    def close(self, window: int) -> tuple[tuple[str, int], ...]:
        """
        Remove and add up the counts of a window; counts of earlier windows are discarded as late.

        :return: pairs of client account and number of requests, sorted.
        """
        total_by_account: dict[str, int] = {}
        for key in [key for key in self._count_by_key if key[0] <= window]:
            count = self._count_by_key.pop(key)
            if key[0] == window:
                total_by_account[key[2]] = total_by_account.get(key[2], 0) + count
        return tuple(sorted(total_by_account.items()))


__all__ = ["WindowCounts"]
