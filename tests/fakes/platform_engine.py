"""A fake engine of the users' platform: heartbeats, calls, streamed runs and orders to load."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from fakes.resets import reset

HEARTBEAT_INTERVAL_S = 0.3
EVENT_INTERVAL_S = 0.01


@dataclass
class PlatformEngine:
    """
    A fake engine.

    :param controls: IP:port of the control daemons, which get the heartbeats.
    :param models: weight version by model.
    :param zone: data centre that the heartbeats state.
    :param cold_left_ms: milliseconds for which the heartbeats say that the engine is cold.
    :param events: number of events of each run.
    :param event_filler: text that is appended to the data of each event.
    :param event_s: seconds between the events of a run.
    :param answer_s: seconds until a call is answered.
    :param answer_bytes: size of the answer to a call; None for an answer that is the call's path.
    :param max_body_bytes: size above which the body of a call is answered 413.
    :param failing_attempts: attempt ids of the calls and runs that always fail.
    :param failing_status: status with which such a run is answered; such a call is answered 500.
    :param failed: attempt ids of the runs that were answered so.
    :param break_after: number of events after which the connection of a run is reset; None: never.
    :param resets: decides which answers are reset on the way: a `reset_share` of them. Answers then
        have no length and no chunks, and end with their connection; None: they have a length.
    :param crash_body: body of the calls that end the engine; empty for none.
    :param crash_after_s: seconds from the start of such a call to the end of the engine.
    :param restart_s: seconds from an end until the engine is started again, under another id.
    :param ended_at: times at which the engine ended, in seconds on the event loop's clock.
    :param crash_calls_at: times at which calls with `crash_body` arrived, on the same clock.
    :param runs: attempt ids of the requests that ran, in order.
    :param running: attempt ids of the runs whose events are being streamed.
    :param request_headers: headers of the requests that ran, by lower-case name, in the order of
        `runs`.
    :param orders: bodies of the orders that were accepted.
    :param acknowledged_states: states that were in a heartbeat answered with 200.
    :param sequence: sequence number of the last heartbeat.
    :param born: time at which the engine was created, in milliseconds since the epoch.
    """

    engine: str
    service: str
    address: str
    controls: list[str]
    models: dict[str, int] = field(default_factory=dict)
    slots: int = 4
    zone: str = "derby"
    cold_left_ms: int = 0
    events: int = 5
    event_filler: str = ""
    event_s: float = EVENT_INTERVAL_S
    answer_s: float = 0.0
    answer_bytes: int | None = None
    max_body_bytes: int = 64 * 1024 * 1024
    failing_attempts: set[str] = field(default_factory=set)
    failing_status: int = 500
    failed: list[str] = field(default_factory=list)
    break_after: int | None = None
    resets: random.Random | None = None
    reset_share: float = 0.1
    crash_body: bytes = b""
    crash_after_s: float = 0.02
    restart_s: float = 1.0
    ended_at: list[float] = field(default_factory=list)
    crash_calls_at: list[float] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    running: list[str] = field(default_factory=list)
    request_headers: list[dict[str, str]] = field(default_factory=list)
    orders: list[dict] = field(default_factory=list)
    state: str = "ready"
    acknowledged_states: set[str] = field(default_factory=set)
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    _crash_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start the server and the heartbeats."""
        app = web.Application(client_max_size=self.max_body_bytes)
        app.router.add_get("/v1/report", self._report)
        app.router.add_post("/v1/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop as in a crash, without a last heartbeat."""
        for task in self._crash_tasks:
            task.cancel()
        self._heartbeat_task.cancel()
        await self._runner.cleanup()

    async def crash(self) -> None:
        """End at once: reset all connections, refuse new ones, and start again after a pause."""
        self.ended_at.append(asyncio.get_running_loop().time())
        self._heartbeat_task.cancel()
        for site in list(self._runner.sites):
            await site.stop()
        for handler in self._runner.server.connections:
            if handler.transport is not None:
                handler.transport.abort()
        await self._runner.cleanup()
        await asyncio.sleep(self.restart_s)
        self.engine = f"{self.engine.partition('.')[0]}.{len(self.ended_at)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()

    async def _send_heartbeats(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            count = 0
            while True:
                count += 1
                self.sequence += 1
                url = f"http://{self.controls[count % len(self.controls)]}"
                try:
                    path = f"/v1/Instances.Heartbeat/{self.engine}"
                    heartbeat = self._heartbeat()
                    async with session.post(url + path, json=heartbeat) as answer:
                        await answer.read()
                        if answer.status == 200:
                            self.acknowledged_states.add(heartbeat["state"])
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat(self) -> dict:
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.cold_left_ms,
            "models": models,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _report(self, request: web.Request) -> web.Response:
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return web.json_response({"sequence": len(self.orders), "busy": False, "models": models})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        self.models[order["model"]] = order["version"]
        return web.Response(status=202)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_headers = {name.lower(): value for name, value in request.headers.items()}
        if request_headers.get("expect-instance") != self.engine:
            return web.Response(status=421, headers={"Instance-Id": self.engine})
        model = request_headers.get("model", "")
        version = self.models.get(model, 0)
        if (
            "expect-version" in request_headers
            and int(request_headers["expect-version"]) != version
        ):
            return web.Response(status=421, headers={"Instance-Id": self.engine})
        if self.crash_body and body == self.crash_body:
            await self._run_crash_call()
        self.runs.append(request_headers["attempt-id"])
        self.request_headers.append(request_headers)
        response_headers = {
            "Attempt-Id": request_headers["attempt-id"],
            "Server-Stamp": f"stamp-{self.engine}",
        }
        if not model:
            await asyncio.sleep(self.answer_s)
            status = 500 if request_headers["attempt-id"] in self.failing_attempts else 200
            if self.resets is not None and status == 200:
                await self._write_until_close(request, response_headers, [request.path.encode()])
            body = request.path.encode()
            if self.answer_bytes is not None:
                body = bytes(self.answer_bytes)
            return web.Response(status=status, body=body, headers=response_headers)
        return await self._stream(
            request, request_headers, {**response_headers, "Weight-Versions": str(version)}
        )

    async def _run_crash_call(self) -> None:
        """Let the engine end while it runs the call, which is never answered."""
        incarnation = self.engine
        self.crash_calls_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.crash_after_s)
        if self.engine == incarnation and not self._crash_tasks:
            task = asyncio.create_task(self.crash())
            self._crash_tasks.add(task)
            task.add_done_callback(self._crash_tasks.discard)
        await asyncio.sleep(2 * self.crash_after_s)
        raise ConnectionResetError

    async def _stream(
        self, request: web.Request, request_headers: dict, headers: dict
    ) -> web.StreamResponse:
        if request_headers["attempt-id"] in self.failing_attempts:
            await asyncio.sleep(self.answer_s)
            if request.transport is not None and not request.transport.is_closing():
                self.failed.append(request_headers["attempt-id"])
            return web.Response(status=self.failing_status, headers=headers)
        self.running.append(request_headers["attempt-id"])
        try:
            return await self._write_events(request, request_headers, headers)
        finally:
            self.running.remove(request_headers["attempt-id"])

    async def _write_events(
        self, request: web.Request, request_headers: dict, headers: dict
    ) -> web.StreamResponse:
        headers = {**headers, "Content-Type": "text/event-stream"}
        numbers = range(int(request_headers.get("last-event-id", 0)) + 1, self.events + 1)
        attempt = request_headers["attempt-id"]
        filler = self.event_filler
        events = [
            f"id: {number}\ndata: {attempt}-{number}{filler}\n\n".encode() for number in numbers
        ]
        if self.resets is not None:
            await self._write_until_close(request, headers, events, self.event_s)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number, event in zip(numbers, events, strict=True):
            await asyncio.sleep(self.event_s)
            if self.break_after is not None and number > self.break_after:
                request.transport.abort()
                return response
            await response.write(event)
        await response.write_eof()
        return response

    async def _write_until_close(
        self, request: web.Request, headers: dict, parts: list[bytes], part_s: float = 0.0
    ) -> None:
        """Write an answer that ends with its connection, or that is reset before its end."""
        is_reset = self.resets.random() < self.reset_share
        written = self.resets.randint(0, len(parts)) if is_reset else len(parts)
        transport = request.transport
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        transport.write("\r\n".join([*lines, "Connection: close", "", ""]).encode())
        for part in parts[:written]:
            await asyncio.sleep(part_s)
            transport.write(part)
        if is_reset:
            await asyncio.sleep(EVENT_INTERVAL_S)
            reset(transport)
        else:
            transport.close()
        raise ConnectionResetError


__all__ = ["PlatformEngine"]
