"""Usage windows: each record counts once, a closed window never changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import (
    AddUsage,
    CloseWindow,
    Done,
    Refused,
    UsageAdded,
    UsageRecord,
    WindowReported,
)

if TYPE_CHECKING:
    from ibisspring_control.state.moment import Moment

# Closed windows are kept for `usage show`; four hours of windows of a minute.
KEPT_REPORTED = 240
# Starts of one daemon whose resends still count; a resend lives for seconds, a start for minutes.
KEPT_INCARNATIONS = 8
# An entry may be cut off with a batch whose acknowledgement was lost; a week outlasts any cut.
KEEP_SEQUENCES_S = 604_800.0


@dataclass(frozen=True)
class UsageLine:
    """
    Usage of one client account on one service in one window.

    :param late: the work ended in a window that was closed already.
    """

    client_account: str
    service: str
    late: bool
    tokens: int
    calls: int
    endpoint_s: float


@dataclass(frozen=True)
class UsageWindow:
    """
    One window.

    :param closed_index: log index of its closing; 0 while it is open.
    :param reported: the usage interface acknowledged it.
    """

    window: int
    lines: tuple[UsageLine, ...] = ()
    closed_index: int = 0
    closed_s: float = 0.0
    reported: bool = False

    @property
    def closed(self) -> bool:
        """Whether the figures are fixed."""
        return self.closed_index > 0


@dataclass(frozen=True)
class UsageSequence:
    """Newest sequence taken from one start of a daemon and the window that took it, and when."""

    daemon: str
    incarnation: int
    sequence: int
    window: int
    stamped_s: float


@dataclass(frozen=True)
class UsageSnapshot:
    """All windows and sequences, sorted by key."""

    closed_through: int = -1
    windows: tuple[UsageWindow, ...] = ()
    sequences: tuple[UsageSequence, ...] = ()


LineKey = tuple[str, str, bool]


class Usage:
    """Windows by index; lines of an open window by client account, service and lateness."""

    def __init__(self, snapshot: UsageSnapshot) -> None:
        self.closed_through = snapshot.closed_through
        self.closed_by_window: dict[int, UsageWindow] = {}
        self.lines_by_window: dict[int, dict[LineKey, UsageLine]] = {}
        self.sequence_by_start = {
            (sequence.daemon, sequence.incarnation): sequence for sequence in snapshot.sequences
        }
        for window in snapshot.windows:
            if window.closed_index:
                self.closed_by_window[window.window] = window
                continue
            self.lines_by_window[window.window] = {_key(line): line for line in window.lines}

    def snapshot(self) -> UsageSnapshot:
        """Everything, sorted."""
        windows = sorted(
            [*self.closed_by_window.values(), *self._open_windows()], key=_window_index
        )
        sequences = sorted(self.sequence_by_start.values(), key=_start_of)
        return UsageSnapshot(self.closed_through, tuple(windows), tuple(sequences))

    def add(self, command: AddUsage, moment: Moment) -> UsageAdded | Refused:
        """Count an entry's records once, in their window or, late, in the next open one."""
        start = (command.daemon, command.incarnation)
        known = self.sequence_by_start.get(start)
        if known is not None and command.sequence <= known.sequence:
            return UsageAdded(known.window)
        if known is None and not self._take_start(command):
            return Refused(Reason.STALE.value, "usage of a start that was forgotten")
        window = max(command.window, self.closed_through + 1)
        late = window != command.window
        lines = self.lines_by_window.setdefault(window, {})
        for record in command.records:
            _merge(lines, record, late)
        self.sequence_by_start[start] = UsageSequence(
            *start, command.sequence, window, moment.stamped_s
        )
        return UsageAdded(window)

    def _take_start(self, command: AddUsage) -> bool:
        starts = sorted(start for start in self.sequence_by_start if start[0] == command.daemon)
        if len(starts) < KEPT_INCARNATIONS:
            return True
        # A forgotten start's records cannot be told from resends: taking them could bill twice.
        if command.incarnation < starts[0][1]:
            return False
        del self.sequence_by_start[starts[0]]
        return True

    def close(self, command: CloseWindow, moment: Moment) -> Done:
        """Fix the figures of a window; closing it again changes nothing."""
        if command.window <= self.closed_through:
            return Done()
        lines: dict[LineKey, UsageLine] = {}
        for window in sorted(self.lines_by_window):
            if window > command.window:
                continue
            for line in self.lines_by_window.pop(window).values():
                _merge(lines, line, line.late or window < command.window)
        self.closed_by_window[command.window] = UsageWindow(
            command.window, _sorted(lines), moment.index, moment.stamped_s
        )
        self.closed_through = command.window
        self._forget_starts(moment)
        return Done()

    def _forget_starts(self, moment: Moment) -> None:
        for start, sequence in list(self.sequence_by_start.items()):
            if moment.stamped_s - sequence.stamped_s > KEEP_SEQUENCES_S:
                del self.sequence_by_start[start]

    def reported(self, command: WindowReported) -> Done | Refused:
        """Note that a closed window was taken by the usage interface."""
        window = self.closed_by_window.get(command.window)
        if window is None:
            if command.window <= self.closed_through:
                return Done()
            return Refused(Reason.CONFLICT.value, f"window {command.window} is not closed")
        self.closed_by_window[command.window] = UsageWindow(
            window.window, window.lines, window.closed_index, window.closed_s, reported=True
        )
        self._forget_reported()
        return Done()

    def unreported(self) -> tuple[UsageWindow, ...]:
        """Windows that are open, or closed and not acknowledged, oldest first."""
        closed = [window for window in self.closed_by_window.values() if not window.reported]
        return tuple(sorted([*closed, *self._open_windows()], key=_window_index))

    def _open_windows(self) -> list[UsageWindow]:
        by_window = self.lines_by_window
        return [UsageWindow(window, _sorted(lines)) for window, lines in by_window.items()]

    def _forget_reported(self) -> None:
        reported = [window for window in self.closed_by_window.values() if window.reported]
        for window in sorted(reported, key=_window_index)[:-KEPT_REPORTED]:
            del self.closed_by_window[window.window]


def _merge(lines: dict[LineKey, UsageLine], line: UsageLine | UsageRecord, late: bool) -> None:
    key = (line.client_account, line.service, late)
    old = lines.get(key, UsageLine(*key, tokens=0, calls=0, endpoint_s=0.0))
    lines[key] = UsageLine(
        *key,
        tokens=old.tokens + line.tokens,
        calls=old.calls + line.calls,
        endpoint_s=old.endpoint_s + line.endpoint_s,
    )


def _key(line: UsageLine) -> LineKey:
    return (line.client_account, line.service, line.late)


def _sorted(lines: dict[LineKey, UsageLine]) -> tuple[UsageLine, ...]:
    return tuple(line for _, line in sorted(lines.items()))


def _window_index(window: UsageWindow) -> int:
    return window.window


def _start_of(sequence: UsageSequence) -> tuple[str, int]:
    return (sequence.daemon, sequence.incarnation)


__all__ = ["Usage", "UsageLine", "UsageSequence", "UsageSnapshot", "UsageWindow"]
