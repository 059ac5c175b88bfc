"""A stand-in for an endpoint: heartbeats, reports, orders, calls and streams of events."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from record import Record
from wire import CUT, Message, call, encode, read_body, read_head, reset

HEARTBEAT_S = 1.2
KEEP_ALIVE_S = 30


@dataclass(frozen=True)
class Request:
    """
    A request that reached an endpoint.

    :param attempt: its `Attempt-Id`.
    """

    method: str
    path: str
    attempt: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


# Answers a request; returns whether the connection is kept.
Handler = Callable[["Endpoint", Request], Awaitable[bool]]


@dataclass
class Endpoint:
    """
    An endpoint of one service.

    :param controls: addresses of the control daemons.
    :param handler: answers the requests that the endpoint runs.
    :param models: weight version by model; empty for a plain service.
    """

    name: str
    service: str
    address: str
    data_centre: str
    controls: list[str]
    record: Record
    handler: Handler
    models: dict[str, int] = field(default_factory=dict)
    slots: int = 6
    state: str = "ready"

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._connections: dict[asyncio.StreamWriter, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """End at once: refuse new connections, reset the open ones and send nothing more."""
        self._heartbeats.cancel()
        self._server.close()
        for writer, task in list(self._connections.items()):
            reset(writer)
            task.cancel()
        await asyncio.sleep(0)

    async def _send_heartbeats(self) -> None:
        turn = 0
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.data_centre,
                    "version": "v1",
                    "slots": self.slots,
                    "state": self.state,
                    "cold_left_ms": 0,
                    "stage": "hybrid",
                    "models": self._models(),
                    "sequence": self.sequence,
                    "born": self.born,
                }
            ).encode()
            path = f"/v1/Instances.Heartbeat/{self.name}"
            for _ in self.controls:
                control = self.controls[turn % len(self.controls)]
                headers = {"Content-Type": "application/json"}
                answer = await call(control, "POST", path, headers, body, 1.0)
                if answer.status // 100 == 2:
                    break
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict]:
        return [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections[writer] = asyncio.current_task()
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            del self._connections[writer]
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await read_head(reader)
        body = await read_body(reader, head, until_end=False)
        method, path = head.start[0], head.start[1]
        expected = head.headers.get("expect-instance", self.name)
        if expected != self.name:
            return await self.answer(writer, 421, {"Instance-Id": self.name})
        if path == "/v1/report":
            return await self._report(writer)
        if path == "/v1/order":
            return await self._order(writer, head, body)
        if path == "/healthz":
            return await self.answer(writer, 200, {"Instance-Id": self.name})
        attempt = head.headers.get("attempt-id", "")
        if not attempt:
            return await self.answer(writer, 400, {"Not-Executed": "1"})
        model = head.headers.get("model", "")
        version = head.headers.get("expect-version")
        if version is not None and int(version) != self.models.get(model, 0):
            return await self.answer(writer, 421, {"Attempt-Id": attempt})
        self.record.ran(self.name, method, path, attempt, head.headers)
        request = Request(method, path, attempt, head.headers, body, writer)
        return await self.handler(self, request)

    async def _report(self, writer: asyncio.StreamWriter) -> bool:
        report = {"stage": "hybrid", "models": self._models(), "busy": False}
        report |= {"sequence": self.orders, "queued": 0, "running": 0}
        return await self.answer(writer, 200, {}, json.dumps(report).encode())

    async def _order(self, writer: asyncio.StreamWriter, head: Message, body: bytes) -> bool:
        order = json.loads(body)
        if order.get("precondition", self.orders) != self.orders:
            return await self.answer(writer, 409, {})
        self.orders += 1
        self.models[order["model"]] = order["version"]
        return await self.answer(writer, 202, {})

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers with which the endpoint answers a request that it ran."""
        found = {"Attempt-Id": request.attempt, "Server-Stamp": f"stamp.{self.name}"}
        model = request.headers.get("model", "")
        if model:
            found["Weight-Versions"] = str(self.models.get(model, 0))
        return found

    async def answer(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes = b""
    ) -> bool:
        """Send a complete answer and keep the connection."""
        keep = {"Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        writer.write(encode(f"HTTP/1.1 {status} -", {**headers, **keep}, body))
        await writer.drain()
        return True


async def wait_closed(writer: asyncio.StreamWriter) -> str:
    """Wait until a connection has ended; used by handlers that answer nothing."""
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return CUT
