"""Counts the requests that endpoints began, by usage window and client account."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisspring_core.messages.directory import UsageCount

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Windows that the directory never confirms, as after a long cut, are dropped at last.
MAX_WINDOWS = 24


class UsageCounts:
    """The service `usage_counts`; counts are sent with renewals until their window is closed."""

    name = "usage_counts"

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._count_by_key: dict[tuple[int, str], int] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> UsageCounts:
        """
        Build the service.

        :param settings: checked settings of an entry.
        :return: the service.
        """
        return cls(settings.usage_window_s)

    async def start(self, kernel: Kernel) -> None:
        """Send counts with renewals."""
        self._view = kernel.find("directory_view")
        self._view.send_usage(self.open_counts)

    async def stop(self) -> None:
        """Nothing to stop."""

    def began(self, client_account: str, ago_s: float) -> None:
        """
        Count a request that an endpoint began.

        :param ago_s: seconds since it began.
        """
        if not self._window_s or not client_account:
            return
        window = math.floor((self._view.wall_s() - ago_s) / self._window_s)
        key = (window, client_account)
        self._count_by_key[key] = self._count_by_key.get(key, 0) + 1

    def open_counts(self, closed_window: int) -> tuple[UsageCount, ...]:
        """
        List the counts of windows that are not closed.

        :param closed_window: newest window whose figures are fixed.
        """
        newest = max((window for window, _ in self._count_by_key), default=0)
        for key in list(self._count_by_key):
            if key[0] <= closed_window or key[0] < newest - MAX_WINDOWS:
                del self._count_by_key[key]
        return tuple(UsageCount(*key, count) for key, count in self._count_by_key.items())


__all__ = ["UsageCounts"]
