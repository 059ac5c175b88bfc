"""Logs: JSON lines by eliot, written in a thread of their own and bounded in number."""

from __future__ import annotations

import atexit
import faulthandler
import os
import sys
import threading
import time
from collections import deque
from pathlib import Path
from typing import Any

import eliot
import msgspec

from ibisspring_core.clock import boot_now
from ibisspring_core.log_budget import LogBudget

LEFT_OUT = "log:left_out"
# A line with one of these, not empty, tells of a failure.
FAILURE_FIELDS = ("reason", "error")
# Lines that come close together are written in one call. A process that is killed loses those of
# this time.
GATHER_S = 0.01
TELL_LEFT_OUT_S = 1.0
# At its end a process waits so long for a reader to take the last lines.
FLUSH_S = 0.5
# No line belongs to an eliot action here: its place in one tells nothing.
_PLACE_FIELDS = ("task_uuid", "task_level")


class LineWriter:
    """
    Eliot's destination: it takes messages and writes them in a thread.

    Written where they come up, a pipe whose reader has stopped would hold up the event loop and
    with it every request: after 64 KiB the process would answer nobody.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._budget = LogBudget()
        self._lines: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._counting = threading.Lock()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """
        Take a message; it is written, or counted as left out.

        :param message: from eliot.
        """
        kind = message.get("message_type", "")
        failure = any(message.get(name) for name in FAILURE_FIELDS)
        now = boot_now()
        if not self._budget.admit(kind, failure, self._waiting_bytes, now):
            return
        fields = {name: value for name, value in message.items() if name not in _PLACE_FIELDS}
        self._put(fields, now)

    def _put(self, fields: dict[str, Any], now: float) -> None:
        fields["process"] = self._process
        # The wall clock of a VM may be wrong or step; this one only runs on.
        fields["boot_s"] = round(now, 4)
        line = msgspec.json.encode(fields, enc_hook=str) + b"\n"
        with self._counting:
            self._waiting_bytes += len(line)
        self._lines.append(line)
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(TELL_LEFT_OUT_S)
            if not self._closing:
                time.sleep(GATHER_S)
            self._wake.clear()
            self._tell_left_out()
            closing = self._closing
            self._write_waiting()
            if closing and not self._lines:
                return

    def _tell_left_out(self) -> None:
        count_by_kind = self._budget.take_left_out()
        if count_by_kind:
            fields = {"message_type": LEFT_OUT, "timestamp": time.time(), "count": count_by_kind}
            self._put(fields, boot_now())

    def _write_waiting(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if not lines:
            return
        data = memoryview(b"".join(lines))
        size = len(data)
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The reader is gone, or the disk is full: there is nowhere left to say so.
            pass
        with self._counting:
            self._waiting_bytes -= size

    def close(self) -> None:
        """Write what waits, for a bounded time."""
        self._closing = True
        self._wake.set()
        self._thread.join(FLUSH_S)


def start_logging(path: str | None, process: str = "") -> LineWriter:
    """
    Send eliot's messages to a file or to standard error, one JSON object a line.

    :param path: file to append to; None for standard error.
    :param process: name of this daemon; stands in each line.
    :return: the writer, which flushes itself at the process's end.
    """
    if path is None:
        return log_to(sys.stderr.fileno(), process)
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    return log_to(os.open(target, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644), process)


def log_to(descriptor: int, process: str) -> LineWriter:
    """
    Send eliot's messages to an open file or pipe.

    A fatal signal writes the Python stacks of all threads there as well: a daemon that ends in
    native code has no chance to log a line, and its exit code alone names no cause.

    :param descriptor: where lines are written; stays open until the process ends.
    :param process: name of this daemon; stands in each line.
    :return: the writer.
    """
    faulthandler.enable(descriptor, all_threads=True)
    writer = LineWriter(descriptor, process)
    writer.start()
    eliot.add_destinations(writer)
    atexit.register(writer.close)
    return writer


__all__ = ["FAILURE_FIELDS", "LEFT_OUT", "LineWriter", "log_to", "start_logging"]
