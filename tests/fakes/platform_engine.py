"""Stand-in for an engine of the users' platform: it beats, answers calls, streams runs, loads."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

BEAT_S = 0.3
EVENT_S = 0.01


@dataclass
class PlatformEngine:
    """
    One engine.

    :param controls: IP:port of the control daemons.
    :param events: events of each run.
    :param event_s: seconds between the events of a run.
    :param answer_s: seconds until a call is answered.
    :param failing: ids of the calls that are always answered 500.
    :param break_after: events after which the connection of a run breaks.
    :param runs: ids of the requests that ran, in order.
    :param running: ids of the texts that are being written now.
    :param orders: bodies of the orders that were accepted.
    :param acknowledged: states whose heartbeat was answered.
    """

    engine: str
    service: str
    address: str
    controls: list[str]
    models: dict[str, int] = field(default_factory=dict)
    slots: int = 4
    events: int = 5
    event_s: float = EVENT_S
    answer_s: float = 0.0
    failing: set[str] = field(default_factory=set)
    break_after: int | None = None
    runs: list[str] = field(default_factory=list)
    running: list[str] = field(default_factory=list)
    heads: list[dict[str, str]] = field(default_factory=list)
    orders: list[dict] = field(default_factory=list)
    state: str = "ready"
    acknowledged: set[str] = field(default_factory=set)
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start(self) -> None:
        """Listen and begin to beat."""
        app = web.Application()
        app.router.add_get("/v1/report", self._report)
        app.router.add_post("/v1/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Crash: say nothing more."""
        self._beats.cancel()
        await self._runner.cleanup()

    async def _beat(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            turn = 0
            while True:
                turn += 1
                self.sequence += 1
                url = f"http://{self.controls[turn % len(self.controls)]}"
                try:
                    path = f"/v1/Instances.Heartbeat/{self.engine}"
                    said = self._said()
                    async with session.post(url + path, json=said) as answer:
                        await answer.read()
                        if answer.status == 200:
                            self.acknowledged.add(said["state"])
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(BEAT_S)

    def _said(self) -> dict:
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return {
            "service": self.service,
            "address": self.address,
            "zone": "derby",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
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
        await request.read()
        said = {name.lower(): value for name, value in request.headers.items()}
        if said.get("expect-instance") != self.engine:
            return web.Response(status=421, headers={"Instance-Id": self.engine})
        model = said.get("model", "")
        version = self.models.get(model, 0)
        if "expect-version" in said and int(said["expect-version"]) != version:
            return web.Response(status=421, headers={"Instance-Id": self.engine})
        self.runs.append(said["attempt-id"])
        self.heads.append(said)
        own = {"Attempt-Id": said["attempt-id"], "Server-Stamp": f"stamp-{self.engine}"}
        if not model:
            await asyncio.sleep(self.answer_s)
            status = 500 if said["attempt-id"] in self.failing else 200
            return web.Response(status=status, body=request.path.encode(), headers=own)
        return await self._stream(request, said, {**own, "Weight-Versions": str(version)})

    async def _stream(self, request: web.Request, said: dict, headers: dict) -> web.StreamResponse:
        self.running.append(said["attempt-id"])
        try:
            return await self._write_events(request, said, headers)
        finally:
            self.running.remove(said["attempt-id"])

    async def _write_events(
        self, request: web.Request, said: dict, headers: dict
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        await response.prepare(request)
        for number in range(int(said.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if self.break_after is not None and number > self.break_after:
                request.transport.abort()
                return response
            text = f"{said['attempt-id']}-{number}"
            await response.write(f"id: {number}\ndata: {text}\n\n".encode())
        await response.write_eof()
        return response


__all__ = ["PlatformEngine"]
