"""Logs: eliot's messages as JSON lines, written by a separate thread and rate-limited."""

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

DROPPED_LINES_KIND = "log:left_out"
# A line in which one of these fields is not empty reports a failure.
FAILURE_FIELDS = ("reason", "error")
# Seconds that the writing thread waits after a line arrives: lines that arrive within this time are
# written in one call. A process that is killed loses these lines.
WRITE_DELAY_S = 0.01
# Seconds between two reports of dropped lines.
DROPPED_REPORT_EVERY_S = 1.0
# Seconds that a process waits at exit until the buffered lines are written.
FLUSH_S = 0.5
# Fields in which eliot stores the position of a message within an action. They are omitted, since
# no message of the daemons belongs to an action.
_ACTION_FIELDS = ("task_uuid", "task_level")


class LineWriter:
    """
    Eliot's destination, which buffers messages and writes them in a separate thread.

    If the event loop wrote the lines itself, a pipe whose reader has stopped would block the loop
    after 64 KiB, and the process would answer no request.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._budget = LogBudget()
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._bytes_lock = threading.Lock()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)

    def start(self) -> None:
        """Start the thread that writes the buffered lines."""
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """
        Buffer a message for writing, or drop and count it.

        :param message: fields of the message, from eliot.
        """
        kind = message.get("message_type", "")
        failure = any(message.get(name) for name in FAILURE_FIELDS)
        now = boot_now()
        if not self._budget.admit(kind, failure, self._buffered_bytes, now):
            return
        fields = {name: value for name, value in message.items() if name not in _ACTION_FIELDS}
        self._enqueue(fields, now)

    def _enqueue(self, fields: dict[str, Any], now: float) -> None:
        fields["process"] = self._process
        # The wall clock of a VM may be wrong or jump; the boot clock is monotonic.
        fields["boot_s"] = round(now, 4)
        line = msgspec.json.encode(fields, enc_hook=str) + b"\n"
        with self._bytes_lock:
            self._buffered_bytes += len(line)
        self._lines.append(line)
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(DROPPED_REPORT_EVERY_S)
            if not self._closing:
                time.sleep(WRITE_DELAY_S)
            self._wake.clear()
            self._report_dropped()
            closing = self._closing
            self._write_buffered()
            if closing and not self._lines:
                return

    def _report_dropped(self) -> None:
        count_by_kind = self._budget.reset_dropped()
        if count_by_kind:
            fields = {
                "message_type": DROPPED_LINES_KIND,
                "timestamp": time.time(),
                "count": count_by_kind,
            }
            self._enqueue(fields, boot_now())

    def _write_buffered(self) -> None:
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
            # The reader has closed the pipe, or the disk is full; the error cannot be logged.
            pass
        with self._bytes_lock:
            self._buffered_bytes -= size

    def close(self) -> None:
        """Write the buffered lines, for at most `FLUSH_S` seconds."""
        self._closing = True
        self._wake.set()
        self._thread.join(FLUSH_S)


def start_logging(path: str | None, process: str = "") -> LineWriter:
    """
    Write eliot's messages to a file or to standard error, one JSON object per line.

    :param path: file to append to; None for standard error.
    :param process: name of this daemon, added to each line.
    :return: the writer; it writes its buffered lines when the process exits.
    """
    if path is None:
        return log_to(sys.stderr.fileno(), process)
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    return log_to(os.open(target, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644), process)


def log_to(descriptor: int, process: str) -> LineWriter:
    """
    Write eliot's messages to an open file or pipe.

    On a fatal signal the Python stacks of all threads are written there too: a daemon that crashes
    in native code cannot log a line, and its exit code alone does not show the cause.

    :param descriptor: file descriptor of the file or pipe; must stay open until the process exits.
    :param process: name of this daemon, added to each line.
    :return: the writer, already started; it writes its buffered lines when the process exits.
    """
    faulthandler.enable(descriptor, all_threads=True)
    writer = LineWriter(descriptor, process)
    writer.start()
    eliot.add_destinations(writer)
    atexit.register(writer.close)
    return writer


__all__ = ["FAILURE_FIELDS", "DROPPED_LINES_KIND", "LineWriter", "log_to", "start_logging"]
