"""A complete platform that is given batch jobs of nearly the largest body that it accepts."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import time

import pytest

from integration.platform_system import (
    LOOKUP,
    configuration,
    headers_of,
    job,
    platform_system,
    request,
)
from integration.processes import wait_until

MIB = 1024 * 1024
# Limit within which the end of a job is acknowledged.
ACKNOWLEDGED_S = 4.0


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


def large_job(prefix: str, bodies: list[bytes]) -> dict:
    """Return a batch job whose items have the given bodies."""
    body = job(len(bodies), prefix=prefix)
    for item, data in zip(body["items"], bodies, strict=True):
        item["body"] = base64.b64encode(data).decode()
    return body


async def body_of(system, name: str, item: str, entry: int) -> tuple[int, bytes]:
    """Read the body of an item that has no result."""
    url = f"{system.entry_url(entry)}/v1/items/{name}?id={item}"
    return await request("GET", url, b"", headers_of("x"))


async def jobs_leader(system) -> str:
    """Wait for a leader of the jobs' log, and return its name."""
    return (await wait_until(lambda: system.leaders("jobs"), "a leader of the jobs"))[-1]


async def kill_a_follower(system) -> None:
    """Kill one store that does not lead the jobs' log."""
    leader = await jobs_leader(system)
    lost = next(name for name in system.process_by_name if name[:5] == "store" and name != leader)
    system.process_by_name[lost].kill()


@pytest.mark.parametrize("kind", ["random", "zeros", "one_body"])
async def test_a_job_of_many_megabytes_does_not_stop_the_log_while_a_store_is_lost(
    system, kind
) -> None:
    # One log entry held the whole job and exceeded what a message between stores may hold: no later
    # entry was committed, so that no job was accepted, ended or got results.
    for engine in system.engines:
        engine.event_s = 0.2
    bodies = {
        "random": [os.urandom(MIB // 2) for _ in range(40)],
        "zeros": [bytes(MIB // 2) for _ in range(40)],
        "one_body": [b"small", os.urandom(20 * MIB)],
    }[kind]
    await system.submit("step", job(16, prefix="s"))
    await kill_a_follower(system)

    await system.submit("large", large_job("l", bodies))

    asked_at = time.monotonic()
    await system.submit("small", job(2, prefix="m"), entry=2)

    async def ended() -> bool:
        return (await system.call("DELETE", "/v1/lots/step", "x"))[0] == 200

    await wait_until(ended, "the end of the step")
    assert time.monotonic() - asked_at < ACKNOWLEDGED_S
    read = await system.results("large", entry=2)
    assert read is not None and read["total"] == len(bodies)
    for number in (0, len(bodies) - 1):
        listed = {result["id"] for result in read["results"]}
        if f"l{number}" not in listed:
            assert await body_of(system, "large", f"l{number}", 2) == (200, bodies[number])
    await system.wait_all_results("small", 2)


async def test_large_jobs_that_come_at_once_are_each_stored_whole(system) -> None:
    # Chunks of several jobs alternate in the log, and a chunk of one must not end up in another.
    # Each is submitted at both entries, as by a caller that repeats its submission.
    jobs = {f"large{n}": large_job(f"l{n}-", [os.urandom(MIB) for _ in range(4)]) for n in range(3)}
    await asyncio.gather(
        *(system.submit(name, body, entry) for name, body in jobs.items() for entry in (1, 2))
    )

    for name, body in jobs.items():
        for item in body["items"]:
            status, data = await body_of(system, name, item["id"], 1)
            assert status == 404 or data == base64.b64decode(item["body"])
    for name in jobs:
        read = await system.wait_all_results(name, 4)
        assert {result["state"] for result in read["results"]} == {"completed"}


async def test_a_large_job_whose_leader_is_lost_amid_it_is_stored_whole_or_not_at_all(
    system,
) -> None:
    # A new leader has some chunks of a job in its log, but not the others.
    bodies = [os.urandom(MIB) for _ in range(12)]
    body = large_job("l", bodies)
    submitted = asyncio.create_task(system.submit("large", body))
    leader = await jobs_leader(system)

    def uploading() -> bool:
        return b'"jobs:uploading"' in system.process_by_name[leader].log.read_bytes()

    await wait_until(uploading, "the upload to begin")
    system.process_by_name[leader].kill()
    await submitted

    read = await system.results("large")
    assert read is not None and read["total"] == len(bodies)
    read = await system.wait_all_results("large", len(bodies), entry=2)
    assert len({result["id"] for result in read["results"]}) == len(bodies)


async def test_a_configuration_that_the_log_cannot_hold_is_refused_and_others_are_not(
    system,
) -> None:
    # A configuration of many megabytes would stop the directory's log, as a large job stopped that
    # of the jobs.
    routes = configuration(2)["routes"]
    prefixes = [f"/spare{number}/" for number in range(20_000)]
    more = [{**routes[0], "name": prefix, "path_prefix": prefix} for prefix in prefixes]

    assert await system.put(2, routes=routes + more) == 413
    assert await system.put(3) == 200
    assert (await system.call("GET", f"{LOOKUP}1", "x"))[0] == 200


async def results_one_by_one(system, name: str, total: int) -> list[dict]:
    """Read the results of a job, each from the position after those that were read."""
    results: list[dict] = []

    async def read_next() -> bool:
        path = f"/v1/lots/{name}?after={len(results)}"
        status, body = await system.call("GET", path, "x")
        if status == 200:
            results.extend(json.loads(body)["results"])
        return len(results) == total

    await wait_until(read_next, f"{total} results of {name}")
    return results


async def test_texts_of_many_megabytes_do_not_stop_the_log_while_a_store_is_lost(system) -> None:
    # An engine made a text of more than a message between stores may hold, in less time than
    # passes between two reports. The text was one log entry, behind which nothing was committed.
    for engine in system.engines:
        engine.events, engine.event_filler = 30, "x" * 700_000
    await kill_a_follower(system)

    await system.submit("long", job(2, prefix="l"))

    read = await results_one_by_one(system, "long", 2)
    for result in read:
        expected = [f"{result['id']}-{number}" + "x" * 700_000 for number in range(1, 31)]
        assert result["state"] == "completed"
        assert result["output"] == "\n".join(expected)
