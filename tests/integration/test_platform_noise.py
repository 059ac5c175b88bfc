"""A complete platform with the switches `hedging` and `sizes`, whose endpoints are in trouble."""

from __future__ import annotations

import asyncio
import time

import pytest

from integration.platform_system import LOOKUP, job, platform_system

# Time limit of a lookup by the operator's configuration, and the time in which it must be answered
# here: half of it, so that the caller could still have repeated it.
TIMEOUT_S = 3.0
LARGE = {"cpu_share": 1.0, "cores": 1, "memory_mb": 2000, "max_fds": 8000, "link_mbps": 1000.0}
# A daemon of an entry takes more memory than this.
TINY = {**LARGE, "memory_mb": 30}


@pytest.fixture(autouse=True)
def switches(monkeypatch) -> None:
    monkeypatch.setenv("IBISSPRING_LOAD_POLICY", "hedging, sizes")


async def test_lookups_are_answered_while_endpoints_are_silent_or_replaced(tmp_path) -> None:
    async with platform_system(tmp_path) as system:
        silent = await system.add_engine("archive", answer_s=30.0)
        await asyncio.sleep(1.0)
        for number in range(8):
            started_at = time.monotonic()
            status, _ = await system.call("POST", f"{LOOKUP}{number}", f"a{number}", None, 1)
            assert (status, time.monotonic() - started_at < 0.5 * TIMEOUT_S) == (200, True)

        # All endpoints crash, and one with another id takes their place while a caller waits.
        archive = system.engines[0]
        await archive.stop()
        await silent.stop()
        waiting = asyncio.create_task(system.call("POST", f"{LOOKUP}9", "a9", None, 1))
        await asyncio.sleep(0.3)
        await system.add_engine("archive")

        assert (await waiting)[0] == 200


async def test_an_entry_without_memory_gets_no_runs(tmp_path) -> None:
    # One of two entries has less memory than its process takes. Every run that it got would bring
    # its end closer, and with it the loss of all its runs.
    limits = {"entry-1": TINY, "entry-2": LARGE}
    async with platform_system(tmp_path, limits_by_name=limits) as system:
        await system.submit("lot1", job(20))
        read = await system.wait_all_results("lot1", 20)

        logs = {name: system.process_by_name[name].log.read_text() for name in limits}
        assert {result["state"] for result in read["results"]} == {"completed"}
        assert '"runner:near_limit"' in logs["entry-1"]
        assert '"runner:ended"' not in logs["entry-1"]
        assert '"runner:ended"' in logs["entry-2"]
