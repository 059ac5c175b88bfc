"""Closes usage windows in the log, sends them to the usage interface and records its answer."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_control.leader_duties.proposals import commit
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.guarded_http import HttpRequest, NoAnswer, send_guarded
from ibisspring_core.messages.commands import CloseWindow, WindowReported

if TYPE_CHECKING:
    from ibisspring_control.leader_duties.leadership import Leadership, LeadershipWatch
    from ibisspring_control.state import StateMachine
    from ibisspring_control.state.usage import UsageWindow
    from ibisspring_core.counters import Counters

# Seconds after the end of a usage window until it is closed. Entries send usage every second; usage
# that arrives after the closing is counted as late in the next window.
CLOSE_AFTER_S = 3.0
HTTP_OK = 200
HTTP_CONFLICT = 409


@dataclass(frozen=True)
class ReportSettings:
    """
    Settings for the usage reports that the leader sends.

    :param reporter: id of this daemon, for the field `reporter` of a report.
    :param usage_url: URL of the usage interface, to which a report's path is appended.
    :param window_s: length of a usage window in seconds.
    :param timeout_s: time limit in seconds for the answer to a report.
    :param min_lease_s: minimum remaining time of the leader lease, in seconds, when the bytes of a
        report are written.
    """

    reporter: str
    usage_url: str
    window_s: float
    timeout_s: float
    min_lease_s: float


class UsageReports:
    """Closes usage windows and reports them to the usage interface, oldest first."""

    def __init__(
        self,
        consensus: Any,
        state: StateMachine,
        watch: LeadershipWatch,
        counters: Counters,
        settings: ReportSettings,
    ) -> None:
        self._consensus = consensus
        self._state = state
        self._watch = watch
        self._counters = counters
        self._settings = settings
        self._conflicting_windows: set[int] = set()

    async def run(self, leadership: Leadership, wall_s: float) -> bool:
        """
        Close the usage windows that have ended, and report the closed ones.

        :param leadership: the leadership under which reports are sent.
        :param wall_s: wall-clock seconds, from which the ended windows are determined.
        :return: False if a report or a commit has to be retried.
        """
        for window in self._state.unreported_windows():
            if window.closed:
                continue
            if wall_s < (window.window + 1) * self._settings.window_s + CLOSE_AFTER_S:
                continue
            closed = await commit(
                self._consensus, CloseWindow(window.window), f"close-{window.window}"
            )
            if isinstance(closed, Refusal):
                return False
        for window in self._state.unreported_windows():
            if not window.closed or window.window in self._conflicting_windows:
                continue
            if not await self._report(leadership, window):
                return False
        return True

    async def _report(self, leadership: Leadership, window: UsageWindow) -> bool:
        answer = await send_guarded(
            self._build_request(leadership, window),
            lambda: self._watch.lease_left_s(leadership),
            self._settings.min_lease_s,
            self._settings.timeout_s,
        )
        if isinstance(answer, NoAnswer):
            self._counters.retried(Reason.MAY_HAVE_RUN if answer.sent else Reason.LEASE_LAPSED)
            eliot.log_message("usage:unanswered", window=window.window, detail=answer.detail)
            return False
        if answer.status == HTTP_CONFLICT:
            # The usage interface already has a different report for this window, which can only
            # come from outside this log. An operator must investigate; until then, the window stays
            # unreported in `ibisspring usage show` and does not block the other windows.
            self._conflicting_windows.add(window.window)
            self._counters.refused(Reason.CONFLICT)
            eliot.log_message("usage:conflict", window=window.window)
            return True
        if answer.status != HTTP_OK:
            self._counters.retried(Reason.ENDPOINT_REFUSED)
            return False
        request_id = f"reported-{window.window}"
        recorded = await commit(self._consensus, WindowReported(window.window), request_id)
        eliot.log_message("usage:reported", window=window.window)
        return not isinstance(recorded, Refusal)

    def _build_request(self, leadership: Leadership, window: UsageWindow) -> HttpRequest:
        report = {
            "window": window.window,
            "from": window.window * self._settings.window_s,
            "to": (window.window + 1) * self._settings.window_s,
            "reporter": self._settings.reporter,
            "fencing": leadership.term,
            "lines": [asdict(line) for line in window.lines],
        }
        headers = {
            "Content-Type": "application/json",
            "Idempotency-Key": f"window-{window.window}",
        }
        url = f"{self._settings.usage_url}/windows/{window.window}"
        return HttpRequest("PUT", url, json.dumps(report, sort_keys=True).encode(), headers)


__all__ = ["CLOSE_AFTER_S", "ReportSettings", "UsageReports"]
