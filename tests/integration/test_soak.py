"""A short soak run, and a check that a soak reports a daemon that ends unexpectedly."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from soak.__main__ import Soak, soak

from integration.platform_system import platform_system

SEED = 7
# Long enough for the loss of a store and of the one that takes over from it.
SOAK_S = 30.0
LONGER_THAN_THE_TEST_S = 60.0


async def test_a_seeded_soak_finds_nothing() -> None:
    # Guards against overlapping faults that lose an accepted job or configuration, or end a daemon.
    assert await soak(SEED, SOAK_S) == []


async def test_a_soak_reports_a_daemon_that_ends_by_itself(tmp_path) -> None:
    # Guards against a soak that restarts a crashed daemon without reporting a finding.
    async with platform_system(tmp_path, entries=1) as system:
        soak_run = Soak(system, random.Random(SEED), time.monotonic() + LONGER_THAN_THE_TEST_S)
        watching = asyncio.create_task(soak_run.watch())
        system.process_by_name["entry-1"].send(signal.SIGSEGV)
        async with asyncio.timeout(LONGER_THAN_THE_TEST_S):
            while not soak_run.findings:
                await asyncio.sleep(0.05)
        watching.cancel()
    assert soak_run.findings == [f"entry-1: ended by itself with code {-signal.SIGSEGV}"]
