from __future__ import annotations

import json
import os
import threading

from ibisspring_core.log_budget import ROUTINE_PER_S
from ibisspring_core.logs import DROPPED_LINES_KIND, LineWriter

PIPE_BYTES = 1 << 20


def _message(number: int, **fields) -> dict:
    action = {"task_uuid": "t", "task_level": [1]}
    return {"message_type": "runner:ended", "timestamp": 1.0, "number": number, **action, **fields}


def _read_lines(descriptor: int) -> list[dict]:
    data = b""
    while chunk := os.read(descriptor, PIPE_BYTES):
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def test_line_contains_its_process_and_a_monotonic_time() -> None:
    reading, writing = os.pipe()
    writer = LineWriter(writing, "edge-1")
    writer.start()
    writer(_message(1))
    writer(_message(2, daemon="core-2"))

    writer.close()
    os.close(writing)
    first, second = _read_lines(reading)

    assert (first["number"], first["process"], first["message_type"]) == (
        1,
        "edge-1",
        "runner:ended",
    )
    assert (second["process"], second["daemon"]) == ("edge-1", "core-2")
    assert second["boot_s"] >= first["boot_s"] > 0
    assert not {"task_uuid", "task_level"} & set(first)
    os.close(reading)


def test_number_of_dropped_lines_is_logged() -> None:
    reading, writing = os.pipe()
    read: list[dict] = []
    reader = threading.Thread(target=lambda: read.extend(_read_lines(reading)))
    reader.start()
    writer = LineWriter(writing, "edge-1")
    writer.start()
    sent = int(ROUTINE_PER_S * 10)
    for number in range(sent):
        writer(_message(number))

    writer.close()
    os.close(writing)
    reader.join()
    os.close(reading)

    dropped = sum(
        line["count"]["runner:ended"] for line in read if line["message_type"] == DROPPED_LINES_KIND
    )
    written = sum(line["message_type"] == "runner:ended" for line in read)
    assert 0 < written < sent
    assert written + dropped == sent


def test_stopped_reader_does_not_block_callers() -> None:
    """
    A log collector hangs and its pipe fills up.

    A write to a full pipe blocks until the reader continues. If the event loop wrote the log lines,
    the processing of all requests would stop.
    """
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    filled = 0
    try:
        while True:
            filled += os.write(writing, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writing, True)
    writer = LineWriter(writing, "edge-1")
    writer.start()

    for number in range(5_000):
        writer(_message(number, reason="timeout", detail="x" * 2_000))
    writer.close()

    # The pipe is read only after all calls above have returned.
    assert len(os.read(reading, filled)) > 0
    os.set_blocking(reading, False)
    while True:
        try:
            if not os.read(reading, PIPE_BYTES):
                break
        except BlockingIOError:
            if not writer._thread.is_alive():
                break
            writer._thread.join(0.05)
    os.close(reading)
    os.close(writing)


def test_closed_pipe_does_not_end_the_process() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(writing, "edge-1")
    writer.start()

    writer(_message(1))
    writer.close()

    assert not writer._thread.is_alive()
    os.close(writing)
