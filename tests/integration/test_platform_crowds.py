"""
A complete platform whose entry is used by crowds of clients that don't behave.

Each test checks that the entry's process lives, stays within the memory and the descriptors of its
settings, answers an ordinary request while the crowd is connected, and serves a request of the
largest legal size after it has left.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import os
from collections.abc import AsyncIterator

import pytest

from integration.crowds import (
    CROWD_S,
    KIB,
    MIB,
    RECEIVE_BUFFER_BYTES,
    Client,
    Crowd,
    chunk,
    head,
    peak_bytes,
)
from integration.platform_system import LOOKUP, PlatformSystem, job, platform_system
from integration.processes import http_answers, wait_until

pytestmark = pytest.mark.crowd

MEMORY_MB = 90
MAX_FDS = 320
# Descriptors that are kept for files.
RESERVED_FDS = 200
LIMITS = {
    "max_header_bytes": 8 * KIB,
    "max_body_bytes": 2 * MIB,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 4000,
}
PROCESS_LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
# Largest body of a lookup, and one whose client stops just short of its end.
LARGEST = bytes(LIMITS["max_body_bytes"])
ORDINARY_BODY = bytes(200)
ITEM_BODY = bytes(1400 * KIB)


@pytest.fixture
async def system(tmp_path):
    names = ("entry-1", "store-1", "store-2", "store-3", "control-1")
    limits = dict.fromkeys(names, PROCESS_LIMITS)
    async with platform_system(tmp_path, entries=1, limits_by_name=limits) as system:
        assert await system.put(2, limits=LIMITS) == 200
        yield system


def url_of(system: PlatformSystem) -> str:
    return system.entry_url(1)


async def wait_answered(system: PlatformSystem, name: str, body: bytes) -> None:
    """Wait until a lookup is answered 200."""

    async def answered() -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(CROWD_S):
                client = await Client.connect(url_of(system))
                try:
                    length = f"Content-Length: {len(body)}"
                    await client.send(head("POST", f"{LOOKUP}{name}", name, length), body)
                    return await client.status() == 200
                finally:
                    client.writer.transport.abort()
        return False

    await wait_until(answered, f"the lookup {name} to be answered")


@contextlib.asynccontextmanager
async def checked_crowd(
    system: PlatformSystem, daemon: str = "entry-1", url: str = ""
) -> AsyncIterator[Crowd]:
    """
    Yield a crowd, and check the daemons when it has misbehaved.

    :param daemon: name of the daemon that the crowd uses.
    :param url: base URL of the crowd's requests; empty for that of the entry's callers.
    """
    used = system.process_by_name[daemon]
    async with Crowd.of(url or url_of(system), used.popen.pid) as crowd:
        yield crowd
        await wait_answered(system, "ordinary", ORDINARY_BODY)
        if url:
            await wait_until(lambda: http_answers(f"{url}/v1/Config.Read"), f"{daemon} to answer")
    await wait_answered(system, "largest", LARGEST)
    for name, process in system.process_by_name.items():
        assert process.alive(), name
        if "memory_mb" in system.boot_by_name[name].get("limits", {}):
            unread = crowd.unread_bytes if process is used else 0
            assert peak_bytes(process.popen.pid) + unread <= MEMORY_MB * MIB, name
    assert crowd.sockets <= MAX_FDS - RESERVED_FDS


async def test_bodies_that_come_whole_at_once(system) -> None:
    async def submit(client: Client, number: int) -> None:
        length = f"Content-Length: {len(LARGEST)}"
        await client.send(head("POST", f"{LOOKUP}{number}", f"w{number}", length), LARGEST)
        await client.status()

    async with checked_crowd(system) as crowd:
        await crowd.add(30, submit)


@pytest.mark.parametrize("key", ["k1", "unknown"])
async def test_bodies_that_stop_short_of_their_end(system, key) -> None:
    async def stop_short(client: Client, number: int) -> None:
        length = f"Content-Length: {len(LARGEST)}"
        start = head("POST", f"{LOOKUP}{number}", f"s{number}", length, key=key)
        await client.send(start, LARGEST[:-1])
        await client.status()

    async with checked_crowd(system) as crowd:
        await crowd.add(30, stop_short)


@pytest.mark.parametrize("size", [2 * MIB, 8 * MIB])
async def test_bodies_in_chunks_that_do_not_end(system, size) -> None:
    async def send_chunks(client: Client, number: int) -> None:
        start = head("POST", f"{LOOKUP}{number}", f"c{number}", "Transfer-Encoding: chunked")
        await client.send(start, *[chunk(bytes(64 * KIB))] * (size // (64 * KIB)))
        await client.status()

    async with checked_crowd(system) as crowd:
        await crowd.add(30, send_chunks)


async def test_bodies_in_chunks_of_one_byte(system) -> None:
    # Each chunk took a step of the event loop's time, whatever its size.
    pieces = chunk(b"x") * (16 * KIB)

    async def send_pieces(client: Client, number: int) -> None:
        start = head("POST", f"{LOOKUP}{number}", f"p{number}", "Transfer-Encoding: chunked")
        await client.send(start)
        while True:
            await client.send(pieces)

    async with checked_crowd(system) as crowd:
        await crowd.add(8, send_pieces)


async def test_long_answers_that_are_read_slowly(system) -> None:
    system.engines[0].answer_bytes = 4 * MIB

    # Their requests come one after the other, since the entry limits what it reads from endpoints.
    turn = asyncio.Lock()

    async def read_slowly(client: Client, number: int) -> None:
        async with turn:
            await client.send(head("GET", f"{LOOKUP}{number}", f"r{number}"))
            await client.status()
        await client.read_slowly()

    async with checked_crowd(system) as crowd:
        await crowd.add(30, read_slowly, receive_bytes=RECEIVE_BUFFER_BYTES)
        system.engines[0].answer_bytes = None


async def test_long_answers_that_come_at_once(system) -> None:
    system.engines[0].answer_bytes = 4 * MIB

    async def read_slowly(client: Client, number: int) -> None:
        await client.send(head("GET", f"{LOOKUP}{number}", f"r{number}"))
        await client.status()
        await client.read_slowly()

    async with checked_crowd(system) as crowd:
        await crowd.add(30, read_slowly, receive_bytes=RECEIVE_BUFFER_BYTES)
        system.engines[0].answer_bytes = None


@pytest.mark.parametrize("body", [b"", bytes(KIB)], ids=["no_body", "body"])
@pytest.mark.parametrize("answer_bytes", [None, 256 * KIB], ids=["short_answer", "long_answer"])
async def test_requests_sent_ahead_whose_answers_are_not_read(system, body, answer_bytes) -> None:
    async def send_ahead(client: Client, number: int) -> None:
        length = f"Content-Length: {len(body)}"
        one = head("POST", f"{LOOKUP}{number}", f"a{number}", length) + body
        many = one * (64 * KIB // len(one))
        while True:
            await client.send(many)

    system.engines[0].answer_bytes = answer_bytes
    async with checked_crowd(system) as crowd:
        await crowd.add(4, send_ahead, receive_bytes=RECEIVE_BUFFER_BYTES)


@pytest.mark.parametrize("sent", [b"", b"POST /lookup/x HTTP/1.1\r\nHost: a"], ids=["none", "head"])
async def test_connections_without_a_complete_request(system, sent) -> None:
    async def stay_silent(client: Client, number: int) -> None:
        await client.send(sent)
        await client.reader.read(1)

    async with checked_crowd(system) as crowd:
        await crowd.add(MAX_FDS, stay_silent)


async def test_bodies_of_items_that_are_read_slowly(system) -> None:
    for engine in system.engines:
        engine.event_s = 30.0
    stored = job(2)
    stored["items"][0]["body"] = base64.b64encode(ITEM_BODY).decode()
    await system.submit("stored", stored)

    async def read_slowly(client: Client, number: int) -> None:
        await client.send(head("GET", "/v1/items/stored?id=i0", f"i{number}"))
        await client.status()
        await client.read_slowly()

    async with checked_crowd(system) as crowd:
        await crowd.add(60, read_slowly, receive_bytes=RECEIVE_BUFFER_BYTES)


async def test_long_results_that_are_read_slowly(system) -> None:
    for engine in system.engines:
        engine.events, engine.event_filler = 8, "x" * (100 * KIB)
    await system.submit("long", job(2))
    await system.wait_all_results("long", 1)

    async def read_slowly(client: Client, number: int) -> None:
        await client.send(head("GET", "/v1/lots/long?after=0", f"l{number}"))
        await client.status()
        await client.read_slowly()

    async with checked_crowd(system) as crowd:
        await crowd.add(60, read_slowly, receive_bytes=RECEIVE_BUFFER_BYTES)


@pytest.mark.parametrize("path", ["/v1/Config.Replace", "/v1/Instances.Heartbeat/i-9"])
async def test_bodies_for_a_control_daemon_that_stop_short(system, path) -> None:
    async def stop_short(client: Client, number: int) -> None:
        length = f"Content-Length: {len(LARGEST)}"
        await client.send(head("POST", path, f"o{number}", length), LARGEST[:-1])
        await client.status()

    async with checked_crowd(system, "control-1", f"http://{system.seeds[0]}") as crowd:
        await crowd.add(30, stop_short)


async def test_silent_connections_to_a_control_daemon(system) -> None:
    async def stay_silent(client: Client, number: int) -> None:
        await client.reader.read(1)

    async with checked_crowd(system, "control-1", f"http://{system.seeds[0]}") as crowd:
        await crowd.add(MAX_FDS, stay_silent)


@contextlib.asynccontextmanager
async def calm_system(tmp_path) -> AsyncIterator[PlatformSystem]:
    """Yield a system of the platform's usual sizes, and check its memory at the end."""
    limits = {"entry-1": {"memory_mb": 150, "max_fds": 4100}}
    limits |= dict.fromkeys(("store-1", "store-2", "store-3"), {"memory_mb": 170, "max_fds": 8200})
    async with platform_system(tmp_path, entries=1, limits_by_name=limits) as system:
        yield system
        for name, limit in limits.items():
            pid = system.process_by_name[name].popen.pid
            assert peak_bytes(pid) <= limit["memory_mb"] * MIB, name


async def test_one_body_of_the_default_limit_is_served(tmp_path) -> None:
    async with calm_system(tmp_path) as system:
        await wait_answered(system, "largest", bytes(32 * MIB))


async def test_one_job_of_the_default_limit_is_accepted(tmp_path) -> None:
    large = job(2)
    large["items"][0]["body"] = base64.b64encode(os.urandom(23 * MIB)).decode()
    async with calm_system(tmp_path) as system:
        await system.submit("large", large)


async def test_one_body_of_an_item_of_the_default_limit_is_read(tmp_path) -> None:
    # The item is run by the same entry meanwhile, which holds its body for the engine.
    large = job(2)
    data = os.urandom(23 * MIB)
    large["items"][0]["body"] = base64.b64encode(data).decode()
    async with calm_system(tmp_path) as system:
        for engine in system.engines:
            engine.event_s = 30.0
        await system.submit("large", large)

        assert await system.call("GET", "/v1/items/large?id=i0", "x") == (200, data)
