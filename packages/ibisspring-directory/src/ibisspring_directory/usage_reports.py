"""
The service `usage_reports`: closes usage windows and reports each window with a single set of
counts.

A usage window is a fixed period in which requests are counted by client account. Closing a window
makes its counts final.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.errors import Refusal
from ibisspring_core.guarded_http import HttpAnswer
from ibisspring_directory.commands import CloseWindow, WindowReported

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

TICK_S = 0.25
# Seconds after the end of a usage window until it is closed. Entries send their counts with
# renewals, twice a second, so all counts have arrived by then. The remaining time until the report
# is due allows for a change of the leader and for a platform that is slow or unavailable.
CLOSE_AFTER_S = 2.5
REPORT_TIMEOUT_S = 4.0
# Maximum number of windows that are closed and reported after an outage. The newest windows are
# still of use, while each older one would only cost a call to the platform.
MAX_BACKLOG_WINDOWS = 12


class UsageReports:
    """Closes usage windows when they are due, and reports them one at a time, in order."""

    name = "usage_reports"

    def __init__(self, settings: VmSettings) -> None:
        self._window_s = settings.usage_window_s

    @classmethod
    def from_config(cls, settings: VmSettings) -> UsageReports:
        """
        Build the service `usage_reports` of a control VM.

        :param settings: the VM's settings, already validated; they state the length of a window.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start the periodic check for usage windows that are to be closed or reported."""
        self._directory = kernel.find("directory")
        self._duties = kernel.find("duties")
        self._outside = kernel.find("outside")
        self._counters = kernel.find("counters")
        self._tick_timer = kernel.find("timer").subscribe("usage_reports", TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop the periodic check for usage windows that are to be closed or reported."""
        self._tick_timer.cancel()

    async def _tick(self, now: float) -> None:
        if not self._window_s or not self._duties.may_order():
            return
        await self._close_due()
        for window in list(self._directory.state.window_by_number.values()):
            if not await self._report(window):
                return

    async def _close_due(self) -> None:
        """
        Make the counts of the windows that have ended final, and commit them.

        The counts are committed before they are reported, so that a new leader reports the same
        counts again, and never different ones for the same window.
        """
        directory = self._directory
        newest = math.floor((directory.agreed_wall_s() - CLOSE_AFTER_S) / self._window_s) - 1
        closed = directory.state.closed_window
        first = newest if closed < 0 else max(closed + 1, newest - MAX_BACKLOG_WINDOWS)
        for window in range(first, newest + 1):
            command = CloseWindow(window, directory.usage_counts.close(window))
            if isinstance(await directory.propose(command), Refusal):
                return

    async def _report(self, window: CloseWindow) -> bool:
        request = self._outside.usage_report(window.window, window.counts, self._duties.sender())
        answer = await self._duties.send(request, REPORT_TIMEOUT_S)
        accepted = isinstance(answer, HttpAnswer) and 200 <= answer.status < 300
        eliot.log_message(
            "usage_reports:sent",
            window=window.window,
            total=sum(count for _, count in window.counts),
            accepted=accepted,
            answer=str(answer.status if isinstance(answer, HttpAnswer) else answer.detail),
        )
        self._counters.add("usage_reports.accepted" if accepted else "usage_reports.failed")
        if not accepted:
            return False
        await self._directory.propose(WindowReported(window.window))
        return True


__all__ = ["UsageReports"]
