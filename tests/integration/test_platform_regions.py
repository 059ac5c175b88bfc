"""Routes and client accounts that may run in some regions only, on a platform with two regions."""

from __future__ import annotations

import json

import pytest

from integration.platform_system import KEY, LOOKUP, SCORE, configuration, job, platform_system
from integration.processes import wait_until


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


async def put(system, version: int, route: int | None = None, regions: tuple[str, ...] = ()) -> int:
    """Replace the configuration; `route` is the position of the route that names regions."""
    document = configuration(version)
    if route is None:
        document["tenants"] = [
            {"name": "forge", "api_keys": [KEY], "allowed_regions": list(regions)}
        ]
    else:
        document["routes"][route]["allowed_regions"] = list(regions)
    status, _ = await system.control("POST", "/v1/Config.Replace", document)
    return status


async def test_lookups_run_only_in_the_regions_of_route_and_account(system) -> None:
    # All endpoints stand in derby, which is in the region midlands.
    assert await put(system, 2, 0, ("west",)) == 200
    status, body = await system.call("POST", f"{LOOKUP}7", "a1")
    assert (status, json.loads(body)["error"]) == (503, "outside_regions")

    assert await put(system, 3, 0, ("midlands",)) == 200
    assert (await system.call("POST", f"{LOOKUP}7", "a2"))[0] == 200

    assert await put(system, 4, None, ("west",)) == 200
    assert (await system.call("POST", f"{LOOKUP}7", "a3"))[0] == 503

    ran = {run for engine in system.engines for run in engine.runs}
    assert "a2" in ran
    assert not {"a1", "a3"} & ran


async def test_jobs_are_refused_if_a_store_outside_their_regions_would_hold_their_bodies(
    system,
) -> None:
    assert await put(system, 2, 1, ("midlands",)) == 200

    async def refused() -> bool:
        status, body = await system.call("POST", f"{SCORE}lot1", "lot1", job(2))
        return status == 503 and json.loads(body)["error"] == "outside_regions"

    await wait_until(refused, "the job to be refused")
    assert (await system.call("GET", "/v1/lots/lot1", "x"))[0] == 404

    assert await put(system, 3, 1, ("midlands", "west")) == 200
    await system.submit("lot2", job(2))
    await system.wait_all_results("lot2", 2)


async def test_a_configuration_with_an_unknown_region_is_refused(system) -> None:
    assert await put(system, 2, 0, ("midland",)) == 400
