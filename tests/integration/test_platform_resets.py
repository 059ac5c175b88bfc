"""
A complete platform whose daemons call each other over connections that are reset or go silent.

All open connections between control daemons, stores and entries are hit at once, alone and together
with the end of a leader. New connections work. Those to callers and engines are not hit.
"""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from integration.platform_system import KEY, LOOKUP, job, platform_system
from integration.processes import wait_until
from integration.proxy import Mode
from integration.test_platform_faults import ACKNOWLEDGED_S, IN_FORCE_S

EVENTS = 60
EVENT_S = 0.1
POLL_S = 0.05


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path, proxied=True) as system:
        yield system


async def hit_connections(system, fault: str) -> None:
    """Reset all connections between daemons that are open now, or silence them for good."""
    for proxy in system.proxy_by_name.values():
        if fault == "reset":
            proxy.reset_open()
        else:
            await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)


class Lookups:
    """Looks up through both entries until it is stopped, and counts the statuses."""

    def __init__(self, system) -> None:
        self.system = system
        self.statuses: dict[int, int] = {}
        self.stopping = False
        self.tasks = [asyncio.create_task(self._run(entry)) for entry in (1, 2)]

    async def _run(self, entry: int) -> None:
        number = 0
        while not self.stopping:
            number += 1
            attempt = f"e{entry}-{number}"
            status, _ = await self.system.call("POST", f"{LOOKUP}7", attempt, None, entry)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(POLL_S)

    async def stop(self) -> dict[int, int]:
        self.stopping = True
        await asyncio.gather(*self.tasks)
        return self.statuses


def lost_runs(system) -> list[dict]:
    """Return the lines of all stores about runs that were taken from their runners."""
    found = []
    for name, process in system.process_by_name.items():
        if not name.startswith("store"):
            continue
        for line in process.log.read_text(errors="replace").splitlines():
            if '"dispatch:lost"' in line:
                found.append(json.loads(line))
    return found


@pytest.mark.parametrize("lost_leader", ["none", "directory"])
@pytest.mark.parametrize("fault", ["reset", "silent"])
async def test_entries_serve_on_and_a_change_is_in_force_in_time(
    system, fault, lost_leader
) -> None:
    # The renewals of the entries' views are held by the leader of the directory. If one waited for
    # good on a silent connection, its entry would go on with withdrawn keys until it stops serving.
    lookups = Lookups(system)
    await asyncio.sleep(1.0)
    await hit_connections(system, fault)
    if lost_leader != "none":
        system.process_by_name[system.leaders(lost_leader)[-1]].kill()

    began = time.monotonic()
    assert await system.put(2, tenants=[{"name": "forge", "api_keys": [KEY, "k2"]}]) == 200
    assert time.monotonic() - began <= ACKNOWLEDGED_S
    for entry in (1, 2):

        async def in_force(entry: int = entry) -> bool:
            return (await system.call("POST", f"{LOOKUP}7", "x", None, entry, key="k2"))[0] == 200

        await wait_until(in_force, f"the change to be in force at entry {entry}", IN_FORCE_S)
    assert set(await lookups.stop()) == {200}


@pytest.mark.parametrize("lost_leader", ["none", "jobs"])
@pytest.mark.parametrize("fault", ["reset", "silent"])
async def test_runs_go_on_over_new_connections(system, fault, lost_leader) -> None:
    # Runners report to the leader of the jobs' log at least every 1.5 s, or their items are
    # assigned to others and generated a second time, although they and the engines work.
    for engine in system.engines:
        engine.event_s = EVENT_S
        engine.events = EVENTS
    scorers = [engine for engine in system.engines if engine.service == "scorer"]
    await system.submit("lot1", job(8))
    await wait_until(
        lambda: sum(len(engine.running) for engine in scorers) == 8, "all items to be running"
    )
    await asyncio.sleep(1.0)
    await hit_connections(system, fault)
    if lost_leader != "none":
        system.process_by_name[system.leaders(lost_leader)[-1]].kill()

    read = await system.wait_all_results("lot1", 8)

    assert lost_runs(system) == []
    assert sorted(run for engine in scorers for run in engine.runs) == [f"i{n}" for n in range(8)]
    for result in read["results"]:
        expected = "\n".join(f"{result['id']}-{n}" for n in range(1, EVENTS + 1))
        assert result["output"] == expected
