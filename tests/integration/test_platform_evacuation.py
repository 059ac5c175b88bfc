"""Evacuation of a data centre on a complete platform, through the operators' two interfaces."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest

from integration.platform_system import LOOKUP, job, platform_system
from integration.processes import wait_until

EVACUATE_PROGRAM = "from ibisspring_cli.main import main; main()"


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        # All engines of the fixture stand in derby; the job engine of stoke stays in use.
        await system.add_engine("scorer", models={"m": 1}, zone="stoke")
        yield system


async def evacuate(system, *words: str) -> tuple[int, dict]:
    """Run `ibisspring evacuate … --json` and return its exit code and output."""
    seeds = ",".join(system.peer_seeds())
    arguments = ["-c", EVACUATE_PROGRAM, "--timeout", "5", "evacuate", *words]
    child = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, "--seeds", seeds, "--json", stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    return child.returncode, json.loads(output)


async def wait_known(system, data_centre: str) -> None:
    """Wait until the leader knows a data centre from the heartbeats of an endpoint there."""

    async def known() -> bool:
        _, listed = await evacuate(system, "list")
        return data_centre in {one["data_centre"] for one in listed["evacuations"]}

    await wait_until(known, f"{data_centre} to be known")


def runs_by_zone(system) -> dict[str, int]:
    found: dict[str, int] = {}
    for engine in system.engines:
        found[engine.zone] = found.get(engine.zone, 0) + len(engine.runs)
    return found


async def test_nothing_is_sent_into_an_evacuated_data_centre(system) -> None:
    await wait_known(system, "stoke")
    assert (await system.control("POST", "/v1/Evacuate.Start/derby"))[0] == 200
    assert (await system.control("POST", "/v1/Evacuate.Start/derby"))[0] == 200
    before = runs_by_zone(system)["derby"]

    status, body = await system.call("POST", f"{LOOKUP}7", "a1")
    await system.submit("lot1", job(6))
    await system.wait_all_results("lot1", 6)

    assert (status, json.loads(body)["error"]) == (503, "evacuated")
    assert runs_by_zone(system)["derby"] == before
    assert runs_by_zone(system)["stoke"] == 6

    assert (await system.control("POST", "/v1/Evacuate.Stop/derby"))[0] == 200
    assert (await system.call("POST", f"{LOOKUP}7", "a2"))[0] == 200


async def test_an_evacuation_survives_a_restart_of_all_daemons(system) -> None:
    # All VMs lose power right after the operator's call was answered. If the evacuation were gone,
    # requests would reach engines that are being repaired.
    await wait_known(system, "stoke")
    assert (await system.control("POST", "/v1/Evacuate.Start/derby"))[0] == 200
    for process in system.process_by_name.values():
        process.kill()
    before = runs_by_zone(system)["derby"]
    for name in system.process_by_name:
        system.restart(name)

    await system.submit("lot1", job(4))
    await system.wait_all_results("lot1", 4)

    assert runs_by_zone(system)["derby"] == before
    _, listed = await evacuate(system, "list")
    assert {"data_centre": "derby", "change": 1, "active": True} in listed["evacuations"]


async def test_command_line_starts_ends_and_lists_evacuations(system) -> None:
    await wait_known(system, "stoke")

    assert await evacuate(system, "start", "stoke") == (
        0,
        {"evacuation": {"data_centre": "stoke", "change": 1, "active": True}},
    )
    assert (await evacuate(system, "start", "stoke"))[0] == 0
    code, refused = await evacuate(system, "start", "stokke")
    assert (code, refused["error"]["reason"]) == (2, "bad_request")
    assert (await system.control("POST", "/v1/Evacuate.Start/stokke"))[0] == 404
    code, ended = await evacuate(system, "stop", "stoke")
    assert (code, ended["evacuation"]["active"]) == (0, False)
    _, listed = await evacuate(system, "list")
    assert all(not one["active"] for one in listed["evacuations"])
