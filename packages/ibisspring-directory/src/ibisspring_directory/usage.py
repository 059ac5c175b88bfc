"""
Request counts by usage window, as the entries send them to the directory's leader.

A usage window is a fixed period in which requests are counted by client account. When the leader
closes a window, its counts are final.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import CountUsage, Renew


class WindowCounts:
    """Newest request counts by usage window, entry incarnation and client account."""

    def __init__(self) -> None:
        self._count_by_key: dict[tuple[int, str, str], int] = {}

    def clear(self) -> None:
        """
        Remove all counts when this daemon becomes the leader.

        Entries send the counts of a window again until they have received that it is closed.
        """
        self._count_by_key.clear()

    def merge(self, message: Renew | CountUsage, closed_window: int) -> None:
        """
        Merge an entry's counts; each replaces an earlier count of the same window and client
        account.

        The counts of one entry incarnation only rise, so a smaller count is an older one that was
        delayed, and it is ignored.

        :param closed_window: newest usage window whose counts are final; counts of this window and
            earlier ones are ignored.
        """
        incarnation = f"{message.address}/{message.incarnation}"
        for usage in message.usage:
            if usage.window <= closed_window:
                continue
            key = (usage.window, incarnation, usage.client_account)
            self._count_by_key[key] = max(usage.count, self._count_by_key.get(key, 0))

    def close(self, window: int) -> tuple[tuple[str, int], ...]:
        """
        Remove the counts of a usage window and add them up over all entries.

        Counts of earlier windows are discarded, because they arrived after these were closed.

        :return: pairs of client account and its number of requests, sorted.
        """
        total_by_account: dict[str, int] = {}
        for key in [key for key in self._count_by_key if key[0] <= window]:
            count = self._count_by_key.pop(key)
            if key[0] == window:
                total_by_account[key[2]] = total_by_account.get(key[2], 0) + count
        return tuple(sorted(total_by_account.items()))


__all__ = ["WindowCounts"]
