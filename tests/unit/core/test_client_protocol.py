"""Connections of clients, with requests that are written byte by byte."""

from __future__ import annotations

import asyncio
import functools
from contextlib import asynccontextmanager

import pytest
import uvicorn

from ibisspring_core.client_connections import ClientConnections
from ibisspring_core.client_protocol import AHEAD_BYTES, ClientProtocol
from ibisspring_core.embedded_server import EmbeddedServer
from ibisspring_core.errors import Refusal
from ibisspring_core.request_bodies import read_body, with_whole_bodies
from ibisspring_decisions.client_load import ClientCapacity, ClientLimits, Excess
from integration.processes import free_port, wait_until

MAX_BODY_BYTES = 100_000
LIMITS = ClientLimits(max_header_bytes=2000, max_body_bytes=MAX_BODY_BYTES)


class Server:
    """A server that answers each request with its method, target and body."""

    def __init__(self, budget_bytes: int) -> None:
        self.clients = ClientConnections(ClientCapacity(budget_bytes))
        self.clients.limits = LIMITS
        self.port = free_port()
        self.started: list[str] = []
        self.left: list[str] = []
        self.go_on = asyncio.Event()
        self.go_on.set()

    async def application(self, scope, receive, send) -> None:
        target = scope["raw_path"].decode()
        self.started.append(target)
        body = await read_body(scope, receive, MAX_BODY_BYTES)
        if body is None:
            self.left.append(target)
            return
        status = 200
        if isinstance(body, Refusal):
            status, body = (503 if body.retry_after_s else 413), b""
        await self.go_on.wait()
        answer = f"{scope['method']} {target} ".encode() + body
        headers = [(b"content-length", str(len(answer)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": answer})


@asynccontextmanager
async def serving(budget_bytes: int = 10_000_000):
    server = Server(budget_bytes)
    config = uvicorn.Config(
        server.application,
        host="127.0.0.1",
        port=server.port,
        http=functools.partial(ClientProtocol, server.clients),
        ws="none",
        interface="asgi3",
        lifespan="off",
        log_config=None,
        access_log=False,
        date_header=False,
        server_header=False,
    )
    embedded = EmbeddedServer(config)
    task = asyncio.create_task(embedded.serve())
    await embedded.listening.wait()
    try:
        yield server
    finally:
        server.go_on.set()
        embedded.should_exit = embedded.force_exit = True
        await task


def connections_of(server: Server) -> list[ClientProtocol]:
    """Return a list that gets each new connection."""
    connections: list[ClientProtocol] = []
    add = server.clients.add

    def note(connection: ClientProtocol) -> None:
        connections.append(connection)
        add(connection)

    server.clients.add = note
    return connections


async def answers_to(server: Server, data: bytes, count: int, step: int = 0) -> list[bytes]:
    """Send bytes, `step` at a time, and return the statuses and bodies of the answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        for start in range(0, len(data), step or len(data)):
            writer.write(data[start : start + (step or len(data))])
            await writer.drain()
            if step:
                await asyncio.sleep(0)
        return [await read_answer(reader) for _ in range(count)]
    finally:
        writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    return head.split(b" ")[1] + b" " + await reader.readexactly(int(fields[b"content-length"]))


def request(target: str, body: bytes = b"", method: str = "POST") -> bytes:
    head = f"{method} {target} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def chunked(target: str, *parts: bytes) -> bytes:
    head = f"POST {target} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head.encode() + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("step", [0, 1, 7])
async def test_requests_sent_ahead_are_answered_in_order_with_their_own_bodies(step) -> None:
    data = (
        request("/1", b"first")
        + chunked("/2?q=1", b"sec", b"ond")
        + b"\r\n"
        + request("/3", method="GET")
        + chunked("/4%20", b"fourth")
        + request("/5", b"GET /x HTTP/1.1\r\n\r\n")
    )
    async with serving() as server:
        answers = await answers_to(server, data, 5, step)

    assert answers == [
        b"200 POST /1 first",
        b"200 POST /2 second",
        b"200 GET /3 ",
        b"200 POST /4%20 fourth",
        b"200 POST /5 GET /x HTTP/1.1\r\n\r\n",
    ]


async def test_a_request_sent_ahead_starts_after_the_answer_to_the_one_before() -> None:
    async with serving() as server:
        server.go_on.clear()
        answers = asyncio.create_task(
            answers_to(server, request("/1") + request("/2") + chunked("/3", b"x"), 3)
        )
        await wait_until(lambda: server.started, "the first request")
        assert server.started == ["/1"]
        server.go_on.set()
        await answers

    assert server.started == ["/1", "/2", "/3"]


async def test_a_client_that_leaves_is_noticed_beside_requests_sent_ahead() -> None:
    async with serving() as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request("/1", bytes(1000))[:-1])
        await wait_until(lambda: server.started, "the request")
        writer.transport.abort()
        await wait_until(lambda: server.left, "the client's leaving to be noticed")


async def test_a_body_in_small_chunks_arrives_whole() -> None:
    body = bytes(range(256)) * 40
    async with serving() as server:
        answers = await answers_to(server, chunked("/", *(bytes([byte]) for byte in body)), 1)

    assert answers == [b"200 POST / " + body]


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100001\r\n\r\n" + bytes(100),
        chunked("/", bytes(MAX_BODY_BYTES), b"x"),
    ],
    ids=["stated", "chunked"],
)
async def test_a_body_over_the_limit_is_refused(data) -> None:
    async with serving() as server:
        answers = await answers_to(server, data, 1)

    assert answers == [b"413 POST / "]


async def test_a_body_without_room_is_refused_and_the_next_request_is_served() -> None:
    async with serving(budget_bytes=100_000) as server:
        first = asyncio.create_task(answers_to(server, request("/1", bytes(90_000))[:-1], 1))
        await wait_until(lambda: server.started, "the first request")
        answers = await answers_to(server, request("/2", bytes(90_000)) + request("/3"), 2)
        first.cancel()

    assert answers == [b"503 POST /2 ", b"200 POST /3 "]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 3000, b"431"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 3000 + b"\r\n\r\n", b"431"),
        (b"no request\r\n\r\n", b"400"),
        (request("/")[:-2] + b"content-length: 3\r\n\r\nabc", b"400"),
        (chunked("/", b"abc").replace(b"3\r\nabc", b"z\r\nabc"), b"400"),
    ],
)
async def test_bytes_that_are_no_request_are_refused(data, status) -> None:
    async with serving() as server:
        answers = await answers_to(server, data, 1)

    assert answers[0].startswith(status)


@pytest.mark.parametrize(
    ("data", "excess", "status"),
    [
        (b"GET / HTTP/1.1\r\n", Excess.SLOW_HEAD, b"408"),
        (request("/", bytes(10))[:-1], Excess.SLOW_BODY, b"408"),
        (request("/", bytes(10))[:-1], Excess.SHORT_OF_MEMORY, b"503"),
    ],
)
async def test_a_client_that_is_disconnected_is_told_why(data, excess, status) -> None:
    async with serving() as server:
        connections = connections_of(server)
        answers = asyncio.create_task(answers_to(server, data, 1))
        await wait_until(lambda: connections, "the connection")
        protocol = connections[0]
        is_head = excess is Excess.SLOW_HEAD
        await wait_until(
            lambda: protocol._searched if is_head else server.started, "the bytes to be parsed"
        )
        protocol.end(excess)

        assert (await answers)[0].startswith(status)


async def test_a_client_whose_refused_body_stops_gets_no_second_answer() -> None:
    async with serving(budget_bytes=100_000) as server:
        connections = connections_of(server)
        first = asyncio.create_task(answers_to(server, request("/1", bytes(90_000))[:-1], 1))
        await wait_until(lambda: server.started, "the first request")
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request("/2", bytes(90_000))[:-1])
        assert await read_answer(reader) == b"503 POST /2 "
        answers = []
        connections[1]._refuse = lambda *answer: answers.append(answer)
        connections[1].end(Excess.SLOW_BODY)
        first.cancel()

    assert answers == []


async def test_what_is_sent_ahead_is_not_read_without_end() -> None:
    async with serving() as server:
        connections = connections_of(server)
        server.go_on.clear()
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request("/") * 100_000)
        await wait_until(lambda: connections and connections[0].flow.read_paused, "the pause")
        assert len(connections[0]._unparsed) <= AHEAD_BYTES + 64 * 1024
        assert server.started == ["/"]
        writer.transport.abort()


async def test_an_application_gets_whole_bodies() -> None:
    events = iter(
        [
            {"type": "http.request", "body": b"a", "more_body": True},
            {"type": "http.request", "body": b"b", "more_body": False},
        ]
    )
    received = []

    async def receive():
        return next(events)

    async def application(scope, receive, send) -> None:
        received.append(await receive())

    await with_whole_bodies(application, 10)({"headers": []}, receive, None)

    assert received == [{"type": "http.request", "body": b"ab", "more_body": False}]
