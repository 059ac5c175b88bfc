"""Daemons whose log collector no longer reads their output."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path

import pytest

from integration.platform_system import LOOKUP, platform_system, wait_served
from integration.processes import REPOSITORY, Process

REQUESTS = 300


class _FullPipeProcess(Process):
    """A process whose standard output is a full pipe without a reader."""

    read_end: int

    def start(self) -> None:
        self.read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        try:
            while True:
                os.write(write_end, b"x" * 4096)
        except BlockingIOError:
            os.set_blocking(write_end, True)
        self.popen = subprocess.Popen(
            self.arguments, stdout=write_end, stderr=subprocess.DEVNULL, cwd=REPOSITORY
        )
        os.close(write_end)


@pytest.fixture
async def system(tmp_path: Path):
    async with platform_system(tmp_path, entries=1) as system:
        yield system


async def test_a_log_collector_that_hangs_delays_no_request(system) -> None:
    """
    Guards against an entry that blocks when the log collector of its VM hangs.

    A write to a full pipe blocks until the pipe is read. If the event loop wrote log lines itself,
    the entry would stop serving at the first line.
    """
    entry = system.process_by_name["entry-1"]
    entry.kill()
    unread = _FullPipeProcess("entry-1", entry.arguments, entry.log)
    system.process_by_name["entry-1"] = unread
    system.restart("entry-1")
    try:
        await wait_served(system, 1)
        statuses = []
        for number in range(REQUESTS):
            path = f"{LOOKUP}{number}" if number % 2 else "/nowhere"
            statuses.append((await system.call("POST", path, f"unread-{number}"))[0])

        assert statuses == [200 if number % 2 else 404 for number in range(REQUESTS)]
        assert unread.alive()
    finally:
        unread.kill()
        os.close(unread.read_end)
