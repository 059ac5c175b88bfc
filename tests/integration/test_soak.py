"""A short soak, and that it tells of what it is there to find."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from soak.__main__ import Soak, soak

from integration.platform_system import platform_system

SEED = 7
SECONDS = 8.0
OUTLASTS_THE_TEST_S = 60.0


async def test_a_seeded_soak_finds_nothing() -> None:
    # Faults that overlap lose an accepted job or configuration, or end a daemon.
    assert await soak(SEED, SECONDS) == []


async def test_a_soak_tells_of_a_daemon_that_ends_by_itself(tmp_path) -> None:
    # A daemon that ends by itself is started again, and nobody learns of it.
    async with platform_system(tmp_path, entries=1) as system:
        run = Soak(system, random.Random(SEED), time.monotonic() + OUTLASTS_THE_TEST_S)
        watch = asyncio.create_task(run.watch())
        system.process_by_name["entry-1"].send(signal.SIGSEGV)
        async with asyncio.timeout(OUTLASTS_THE_TEST_S):
            while not run.findings:
                await asyncio.sleep(0.05)
        watch.cancel()
    assert run.findings == [f"entry-1: ended by itself with code {-signal.SIGSEGV}"]
