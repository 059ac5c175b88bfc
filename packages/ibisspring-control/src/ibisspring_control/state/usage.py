"""
Usage windows: the usage of client accounts in consecutive periods of equal length.

Each usage record is counted once, and the figures of a closed window never change.
"""

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
    from ibisspring_control.state.moment import LogPosition

# Maximum number of reported windows in the state. They are kept for the operator's command
# `usage show`: four hours at one minute per window.
MAX_REPORTED_WINDOWS = 240
# Maximum number of starts of one daemon whose last usage sequence is kept, so that resent usage is
# recognized. A daemon resends usage within seconds, but runs for minutes or longer between two
# starts.
MAX_STARTS_PER_DAEMON = 8
# Seconds for which the last usage sequence of a daemon's start is kept. An entry may be
# disconnected before it receives the acknowledgement of its usage, and resend the usage afterwards.
# One week is longer than any such disconnection.
SEQUENCE_RETENTION_S = 604_800.0


@dataclass(frozen=True)
class UsageLine:
    """
    Usage of one client account on one service in one usage window.

    :param late: True if the work ended in an earlier window that was already closed when the usage
        was counted.
    :param endpoint_s: seconds that endpoints worked on the calls.
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
    One usage window.

    :param window: number of the window; window n starts n window lengths after 1970.
    :param lines: usage by client account, service and `late`.
    :param closed_index: log index of the command that closed the window; 0 while it is open.
    :param closed_s: wall-clock seconds at which the window was closed.
    :param reported: True once the usage interface acknowledged the window.
    """

    window: int
    lines: tuple[UsageLine, ...] = ()
    closed_index: int = 0
    closed_s: float = 0.0
    reported: bool = False

    @property
    def closed(self) -> bool:
        """Whether the window is closed, so that its figures no longer change."""
        return self.closed_index > 0


@dataclass(frozen=True)
class UsageSequence:
    """Newest counted usage of one start of a daemon: its sequence number, its window, its time."""

    daemon: str
    incarnation: int
    sequence: int
    window: int
    stamped_s: float


@dataclass(frozen=True)
class UsageSnapshot:
    """All usage windows and sequences, sorted; windows up to `closed_through` are closed."""

    closed_through: int = -1
    windows: tuple[UsageWindow, ...] = ()
    sequences: tuple[UsageSequence, ...] = ()


LineKey = tuple[str, str, bool]


class Usage:
    """Usage windows by number; usage of an open window by client account, service and `late`."""

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
        """Return all usage windows and sequences, sorted, so that all replicas agree."""
        windows = sorted(
            [*self.closed_by_window.values(), *self._open_windows()], key=_window_index
        )
        sequences = sorted(self.sequence_by_start.values(), key=_start_key)
        return UsageSnapshot(self.closed_through, tuple(windows), tuple(sequences))

    def add(self, command: AddUsage, position: LogPosition) -> UsageAdded | Refused:
        """Count an entry's records once: in their window, or as late in the first open window."""
        start = (command.daemon, command.incarnation)
        known = self.sequence_by_start.get(start)
        if known is not None and command.sequence <= known.sequence:
            return UsageAdded(known.window)
        if known is None and not self._accept_start(command):
            return Refused(
                Reason.STALE.value,
                "the usage is of an old start of the daemon that is no longer tracked",
            )
        window = max(command.window, self.closed_through + 1)
        late = window != command.window
        lines = self.lines_by_window.setdefault(window, {})
        for record in command.records:
            _merge(lines, record, late)
        self.sequence_by_start[start] = UsageSequence(
            *start, command.sequence, window, position.stamped_s
        )
        return UsageAdded(window)

    def _accept_start(self, command: AddUsage) -> bool:
        starts = sorted(start for start in self.sequence_by_start if start[0] == command.daemon)
        if len(starts) < MAX_STARTS_PER_DAEMON:
            return True
        # Usage of a start whose sequence is no longer kept may be a resend. If it were counted, it
        # could be billed twice.
        if command.incarnation < starts[0][1]:
            return False
        del self.sequence_by_start[starts[0]]
        return True

    def close(self, command: CloseWindow, position: LogPosition) -> Done:
        """Close a usage window, which makes its figures final; closing it again changes nothing."""
        if command.window <= self.closed_through:
            return Done()
        lines: dict[LineKey, UsageLine] = {}
        for window in sorted(self.lines_by_window):
            if window > command.window:
                continue
            for line in self.lines_by_window.pop(window).values():
                _merge(lines, line, line.late or window < command.window)
        self.closed_by_window[command.window] = UsageWindow(
            command.window, _sorted(lines), position.index, position.stamped_s
        )
        self.closed_through = command.window
        self._remove_expired_starts(position)
        return Done()

    def _remove_expired_starts(self, position: LogPosition) -> None:
        for start, sequence in list(self.sequence_by_start.items()):
            if position.stamped_s - sequence.stamped_s > SEQUENCE_RETENTION_S:
                del self.sequence_by_start[start]

    def mark_reported(self, command: WindowReported) -> Done | Refused:
        """Record that the usage interface acknowledged the report of a closed window."""
        window = self.closed_by_window.get(command.window)
        if window is None:
            if command.window <= self.closed_through:
                return Done()
            return Refused(Reason.CONFLICT.value, f"window {command.window} is not closed")
        self.closed_by_window[command.window] = UsageWindow(
            window.window, window.lines, window.closed_index, window.closed_s, reported=True
        )
        self._remove_oldest_reported()
        return Done()

    def unreported_windows(self) -> tuple[UsageWindow, ...]:
        """Return the open usage windows and the closed, unacknowledged ones, oldest first."""
        closed = [window for window in self.closed_by_window.values() if not window.reported]
        return tuple(sorted([*closed, *self._open_windows()], key=_window_index))

    def _open_windows(self) -> list[UsageWindow]:
        by_window = self.lines_by_window
        return [UsageWindow(window, _sorted(lines)) for window, lines in by_window.items()]

    def _remove_oldest_reported(self) -> None:
        reported = [window for window in self.closed_by_window.values() if window.reported]
        for window in sorted(reported, key=_window_index)[:-MAX_REPORTED_WINDOWS]:
            del self.closed_by_window[window.window]


def _merge(lines: dict[LineKey, UsageLine], line: UsageLine | UsageRecord, late: bool) -> None:
    key = (line.client_account, line.service, late)
    previous = lines.get(key, UsageLine(*key, tokens=0, calls=0, endpoint_s=0.0))
    lines[key] = UsageLine(
        *key,
        tokens=previous.tokens + line.tokens,
        calls=previous.calls + line.calls,
        endpoint_s=previous.endpoint_s + line.endpoint_s,
    )


def _key(line: UsageLine) -> LineKey:
    return (line.client_account, line.service, line.late)


def _sorted(lines: dict[LineKey, UsageLine]) -> tuple[UsageLine, ...]:
    return tuple(line for _, line in sorted(lines.items()))


def _window_index(window: UsageWindow) -> int:
    return window.window


def _start_key(sequence: UsageSequence) -> tuple[str, int]:
    return (sequence.daemon, sequence.incarnation)


__all__ = ["Usage", "UsageLine", "UsageSequence", "UsageSnapshot", "UsageWindow"]
