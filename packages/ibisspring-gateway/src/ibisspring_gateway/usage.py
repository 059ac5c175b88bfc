"""Counts the requests that endpoints began, by usage window and client account."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from ibisspring_core.messages.directory import UsageCount, UsageCounted

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Windows that the directory never confirms, as after a long cut, are dropped at last.
MAX_WINDOWS = 24


# Where the leader did not say how long to wait, renewals carry the counts.
UNTOLD_PAUSE_S = 1.0


class UsageCounts:
    """
    The service `usage_counts`.

    Counts are sent with renewals until their window is closed. A renewal is held for half a second,
    and an entry that is killed loses what it did not send; so they are also told as they rise.
    """

    name = "usage_counts"

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._count_by_key: dict[tuple[int, str], int] = {}
        self._risen = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: VmSettings) -> UsageCounts:
        """
        Build the service.

        :param settings: checked settings of an entry.
        :return: the service.
        """
        return cls(settings.usage_window_s)

    async def start(self, kernel: Kernel) -> None:
        """Send counts with renewals, and as they rise."""
        self._view = kernel.find("directory_view")
        self._view.send_usage(self.open_counts)
        self._task = asyncio.create_task(self._tell(), name="usage_counts")

    async def stop(self) -> None:
        """Tell no more."""
        if self._task is not None:
            self._task.cancel()

    async def _tell(self) -> None:
        while True:
            await self._risen.wait()
            self._risen.clear()
            answer = await self._view.tell_usage()
            told = isinstance(answer, UsageCounted)
            await asyncio.sleep(answer.pause_s if told else UNTOLD_PAUSE_S)

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
        self._risen.set()

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
