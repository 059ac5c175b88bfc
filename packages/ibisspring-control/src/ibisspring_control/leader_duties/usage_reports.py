"""Usage windows: closed by a log entry that fixes the figures, then reported, then recorded."""

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

# Entries flush every second; what they flush after this is marked late in the next window.
CLOSE_AFTER_S = 3.0
HTTP_OK = 200
HTTP_CONFLICT = 409


@dataclass(frozen=True)
class ReportSettings:
    """
    How usage is reported.

    :param reporter: this daemon's id.
    :param usage_url: base URL of the usage interface.
    :param window_s: seconds that one window spans.
    :param timeout_s: longest wait for an answer.
    :param least_lease_s: seconds of lease that must be left when bytes are written.
    """

    reporter: str
    usage_url: str
    window_s: float
    timeout_s: float
    least_lease_s: float


class UsageReports:
    """Closes and reports usage windows, oldest first."""

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
        self._conflicts: set[int] = set()

    async def run(self, leadership: Leadership, wall_s: float) -> bool:
        """
        Close the windows that are over and report the closed ones.

        :param leadership: the leadership under which reports are sent.
        :param wall_s: wall-clock seconds.
        :return: False when a report or a commit has to be tried again.
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
            if not window.closed or window.window in self._conflicts:
                continue
            if not await self._report(leadership, window):
                return False
        return True

    async def _report(self, leadership: Leadership, window: UsageWindow) -> bool:
        answer = await send_guarded(
            self._request(leadership, window),
            lambda: self._watch.lease_left_s(leadership),
            self._settings.least_lease_s,
            self._settings.timeout_s,
        )
        if isinstance(answer, NoAnswer):
            self._counters.retried(Reason.MAY_HAVE_RUN if answer.sent else Reason.LEASE_LAPSED)
            eliot.log_message("usage:unanswered", window=window.window, detail=answer.detail)
            return False
        if answer.status == HTTP_CONFLICT:
            # Only a report from outside this log can have got there first. A person must look;
            # it stays unreported in `ibisspring usage show` and does not hold up the others.
            self._conflicts.add(window.window)
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

    def _request(self, leadership: Leadership, window: UsageWindow) -> HttpRequest:
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
