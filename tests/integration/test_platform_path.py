"""Requests, jobs and configurations on a complete platform, mostly without faults."""

from __future__ import annotations

import asyncio
import json

import pytest

from ibisspring_gateway.result_reads import INLINE_BYTES
from integration.platform_system import (
    KEY,
    LOOKUP,
    SCORE,
    configuration,
    headers_of,
    job,
    platform_system,
    request,
)
from integration.processes import wait_until


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


async def test_bootstrap_lookups_a_job_and_a_weight_update_without_faults(system) -> None:
    # The complete path without faults and with real processes: a system that bootstraps itself, a
    # configuration, lookups under a key, a job with its results, and a new version of its weights.
    status, document = await system.control("GET", "/v1/Config.Read")
    assert (status, json.loads(document)) == (200, configuration(1))
    assert (await system.call("POST", f"{LOOKUP}7", "a1"))[1] == f"{LOOKUP}7".encode()
    assert (await system.call("POST", f"{LOOKUP}7", "a2", key="nobody's"))[0] == 401
    assert (await system.call("POST", "/nowhere/7", "a3"))[0] == 404
    heads = {
        head["attempt-id"]: head for engine in system.engines for head in engine.request_headers
    }
    assert heads["a1"]["tenant"] == "forge"
    assert "authorization" not in heads["a1"]
    assert "a2" not in heads

    await system.submit("lot1", job(6))
    await system.submit("lot1", job(6), entry=2)
    read = await system.wait_all_results("lot1", 6, entry=2)
    assert read["total"] == 6
    by_item = {result["id"]: result for result in read["results"]}
    assert by_item["i3"]["output"] == "\n".join(f"i3-{n}" for n in range(1, 6))
    assert by_item["i3"]["versions"] == [1]
    assert (await system.call("GET", "/v1/lots/unknown", "x"))[0] == 404
    assert (await system.call("DELETE", "/v1/lots/lot1", "x"))[0] == 200
    assert await system.results("lot1") == read

    published = {"model": "m", "version": 2}
    assert (await system.control("POST", "/v1/version-put", published))[0] == 200
    await system.submit("lot2", job(4, min_version=2, prefix="j"))
    read = await system.wait_all_results("lot2", 4)
    assert all(result["versions"] == [2] for result in read["results"])
    orders = [order for engine in system.engines for order in engine.orders]
    assert {(order["op"], order["version"]) for order in orders} == {("version", 2)}


async def test_long_results_are_the_same_through_every_entry(system) -> None:
    # An entry reads long texts from a store near it. A store that is frozen or lacks the newest
    # texts must neither withhold results from a trainer nor change their order.
    for engine in system.engines:
        engine.events = 400
        engine.event_s = 0.001
    await system.submit("long", job(8))
    read = await system.wait_all_results("long", 8)
    assert sum(len(one["output"]) for one in read["results"]) > INLINE_BYTES
    assert await system.results("long", entry=2) == read

    leader = system.leaders("jobs")[-1]
    for store in {"store-1", "store-2", "store-3"} - {leader}:
        process = system.process_by_name[store]
        process.freeze()
        for entry in (1, 2):
            assert await system.results("long", entry) == read
        process.thaw()


async def test_a_withdrawn_key_and_a_moved_route_are_in_force_once_answered(system) -> None:
    # Guards against an entry that still accepts a withdrawn key, or serves a removed route, after
    # the operator's call was answered.
    changed = configuration(2)
    changed["tenants"] = [{"name": "forge", "api_keys": ["k2"]}]
    changed["routes"] = changed["routes"][1:]
    assert (await system.control("POST", "/v1/Config.Replace", changed))[0] == 200

    for entry in (1, 2):
        assert (await system.call("GET", "/v1/lots/x", "x", None, entry, KEY))[0] == 401
        assert (await system.call("POST", f"{LOOKUP}7", "x", None, entry, "k2"))[0] == 404
    assert await system.put(1) == 200
    assert json.loads((await system.control("GET", "/v1/Config.Read"))[1])["version"] == 2
    assert (await system.control("POST", "/v1/Config.Replace", b'{"version": 3'))[0] == 400


async def test_an_endpoint_that_leaves_gets_no_new_work(system) -> None:
    # An engine announces that it is draining and the announcement is acknowledged. A lookup that an
    # entry sends to it later would be lost when the engine stops.
    other = await system.add_engine("archive")

    async def used() -> bool:
        # Concurrent calls, because single calls would all use the endpoint of an idle connection.
        calls = (system.call("POST", f"{LOOKUP}7", f"x{number}") for number in range(12))
        await asyncio.gather(*calls)
        return bool(other.runs)

    await wait_until(used, "the second archive to be used")
    other.state = "draining"

    await wait_until(
        lambda: "draining" in other.acknowledged_states, "the drain to be acknowledged"
    )

    async def unused() -> bool:
        before = len(other.runs)
        for number in range(20):
            await system.call("POST", f"{LOOKUP}7", f"y{number}", entry=1 + number % 2)
        return len(other.runs) == before

    await wait_until(unused, "the second archive to receive no more requests")
    for number in range(12):
        assert (await system.call("POST", f"{LOOKUP}7", f"z{number}"))[0] == 200
    assert not [run for run in other.runs if run.startswith("z")]


async def test_bodies_that_nest_deeply_are_refused(system) -> None:
    # A configuration or job that nests too deeply to be decoded must be refused with 400, so that
    # an operator or trainer does not resend it; the same holds for an engine's heartbeat.
    nested = b'{"unknown":' + b"[" * 5_000 + b"]" * 5_000 + b"}"

    control = f"http://{system.seeds[0]}"
    assert (await request("POST", f"{control}/v1/Config.Replace", nested))[0] == 400
    assert (await request("POST", f"{control}/v1/version-put", nested))[0] == 400
    path = f"{control}/v1/Instances.Heartbeat/i-9"
    assert (await request("POST", path, nested))[0] == 400
    entry = system.entry_url(1)
    answer = await request("POST", f"{entry}{SCORE}lot9", nested, headers_of("lot9"))
    assert answer[0] == 400


async def put_with_two_accounts(system, version: int, public: bool) -> None:
    """Replace the configuration by one with two accounts, whose routes need a key or not."""
    changed = configuration(version)
    tenants = [*changed["tenants"], {"name": "foundry", "api_keys": ["k9"]}]
    routes = [{**route, "public": public} for route in changed["routes"]]
    assert await system.put(version, routes=routes, tenants=tenants) == 200


def accounts_of_items(system) -> list[str | None]:
    """Return the accounts that the engines were told for the items that they ran."""
    return [
        headers.get("tenant")
        for engine in system.engines
        if engine.models
        for headers in engine.request_headers
    ]


async def job_status(system, name: str, key: str | None, entry: int = 1) -> int:
    """Return the status of a read of a job's results."""
    path = f"/v1/lots/{name}?after=0"
    headers = headers_of("x", key or "")
    if key is None:
        del headers["Authorization"]
    return (await request("GET", system.entry_url(entry) + path, b"", headers))[0]


async def test_a_job_of_a_public_route_belongs_to_the_account_of_its_key(system) -> None:
    # The route of the jobs was made public. Jobs that were submitted with a key were stored for
    # nobody: every read with the key was answered 404, and engines were told no account.
    await put_with_two_accounts(system, 2, public=True)
    await system.submit("own", job(4, prefix="o"))

    read = await system.wait_all_results("own", 4, entry=2)
    assert {result["state"] for result in read["results"]} == {"completed"}
    assert accounts_of_items(system) == ["forge"] * 4
    for entry in (1, 2):
        assert await job_status(system, "own", "k9", entry) == 404
        assert await job_status(system, "own", None, entry) == 404
        assert await job_status(system, "own", "unknown", entry) == 401
    assert (await system.call("POST", f"{LOOKUP}1", "x", key="unknown"))[0] == 401

    await put_with_two_accounts(system, 3, public=False)
    assert await job_status(system, "own", KEY) == 200
    assert await job_status(system, "own", None) == 401
    assert (await system.call("DELETE", "/v1/lots/own", "x", key="k9"))[0] == 404
    assert (await system.call("DELETE", "/v1/lots/own", "x"))[0] == 200


async def test_a_job_without_a_key_is_read_without_a_key(system) -> None:
    # A caller without a key could submit a job on a public route, and then read nothing of it.
    await put_with_two_accounts(system, 2, public=True)
    headers = headers_of("open")
    del headers["Authorization"]
    url = f"{system.entry_url(1)}{SCORE}open"
    assert (await request("POST", url, json.dumps(job(2)).encode(), headers))[0] == 202

    async def listed() -> bool:
        body = (await request("GET", f"{system.entry_url(2)}/v1/lots/open", b"", headers))[1]
        return len(json.loads(body).get("results", ())) == 2

    await wait_until(listed, "the results")
    assert await job_status(system, "open", KEY) == 404
    assert accounts_of_items(system) == [None] * 2


async def test_a_lookup_on_a_public_route_runs_for_the_account_of_its_key(system) -> None:
    # The endpoint was told no account, and the request was missing from the account's usage.
    await put_with_two_accounts(system, 2, public=True)

    for key in (KEY, "k9"):
        assert (await system.call("POST", f"{LOOKUP}1", f"x{key}", key=key))[0] == 200

    seen = [headers.get("tenant") for headers in system.engines[0].request_headers][-2:]
    assert seen == ["forge", "foundry"]
