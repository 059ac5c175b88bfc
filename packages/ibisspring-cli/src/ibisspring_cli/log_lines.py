"""Parses the log lines of several processes and merges them in time order."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds by which the difference between wall clock and boot clock of a VM may change between two
# lines. After a larger change, the wall clock was set in between.
CLOCK_STEP_S = 0.05
# Seconds by which setting a wall clock may change the difference between wall clock and boot clock;
# wall clocks are corrected by seconds. A larger change of the difference means that the VM rebooted
# and its boot clock started again at zero.
MAX_CLOCK_STEP_S = 600.0
# Fields that describe the origin of a line, not the logged event.
HEADER_FIELDS = ("message_type", "timestamp", "process", "boot_s")


@dataclass(frozen=True)
class LogLine:
    """
    One log line of a daemon.

    :param process: id of the daemon that wrote the line; empty if the line does not contain it.
    :param kind: the line's `message_type`, which names the logged event.
    :param wall_s: time on the VM's wall clock, in seconds since 1970.
    :param boot_s: time on the VM's boot clock, in seconds; None if the line does not contain it.
    :param boot_index: number of reboots of the VM before this line, as seen in its boot clock.
    :param fields: the line's fields that describe the event, without HEADER_FIELDS.
    """

    process: str
    kind: str
    wall_s: float
    boot_s: float | None
    boot_index: int
    fields: dict[str, Any]

    def mentions(self, ids: frozenset[str]) -> bool:
        """Return whether any field of the line is one of these ids or a list with one of them."""
        return any(_contains_any(value, ids) for value in self.fields.values())


@dataclass(frozen=True)
class ClockNote:
    """
    The boot clock by which the lines of one process were ordered, during one boot of its VM.

    :param process: id of the daemon that wrote the lines.
    :param boot_index: number of reboots of the VM before these lines.
    :param line_count: number of lines that contain the boot clock's time.
    :param steps_s: the changes by which the VM's wall clock was set, in seconds, earliest first.
    """

    process: str
    boot_index: int
    line_count: int
    steps_s: tuple[float, ...]


class _Header(msgspec.Struct):
    """The fields that every log line must have, and the optional fields about its origin."""

    message_type: str
    timestamp: float
    process: str = ""
    boot_s: float | None = None


@dataclass
class _Clock:
    """Wall clock minus boot clock in the lines of one process during one boot, and its changes."""

    offsets_s: list[float] = field(default_factory=list)
    steps_s: list[float] = field(default_factory=list)


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """
    Parse log lines and skip all text that is not a log line of a daemon.

    :param texts: lines of one or more files, those of one file in the file's order; text before the
        JSON object of a line is ignored.
    :return: the parsed lines that have a message type and a timestamp, in the given order.
    """
    lines = []
    offset_s_by_process: dict[str, float] = {}
    boot_index_by_process: dict[str, int] = {}
    for text in texts:
        message = _parse_line(text)
        if message is None:
            continue
        header, fields = message
        process = header.process
        if header.boot_s is not None:
            # Boot clock times from before and after a reboot cannot be compared.
            offset_s = header.timestamp - header.boot_s
            previous_s = offset_s_by_process.get(process, offset_s)
            if abs(offset_s - previous_s) > MAX_CLOCK_STEP_S:
                boot_index_by_process[process] = boot_index_by_process.get(process, 0) + 1
            offset_s_by_process[process] = offset_s
        lines.append(
            LogLine(
                process,
                header.message_type,
                header.timestamp,
                header.boot_s,
                boot_index_by_process.get(process, 0),
                {name: value for name, value in fields.items() if name not in HEADER_FIELDS},
            )
        )
    return lines


def merge_in_time_order(
    lines: Iterable[LogLine],
) -> tuple[list[tuple[float, LogLine]], list[ClockNote]]:
    """
    Merge the lines of several processes in time order.

    The lines of one process are ordered by the boot clock of its VM, which is never set. To compare
    processes, boot clock times are converted to wall clock time with one offset for each boot: the
    median of wall clock minus boot clock over all lines. A wall clock that is wrong for a short
    time therefore does not change the order.

    :return: pairs of wall clock time (seconds since 1970) and line, and a note on each clock.
    """
    lines = list(lines)
    clock_by_boot: dict[tuple[str, int], _Clock] = {}
    for line in lines:
        if line.boot_s is None:
            continue
        clock = clock_by_boot.setdefault((line.process, line.boot_index), _Clock())
        offset_s = line.wall_s - line.boot_s
        if clock.offsets_s and abs(offset_s - clock.offsets_s[-1]) > CLOCK_STEP_S:
            clock.steps_s.append(round(offset_s - clock.offsets_s[-1], 3))
        clock.offsets_s.append(offset_s)
    offset_s_by_boot = {
        boot: statistics.median_low(clock.offsets_s) for boot, clock in clock_by_boot.items()
    }
    timed = [(_wall_time_of(line, offset_s_by_boot), line) for line in lines]
    timed.sort(key=lambda pair: pair[0])
    notes = [
        ClockNote(process, boot_index, len(clock.offsets_s), tuple(clock.steps_s))
        for (process, boot_index), clock in sorted(clock_by_boot.items())
    ]
    return timed, notes


def _wall_time_of(line: LogLine, offset_s_by_boot: dict[tuple[str, int], float]) -> float:
    if line.boot_s is None:
        return line.wall_s
    return line.boot_s + offset_s_by_boot[(line.process, line.boot_index)]


def _parse_line(text: str) -> tuple[_Header, dict[str, Any]] | None:
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:], type=dict[str, Any])
        return msgspec.convert(fields, _Header), fields
    except (msgspec.DecodeError, ValueError):
        return None


def _contains_any(value: Any, ids: frozenset[str]) -> bool:
    if isinstance(value, str):
        return value in ids
    if isinstance(value, list):
        return any(_contains_any(element, ids) for element in value)
    return False


__all__ = ["ClockNote", "LogLine", "merge_in_time_order", "parse_lines"]
