"""A request that ends every endpoint that runs it is stopped, and other requests are served."""

from __future__ import annotations

import asyncio
import json
import sys
import time

import pytest

from integration.platform_system import (
    LOOKUP,
    STATUS_PROGRAM,
    headers_of,
    platform_system,
    request,
)
from integration.processes import wait_until

CRASH_BODY = b"ends its endpoint"
CRASH_PATH = f"{LOOKUP}marked"
# Ends of endpoints that are needed to know the request, and the sends that may follow in all.
ENDS = 3
MAX_LATER_SENDS = 3
# Seconds after the third end until all entries know the request.
CONTACT_S = 3.0
CALLERS = 2
CALLS_S = 9.0


@pytest.fixture(params=["", "hedging"])
async def system(request, tmp_path, monkeypatch):
    monkeypatch.setenv("IBISSPRING_LOAD_POLICY", request.param)
    async with platform_system(tmp_path) as system:
        for _ in range(2):
            await system.add_engine("archive")
        for engine in archive_engines(system):
            engine.crash_body = CRASH_BODY
        yield system


def archive_engines(system) -> list:
    return [engine for engine in system.engines if engine.service == "archive"]


async def send_marked(system, attempt: str, entry: int) -> int:
    """Send the marked request as a caller's attempt of its own; return the HTTP status."""
    url = system.entry_url(entry) + CRASH_PATH
    status, _ = await request("POST", url, CRASH_BODY, headers_of(attempt))
    return status


async def repeat_marked(system, caller: int, seconds: float) -> list[int]:
    """Send the marked request again and again, to one entry after the other."""
    statuses = []
    end_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end_at:
        attempt = f"m{caller}-{len(statuses)}"
        entry = (caller + len(statuses)) % 2 + 1
        statuses.append(await send_marked(system, attempt, entry))
        await asyncio.sleep(0.2)
    return statuses


async def test_request_that_ends_its_endpoints_is_not_sent_on(system) -> None:
    # Each entry began to count at zero with each attempt of a caller: a request that ends its
    # endpoint took all endpoints of a service down again as soon as they were back.
    callers = (repeat_marked(system, caller, CALLS_S) for caller in range(CALLERS))
    await asyncio.gather(*callers)

    engines = archive_engines(system)
    ends = sorted(at for engine in engines for at in engine.ended_at)
    assert len(ends) >= 2
    known_at = ends[ENDS - 1] + CONTACT_S if len(ends) >= ENDS else float("inf")
    sends = [at for engine in engines for at in engine.crash_calls_at if at > known_at]
    assert len(sends) <= MAX_LATER_SENDS, f"{len(ends)} ends, {len(sends)} later sends"


async def quarantine_marked(system) -> None:
    """Send the marked request until it is in quarantine."""

    async def quarantined() -> bool:
        await send_marked(system, f"q{time.monotonic()}", 1)
        return "quarantined" in await standings(system)

    await wait_until(quarantined, "the marked request to be in quarantine", bound_s=30.0)


async def standings(system) -> list[str]:
    _, listed = await suspects(system, "list")
    return [one["standing"] for one in listed["suspects"]]


async def suspects(system, *arguments: str) -> tuple[int, dict]:
    """Run `ibisspring suspects` and return its exit code and JSON output."""
    options = ["--seeds", ",".join(system.peer_seeds()), "--json"]
    program = ["-c", STATUS_PROGRAM, "--timeout", "5", "suspects", *arguments, *options]
    child = await asyncio.create_subprocess_exec(
        sys.executable, *program, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    return child.returncode, json.loads(output or b"{}")


async def wait_all_served(system, name: str) -> None:
    """Wait until each entry answers the lookup `name`, whose body is that of all its copies."""
    for entry in (1, 2):

        async def served(entry: int = entry) -> bool:
            attempt = f"{name}-{entry}-{time.monotonic()}"
            status, _ = await system.call("POST", f"{LOOKUP}{name}", attempt, None, entry)
            return status == 200

        await wait_until(served, f"entry {entry} to serve {name}", bound_s=30.0)


async def test_quarantine_survives_a_restart_of_all_daemons(system) -> None:
    # If the ends were known to the entries alone, their restart would allow three more.
    await quarantine_marked(system)
    for process in system.process_by_name.values():
        process.kill()
    sent_before = sum(len(engine.crash_calls_at) for engine in archive_engines(system))
    for name in system.process_by_name:
        system.restart(name)
    await wait_all_served(system, "7")

    statuses = await repeat_marked(system, 0, 3.0)

    assert set(statuses) == {503}
    assert sum(len(engine.crash_calls_at) for engine in archive_engines(system)) == sent_before


async def test_crash_of_a_whole_service_quarantines_no_lookup(system) -> None:
    # Copies of one popular lookup run at all endpoints of a service when these crash for another
    # reason. After three ends the lookup would be refused for good.
    engines = archive_engines(system)
    for engine in engines:
        engine.answer_s = 0.5
    copies = [
        system.call("POST", f"{LOOKUP}popular", f"p{number}", None, number % 2 + 1)
        for number in range(12)
    ]
    running = [asyncio.create_task(copy) for copy in copies]
    await asyncio.sleep(0.25)
    crashes = [asyncio.create_task(engine.crash()) for engine in engines]
    await asyncio.gather(*running, *crashes)
    for engine in engines:
        engine.answer_s = 0.0

    await wait_all_served(system, "popular")

    logs = "".join(process.log.read_text() for process in system.process_by_name.values())
    assert '"standing":"on_trial"' in logs.replace(" ", "")
    assert await standings(system) == []


async def test_operator_lists_and_releases_a_request(system) -> None:
    await quarantine_marked(system)
    _, listed = await suspects(system, "list")
    (suspect,) = listed["suspects"]
    assert (suspect["client_account"], suspect["target"]) == ("forge", CRASH_PATH)
    assert len(suspect["ends"]) >= ENDS
    assert (await suspects(system, "release", "0"))[0] == 2

    for engine in archive_engines(system):
        engine.crash_body = b""
    assert (await suspects(system, "release", suspect["identity"]))[0] == 0

    async def served() -> bool:
        return await send_marked(system, f"r{time.monotonic()}", 2) == 200

    await wait_until(served, "the released request to be served")
    assert await standings(system) == []
