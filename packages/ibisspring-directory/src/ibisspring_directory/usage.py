"""Requests by usage window, as the entries counted them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import CountUsage, Renew


class WindowCounts:
    """Newest counts by window, entry start and client account."""

    def __init__(self) -> None:
        self._count_by_key: dict[tuple[int, str, str], int] = {}

    def clear(self) -> None:
        """Forget all; entries send again what is not confirmed."""
        self._count_by_key.clear()

    def take(self, told: Renew | CountUsage, closed_window: int) -> None:
        """
        Take in an entry's counts; each takes the place of its earlier ones.

        Counts of one start only rise. A smaller one was sent earlier and came late.

        :param closed_window: newest window whose figures are fixed.
        """
        start = f"{told.address}/{told.incarnation}"
        for one in told.usage:
            if one.window <= closed_window:
                continue
            key = (one.window, start, one.client_account)
            self._count_by_key[key] = max(one.count, self._count_by_key.get(key, 0))

    def close(self, window: int) -> tuple[tuple[str, int], ...]:
        """
        Add up a window; what came late for earlier ones is dropped.

        :return: pairs of client account and requests, sorted.
        """
        total_by_account: dict[str, int] = {}
        for key in [key for key in self._count_by_key if key[0] <= window]:
            count = self._count_by_key.pop(key)
            if key[0] == window:
                total_by_account[key[2]] = total_by_account.get(key[2], 0) + count
        return tuple(sorted(total_by_account.items()))


__all__ = ["WindowCounts"]
