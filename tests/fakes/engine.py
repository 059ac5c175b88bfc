"""A fake model engine that streams tokens and loads weights, with faults that tests switch on."""

from __future__ import annotations

import asyncio
import os
import zlib
from typing import Any

import aiohttp
import click
import xxhash
from aiohttp import web

from fakes.announcing import Announcer, serve

CHUNK_TOKENS = 4
PREFIX_CHARACTERS = 64


def token_at(prompt: str, offset: int) -> int:
    """
    Return the token that every fake engine generates at this offset of the answer.

    Tests compare a received answer with these tokens to check that it is complete.
    """
    return zlib.crc32(f"{prompt}:{offset}".encode()) % 32_000


class Engine:
    """
    The engine's state; `POST /fault` sets `faults`.

    :param version_by_adapter: version that generates the tokens.
    :param announced_by_adapter: version that is announced although it is not loaded (`load_lies`).
    :param requests: record of all generation requests, which `GET /log` returns.
    :param prefixes: digests of the prompts' prefixes, the most recently used last.
    """

    def __init__(self, **options: Any) -> None:
        self.options = options
        self.version_by_adapter: dict[str, int] = {"": options["version"]}
        self.announced_by_adapter: dict[str, int] = {}
        self.faults: dict[str, Any] = {}
        self.requests: list[dict[str, Any]] = []
        self.orders: dict[str, dict[str, Any]] = {}
        self.offset_by_request: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.running: set[str] = set()
        self.queued = 0
        self.fencing = 0
        self.prefixes: list[str] = []
        self.slots = asyncio.Semaphore(options["capacity"])

    def fields(self) -> dict[str, Any]:
        return {
            "endpoint": self.options["endpoint"],
            "service": self.options["service"],
            "role": "engine",
            "kind": self.options["kind"],
            "data_centre": self.options["data_centre"],
            "address": self.options["advertise"] or self.options["listen"],
            "version_by_adapter": {**self.version_by_adapter, **self.announced_by_adapter},
            "load": {
                "running": len(self.running),
                "queued": self.queued,
                "capacity": self.options["capacity"],
            },
            "prefixes": self.prefixes[-32:],
            "checks_fencing": self.options["checks_fencing"],
        }

    async def generate(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = body["request_id"]
        record = {
            "request_id": request_id,
            "prompt": body["prompt"],
            "headers": {name.lower(): value for name, value in request.headers.items()},
            "resumed_at": len(body["resume_tokens"]),
            "made": 0,
            "versions": [],
            "ended": "",
        }
        self.requests.append(record)
        if self.faults.get("refuse"):
            record["ended"] = "refused"
            return web.json_response({"not_run": True}, status=503)
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.running.add(request_id)
        try:
            return await self._stream(request, body, record)
        except (ConnectionError, asyncio.CancelledError):
            record["ended"] = "broken"
            raise
        finally:
            self.running.discard(request_id)
            self.slots.release()

    async def _stream(
        self, request: web.Request, body: dict[str, Any], record: dict[str, Any]
    ) -> web.StreamResponse:
        request_id = body["request_id"]
        answered_id = request_id
        if self.faults.get("cross", 0) > 0:
            self.faults["cross"] -= 1
            answered_id = "another-request"
        response = web.StreamResponse(headers={"X-Request-Id": answered_id})
        response.content_type = "application/x-ndjson"
        self._record_prefix(body["prompt"])
        await response.prepare(request)
        offset = len(body["resume_tokens"])
        if self.faults.get("crash_after") == 0:
            os._exit(1)
        while offset < body["max_tokens"]:
            await self._wait_for_tokens(CHUNK_TOKENS)
            if request_id in self.cancelled:
                record["ended"] = "cancelled"
                return response
            count = min(CHUNK_TOKENS, body["max_tokens"] - offset)
            line_id = answered_id
            if self.faults.get("cross_line_at", 1 << 60) <= offset:
                del self.faults["cross_line_at"]
                line_id = "another-request"
            line = self._line(line_id, body, offset, count)
            record["made"] += count
            record["versions"] += [self.version_of(body["adapter"])] * count
            offset += count
            self.offset_by_request[request_id] = offset
            await self._write(response, line)
            if record["made"] >= self.faults.get("crash_after", 1 << 60):
                os._exit(1)
        if not self.faults.get("no_end_mark"):
            await self._write(response, {"request_id": answered_id, "done": True, "total": offset})
        record["ended"] = "done"
        return response

    async def _wait_for_tokens(self, count: int) -> None:
        while self.faults.get("stall"):
            await asyncio.sleep(0.05)
        await asyncio.sleep(count * self.faults.get("slow", 1) / self.options["tokens_per_s"])

    def version_of(self, adapter: str) -> int:
        """Return the version that generates the tokens now, whatever is announced."""
        return self.version_by_adapter.get(adapter, self.version_by_adapter[""])

    def _line(
        self, answered_id: str, body: dict[str, Any], offset: int, count: int
    ) -> dict[str, Any]:
        # A line with another request's id contains the tokens of that request.
        prompt = body["prompt"] if answered_id == body["request_id"] else answered_id
        tokens = [token_at(prompt, offset + index) for index in range(count)]
        version = self.version_of(body["adapter"])
        line = {
            "request_id": answered_id,
            "offset": offset,
            "tokens": tokens,
            "text": "".join(f"{token} " for token in tokens),
            "version": self.faults.get("lie_version", version),
        }
        if self.faults.get("omit_labels"):
            del line["version"]
        return line

    async def _write(self, response: web.StreamResponse, line: dict[str, Any]) -> None:
        import json

        await response.write(json.dumps(line).encode() + b"\n")

    def _record_prefix(self, prompt: str) -> None:
        digest = xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())
        if digest in self.prefixes:
            self.prefixes.remove(digest)
        self.prefixes.append(digest)

    async def state(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        known = request_id in self.offset_by_request or request_id in self.running
        state = "running" if request_id in self.running else "done" if known else "unknown"
        offset = self.offset_by_request.get(request_id, 0)
        return web.json_response({"request_id": request_id, "state": state, "offset": offset})

    async def cancel(self, request: web.Request) -> web.Response:
        self.cancelled.add(request.match_info["request_id"])
        return web.json_response({})

    async def order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order["order_id"] in self.orders:
            return web.json_response({"order_id": order["order_id"]}, status=200)
        if self.options["checks_fencing"] and order["fencing"] < self.fencing:
            return web.json_response({"order_id": order["order_id"]}, status=409)
        self.fencing = max(self.fencing, order["fencing"])
        self.orders[order["order_id"]] = order
        if order["kind"] in ("load_version", "load_adapter"):
            asyncio.get_running_loop().create_task(self._load(order))
        if order["kind"] == "stop":
            request.app["stopping"].set()
        return web.json_response({"order_id": order["order_id"]}, status=202)

    async def _load(self, order: dict[str, Any]) -> None:
        adapter, version = order.get("adapter", ""), order["version"]
        if order.get("weights_url"):
            async with aiohttp.ClientSession() as session:
                async with session.get(order["weights_url"]) as response:
                    await response.read()
                    if response.status != 200:
                        order["failed"] = response.status
                        return
        await asyncio.sleep(self.options["load_s"])
        if self.faults.get("load_fails"):
            order["failed"] = "load"
            return
        if self.faults.get("load_lies"):
            self.announced_by_adapter[adapter] = version
            return
        self.version_by_adapter[adapter] = version

    async def fault(self, request: web.Request) -> web.Response:
        """
        Set the faults of the JSON body `{"name": value, …}`.

        Three keys act at once: `crash` ends the process, `announcing` switches the announcements on
        or off, and `swap` replaces versions by adapter during running requests.
        """
        changes = await request.json()
        if changes.get("crash"):
            os._exit(1)
        if "announcing" in changes:
            request.app["announcer"].paused = not changes.pop("announcing")
        self.version_by_adapter.update(changes.pop("swap", {}))
        self.faults.update(changes)
        return web.json_response(self.faults)

    async def log(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "requests": self.requests,
                "orders": list(self.orders.values()),
                "accepted_by": list(request.app["announcer"].accepted_by),
                "left": request.app["announcer"].has_left,
            }
        )


@click.command()
@click.option("--endpoint", required=True)
@click.option("--service", default="scorer-lm")
@click.option("--listen", required=True)
@click.option("--advertise", default="", help="Address to announce, such as that of a proxy.")
@click.option("--entry", "entries", multiple=True, required=True, help="Base URL of an entry.")
@click.option("--data-centre", default="birmingham")
@click.option("--kind", default="standard")
@click.option("--version", default=1)
@click.option("--tokens-per-s", default=400.0)
@click.option("--capacity", default=8)
@click.option("--load-s", default=0.1)
@click.option("--checks-fencing/--ignores-fencing", default=False)
def main(entries: tuple[str, ...], **options: Any) -> None:
    """Run one fake engine."""
    asyncio.run(run(entries, options))


async def run(entries: tuple[str, ...], options: dict[str, Any]) -> None:
    engine = Engine(**options)
    announcer = Announcer(entries, engine.fields)

    async def status(request: web.Request) -> web.Response:
        return web.json_response(announcer.announcement())

    app = web.Application(client_max_size=1 << 26)
    app["announcer"] = announcer
    app.add_routes(
        [
            web.post("/generate", engine.generate),
            web.get("/requests/{request_id}", engine.state),
            web.post("/requests/{request_id}/cancel", engine.cancel),
            web.post("/orders", engine.order),
            web.get("/status", status),
            web.post("/fault", engine.fault),
            web.get("/log", engine.log),
        ]
    )
    await serve(app, options["listen"], announcer, lambda: not engine.running)


if __name__ == "__main__":
    main()
