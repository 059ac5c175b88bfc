"""Log lines of real daemons whose reader has stopped."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path

import pytest

from integration.platform_system import LOOKUP, platform_system, wait_served
from integration.processes import REPOSITORY, Process

REQUESTS = 300


class _Unread(Process):
    """A process whose standard output is a pipe that is full and that nobody reads."""

    reading: int

    def start(self) -> None:
        self.reading, writing = os.pipe()
        os.set_blocking(writing, False)
        try:
            while True:
                os.write(writing, b"x" * 4096)
        except BlockingIOError:
            os.set_blocking(writing, True)
        self.popen = subprocess.Popen(
            self.arguments, stdout=writing, stderr=subprocess.DEVNULL, cwd=REPOSITORY
        )
        os.close(writing)


@pytest.fixture
async def system(tmp_path: Path):
    async with platform_system(tmp_path, entries=1) as system:
        yield system


async def test_a_reader_that_has_stopped_delays_no_request(system) -> None:
    """
    The log collector of an entry's VM hangs. Callers of that entry must notice nothing.

    A write to a full pipe returns only when somebody reads: from the event loop, the first line
    would be the last thing that the entry does.
    """
    served = system.process_by_name["entry-1"]
    served.kill()
    unread = _Unread("entry-1", served.arguments, served.log)
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
        os.close(unread.reading)
