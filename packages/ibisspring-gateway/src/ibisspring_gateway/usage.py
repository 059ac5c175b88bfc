"""Counts the requests that endpoints started, by usage window and client account."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from ibisspring_core.messages.directory import UsageCount, UsageCounted

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Maximum number of usage windows, besides the newest one, whose counts are kept. Older counts are
# dropped, so that memory stays bounded while the directory confirms no counts, as during a long
# network partition.
MAX_WINDOWS = 24


# Seconds until the next report of counts, after a report that the directory's leader did not
# acknowledge; an acknowledgement says itself how long to pause. During the pause, the counts are
# sent with the lease renewals only.
DEFAULT_PAUSE_S = 1.0


class UsageCounts:
    """
    The service `usage_counts`, which counts requests and sends the counts to the directory.

    Each lease renewal contains the counts of all usage windows that are not closed. The directory's
    leader may delay its response to a renewal for half a second, and an entry that is killed loses
    the counts that it has not sent; increased counts are therefore also reported in messages of
    their own.
    """

    name = "usage_counts"

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._count_by_key: dict[tuple[int, str], int] = {}
        self._counts_increased = asyncio.Event()
        self._report_task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: VmSettings) -> UsageCounts:
        """
        Build the counts of an entry, which are empty at its start.

        :param settings: validated settings of the entry; a `usage_window_s` of 0 disables counting.
        """
        return cls(settings.usage_window_s)

    async def start(self, kernel: Kernel) -> None:
        """Add the counts to the renewals and start the task that reports increased counts."""
        self._view = kernel.find("directory_view")
        self._view.set_usage_source(self.open_counts)
        self._report_task = asyncio.create_task(self._report_increases(), name="usage_counts")

    async def stop(self) -> None:
        """Cancel the task that reports increased counts."""
        if self._report_task is not None:
            self._report_task.cancel()

    async def _report_increases(self) -> None:
        while True:
            await self._counts_increased.wait()
            self._counts_increased.clear()
            answer = await self._view.send_usage_now()
            accepted = isinstance(answer, UsageCounted)
            await asyncio.sleep(answer.pause_s if accepted else DEFAULT_PAUSE_S)

    def count_request(self, client_account: str, elapsed_s: float) -> None:
        """
        Count a request that an endpoint started, or may have started.

        :param client_account: account to count it for; a request without an account is not counted.
        :param elapsed_s: seconds since the request arrived; determines its usage window.
        """
        if not self._window_s or not client_account:
            return
        window = math.floor((self._view.wall_s() - elapsed_s) / self._window_s)
        key = (window, client_account)
        self._count_by_key[key] = self._count_by_key.get(key, 0) + 1
        self._counts_increased.set()

    def open_counts(self, closed_window: int) -> tuple[UsageCount, ...]:
        """
        Return the counts of the usage windows that are not closed, and drop all other counts.

        :param closed_window: number of the newest window whose counts the directory no longer
            changes.
        """
        newest = max((window for window, _ in self._count_by_key), default=0)
        for key in list(self._count_by_key):
            if key[0] <= closed_window or key[0] < newest - MAX_WINDOWS:
                del self._count_by_key[key]
        return tuple(UsageCount(*key, count) for key, count in self._count_by_key.items())


__all__ = ["UsageCounts"]
