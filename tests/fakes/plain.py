"""A fake plain service that records its calls, with faults that tests switch on."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import click
from aiohttp import web

from fakes.announcing import Announcer, serve


class Plain:
    """The service's state; `POST /fault` sets `faults` and `GET /log` returns `calls`."""

    def __init__(self, **options: Any) -> None:
        self.options = options
        self.faults: dict[str, Any] = {}
        self.calls: list[dict[str, Any]] = []
        self.running = 0

    def fields(self) -> dict[str, Any]:
        return {
            "endpoint": self.options["endpoint"],
            "service": self.options["service"],
            "role": "plain",
            "kind": self.options["kind"],
            "data_centre": self.options["data_centre"],
            "address": self.options["advertise"] or self.options["listen"],
            "load": {"running": self.running, "capacity": self.options["capacity"]},
        }

    async def call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        call = {
            "request_id": request_id,
            "key": request.headers.get("Idempotency-Key", ""),
            "method": request.method,
            "path": request.raw_path,
            "body": body.decode(errors="replace"),
            "headers": {name.lower(): value for name, value in request.headers.items()},
            "ran": False,
        }
        self.calls.append(call)
        if self.faults.get("refuse"):
            headers = {"X-Request-Id": request_id, "X-Not-Run": "1"}
            return web.json_response({}, status=503, headers=headers)
        self.running += 1
        try:
            await asyncio.sleep(self.faults.get("delay_s", 0.0))
            call["ran"] = True
            await asyncio.sleep(self.faults.get("answer_delay_s", 0.0))
        finally:
            self.running -= 1
        return self._answer(request, request_id, body)

    def _answer(self, request: web.Request, request_id: str, body: bytes) -> web.StreamResponse:
        if self.faults.get("drop_answer"):
            request.transport.abort()
        if self.faults.get("cross", 0) > 0:
            self.faults["cross"] -= 1
            request_id = "another-request"
        answer = {"echo": body.decode(errors="replace"), "path": request.raw_path}
        answer["by"] = self.options["endpoint"]
        answer["run"] = sum(call["ran"] for call in self.calls)
        headers = {"X-Request-Id": request_id, "Set-Cookie": "seen=1"}
        status = self.faults.get("status", 200)
        return web.json_response(answer, status=status, headers=headers)

    async def fault(self, request: web.Request) -> web.Response:
        """
        Set the faults of the JSON body `{"name": value, …}`.

        Two keys act at once: `crash` ends the process, `announcing` switches the announcements on
        or off.
        """
        changes = await request.json()
        if changes.get("crash"):
            os._exit(1)
        if "announcing" in changes:
            request.app["announcer"].paused = not changes.pop("announcing")
        self.faults.update(changes)
        return web.json_response(self.faults)

    async def log(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"calls": self.calls, "accepted_by": list(request.app["announcer"].accepted_by)}
        )


@click.command()
@click.option("--endpoint", required=True)
@click.option("--service", default="archive-app")
@click.option("--listen", required=True)
@click.option("--advertise", default="", help="Address to announce, such as that of a proxy.")
@click.option("--entry", "entries", multiple=True, required=True, help="Base URL of an entry.")
@click.option("--data-centre", default="birmingham")
@click.option("--kind", default="standard")
@click.option("--capacity", default=32)
def main(entries: tuple[str, ...], **options: Any) -> None:
    """Run one fake plain service."""
    asyncio.run(run(entries, options))


async def run(entries: tuple[str, ...], options: dict[str, Any]) -> None:
    plain = Plain(**options)
    announcer = Announcer(entries, plain.fields)
    app = web.Application(client_max_size=1 << 26)
    app["announcer"] = announcer
    app.add_routes([web.post("/fault", plain.fault), web.get("/log", plain.log)])
    app.router.add_route("*", "/{path:.*}", plain.call)
    await serve(app, options["listen"], announcer, lambda: plain.running == 0)


if __name__ == "__main__":
    main()
