"""Log lines of several processes, read and put into one order."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# A wall clock that moves so far against the boot clock of its VM was set.
STEP_S = 0.05
# Clocks are set by seconds; a larger difference is another boot of the VM.
MOST_STEP_S = 600.0
# Fields that say where a line comes from and not what it tells.
OWN_FIELDS = ("message_type", "timestamp", "process", "boot_s")


@dataclass(frozen=True)
class LogLine:
    """
    One line.

    :param process: the daemon that wrote it; empty where the line does not say.
    :param start: counts the starts of that daemon's VM, as its boot clock tells them.
    :param wall_s: the VM's wall clock, seconds since 1970.
    :param boot_s: the VM's boot clock; None where the line does not say.
    :param fields: what it tells.
    """

    process: str
    kind: str
    wall_s: float
    boot_s: float | None
    start: int
    fields: dict[str, Any]

    def names(self, wanted: frozenset[str]) -> bool:
        """Whether any field holds one of some ids."""
        return any(_holds(value, wanted) for value in self.fields.values())


@dataclass(frozen=True)
class ClockNote:
    """
    What is known of the clock that a process's lines were ordered by.

    :param steps_s: how far its wall clock was set, in order.
    """

    process: str
    start: int
    lines: int
    steps_s: tuple[float, ...]


class _Head(msgspec.Struct):
    """What every line must have, and where it comes from."""

    message_type: str
    timestamp: float
    process: str = ""
    boot_s: float | None = None


@dataclass
class _Clock:
    """The lines of one start of one VM."""

    offsets: list[float] = field(default_factory=list)
    steps_s: list[float] = field(default_factory=list)


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """
    Read lines; what is not a line of a daemon is left out.

    :param texts: lines, in the order of each file; something may stand before the JSON.
    :return: the lines that have a kind and a time.
    """
    lines = []
    offset_by_process: dict[str, float] = {}
    start_by_process: dict[str, int] = {}
    for text in texts:
        message = _message_of(text)
        if message is None:
            continue
        head, fields = message
        process = head.process
        if head.boot_s is not None:
            # Two boots of a VM have nothing in common but its name.
            offset_s = head.timestamp - head.boot_s
            known_s = offset_by_process.get(process, offset_s)
            if abs(offset_s - known_s) > MOST_STEP_S:
                start_by_process[process] = start_by_process.get(process, 0) + 1
            offset_by_process[process] = offset_s
        lines.append(
            LogLine(
                process,
                head.message_type,
                head.timestamp,
                head.boot_s,
                start_by_process.get(process, 0),
                {name: value for name, value in fields.items() if name not in OWN_FIELDS},
            )
        )
    return lines


def in_one_order(lines: Iterable[LogLine]) -> tuple[list[tuple[float, LogLine]], list[ClockNote]]:
    """
    Order lines of several processes.

    Within one process the boot clock decides, which is never set. Between processes the wall clocks
    do: the offset between both clocks is taken as its median over the process's lines, so that a
    clock that was set for a moment moves nothing.

    :return: lines with the time that they were ordered by, and what is known of each clock.
    """
    lines = list(lines)
    clock_by_start: dict[tuple[str, int], _Clock] = {}
    for line in lines:
        if line.boot_s is None:
            continue
        clock = clock_by_start.setdefault((line.process, line.start), _Clock())
        offset = line.wall_s - line.boot_s
        if clock.offsets and abs(offset - clock.offsets[-1]) > STEP_S:
            clock.steps_s.append(round(offset - clock.offsets[-1], 3))
        clock.offsets.append(offset)
    offset_by_start = {
        start: statistics.median_low(clock.offsets) for start, clock in clock_by_start.items()
    }
    timed = [(_time_of(line, offset_by_start), line) for line in lines]
    timed.sort(key=lambda pair: pair[0])
    notes = [
        ClockNote(process, start, len(clock.offsets), tuple(clock.steps_s))
        for (process, start), clock in sorted(clock_by_start.items())
    ]
    return timed, notes


def _time_of(line: LogLine, offset_by_start: dict[tuple[str, int], float]) -> float:
    if line.boot_s is None:
        return line.wall_s
    return line.boot_s + offset_by_start[(line.process, line.start)]


def _message_of(text: str) -> tuple[_Head, dict[str, Any]] | None:
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:], type=dict[str, Any])
        return msgspec.convert(fields, _Head), fields
    except (msgspec.DecodeError, ValueError):
        return None


def _holds(value: Any, wanted: frozenset[str]) -> bool:
    if isinstance(value, str):
        return value in wanted
    if isinstance(value, list):
        return any(_holds(one, wanted) for one in value)
    return False


__all__ = ["ClockNote", "LogLine", "in_one_order", "parse_lines"]
