"""Admission of jobs with real processes: refusals, places, and the loss of the jobs' leader."""

from __future__ import annotations

import asyncio
import json
import time

import aiohttp
import pytest

from ibisspring_jobs.item_durations import MIN_OBSERVED
from integration.platform_system import SCORE, configuration, headers_of, job, platform_system

POLICY = "admission"
# Items of the job that fills the two engines, with four slots each, for several seconds.
FILLING_ITEMS = 64
ITEM_EVENTS = 50
EVENT_S = 0.02
DUE_MS = 4000
GIVE_UP_S = 25.0
ITEMS = 6


@pytest.fixture
async def system(tmp_path, monkeypatch):
    monkeypatch.setenv("IBISSPRING_LOAD_POLICY", POLICY)
    async with platform_system(tmp_path) as system:
        yield system


async def submit(system, name: str, body: dict, entry: int) -> tuple[int, float | None, float]:
    """Submit a job once; return the status, the Retry-After and how long the answer took."""
    url = f"{system.entry_url(entry)}{SCORE}{name}"
    began_s = time.monotonic()
    async with (
        aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0)) as session,
        session.post(url, data=json.dumps(body), headers=headers_of(name)) as answer,
    ):
        await answer.read()
        retry_after = answer.headers.get("Retry-After")
        taken_s = time.monotonic() - began_s
        return answer.status, float(retry_after) if retry_after else None, taken_s


async def fill(system) -> None:
    """Let the leader see items end, and then fill the engines with a job that will be late."""
    routes = configuration(2)["routes"]
    routes[1].update(deadline_ms=DUE_MS, item_ttl_s=GIVE_UP_S)
    assert await system.put(2, routes=routes) == 200
    for engine in system.engines:
        engine.events = ITEM_EVENTS
        engine.event_s = EVENT_S
    await system.submit("known", job(2 * MIN_OBSERVED, prefix="k"))
    await system.wait_all_results("known", 2 * MIN_OBSERVED)
    await system.submit("filling", job(FILLING_ITEMS, prefix="f"))


def runs_with(system, prefix: str) -> list[str]:
    return [run for engine in system.engines for run in engine.runs if run.startswith(prefix)]


async def test_refused_jobs_find_their_places_at_another_entry_under_a_new_leader(system) -> None:
    # The leader of the jobs' log is killed between the refusals and the returns. The places must
    # outlive it, and no item of a job that was told "not run" may run before it returns.
    await fill(system)
    names = [f"x{number}" for number in range(4)]

    place_at_by_name = {}
    for name in names:
        status, retry_after_s, taken_s = await submit(system, name, job(ITEMS, prefix=name), 1)
        assert status == 503, name
        assert taken_s < 0.4
        place_at_by_name[name] = time.monotonic() + retry_after_s
    system.process_by_name[system.leaders("jobs")[-1]].kill()
    # A refused job that comes again too early gets the same answer from the next leader.
    status, retry_after_s, _ = await submit(system, "x3", job(ITEMS, prefix="x3"), 2)
    assert status == 503
    assert time.monotonic() + retry_after_s == pytest.approx(place_at_by_name["x3"], abs=0.3)
    assert not any(runs_with(system, name) for name in names)

    async def come_back(name: str) -> tuple[int, bool]:
        await asyncio.sleep(max(0.0, place_at_by_name[name] - time.monotonic()))
        ran_before = bool(runs_with(system, name))
        status, _, _ = await submit(system, name, job(ITEMS, prefix=name), 2)
        return status, ran_before

    # The first job does not come again: its caller has given it up, and nothing of it may run.
    returned = names[1:]
    answers = await asyncio.gather(*(come_back(name) for name in returned))

    assert answers == [(202, False)] * len(returned)
    for name in returned:
        read = await system.wait_all_results(name, ITEMS, entry=2)
        assert all(result["state"] == "completed" for result in read["results"])
    assert not runs_with(system, names[0])
