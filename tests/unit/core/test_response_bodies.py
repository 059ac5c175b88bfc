"""Answers whose bytes have no end, and the limits of those that have one."""

from __future__ import annotations

import ast
import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from unit.core.test_http_sessions import _calls

from fakes.endless_endpoint import BLOCK, endless
from fakes.scripted_endpoint import scripted
from ibisspring_core.http_sessions import open_session
from ibisspring_core.response_bodies import BodyTooLargeError, ResponseMemory, read_body

LIMIT = 256 * 1024
# What lies in the buffers of both sockets and of the HTTP client when a connection is closed.
BUFFERED = 16 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
WITHOUT_END = {
    "body without a length": (HEAD + b"\r\n", BLOCK),
    "chunks": (CHUNKED, CHUNK),
    "length of an exabyte": (HEAD + b"Content-Length: 1000000000000000000\r\n\r\n", BLOCK),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header": (HEAD + b"X-Long: ", BLOCK),
    "headers": (HEAD, b"X-Many: header\r\n" * 4096),
    "chunk size": (CHUNKED, b"0" * 65536),
    "chunk extension": (CHUNKED + b"5;x=", BLOCK),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "trailers": (CHUNKED + b"0\r\n", b"X-Many: trailer\r\n" * 4096),
}


@pytest.mark.parametrize("kind", WITHOUT_END)
async def test_answer_without_an_end_is_an_error_after_its_limit(kind) -> None:
    async with endless(*WITHOUT_END[kind]) as endpoint:
        async with open_session(aiohttp.TCPConnector()) as session:
            with pytest.raises(aiohttp.ClientError):
                async with asyncio.timeout(10.0):
                    async with session.get(f"http://{endpoint.address}/") as response:
                        await read_body(response, LIMIT)
        await asyncio.wait_for(endpoint.closed.wait(), 5.0)

    assert endpoint.sent <= LIMIT + BUFFERED


@pytest.mark.parametrize("size", [0, 1, LIMIT - 1, LIMIT])
async def test_whole_answer_up_to_the_limit_is_read(size) -> None:
    answer = HEAD + f"Content-Length: {size}\r\n\r\n".encode() + b"x" * size

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, open_session(aiohttp.TCPConnector()) as session:
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            assert await read_body(response, LIMIT) == b"x" * size


async def test_answer_to_head_states_a_length_above_the_limit_and_has_no_body() -> None:
    head = HEAD + f"Content-Length: {2 * LIMIT}\r\n\r\n".encode()
    async with scripted(lambda request: [head]) as endpoint:
        async with open_session(aiohttp.TCPConnector()) as session:
            async with session.head(f"http://{endpoint.address}/") as response:
                assert await read_body(response, LIMIT) == b""


async def test_the_largest_body_is_dropped_when_all_together_exceed_their_limit() -> None:
    # A body without an end must not take the memory in which small answers are read.
    memory = ResponseMemory(LIMIT)
    large, small = (SimpleNamespace(close=lambda: None) for _ in range(2))
    with memory.reading(large, 10 * LIMIT) as first, memory.reading(small, LIMIT) as second:
        first.grow(LIMIT - 1)
        second.grow(10)

        second.check()
        with pytest.raises(BodyTooLargeError):
            first.check()

    with memory.reading(small, LIMIT) as later:
        later.grow(LIMIT)


async def test_a_body_that_is_dropped_while_it_waits_is_no_complete_one() -> None:
    # A body without a length ends with its connection, also if it is closed on this side.
    memory = ResponseMemory(LIMIT)
    async with endless(HEAD + b"\r\n" + b"x" * 100, b"") as endpoint:
        async with open_session(aiohttp.TCPConnector()) as session:
            async with session.get(f"http://{endpoint.address}/") as response:
                reading = asyncio.create_task(read_body(response, LIMIT, memory))
                await asyncio.sleep(0.1)
                (dropped,) = memory._readings
                dropped.drop()
                with pytest.raises(aiohttp.ClientError):
                    await asyncio.wait_for(reading, 5.0)


def test_bodies_of_responses_are_read_in_one_module() -> None:
    # A read elsewhere has no limit.
    reads = ("read", "text", "json", "iter_any", "iter_chunked", "iter_chunks", "readany")
    found = []
    for place, call, called in _calls():
        source, _, method = called.rpartition(".")
        if method in reads and source.split(".")[-1] in ("response", "content"):
            found.append(place.partition(":")[0].rpartition("/")[2])
        assert isinstance(call, ast.Call)

    # An item's stream is read by events, and counted in the same way.
    assert sorted(found) == ["item_run.py", "response_bodies.py"]
