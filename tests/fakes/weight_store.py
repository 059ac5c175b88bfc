"""A weight store that serves few loads at a time and refuses the rest."""

from __future__ import annotations

import asyncio
from typing import Any

import click
from aiohttp import web


class WeightStore:
    """Counts who loads what; `POST /fault` sets `refuse` (all loads) and `seconds` (of a load)."""

    def __init__(self, places: int, seconds: float) -> None:
        self.places = places
        self.seconds = seconds
        self.refuse = False
        self.loading = 0
        self.most_loading = 0
        self.log: list[dict[str, Any]] = []

    async def load(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if self.refuse or self.loading >= self.places:
            self.log.append({"name": name, "status": 429})
            return web.Response(status=429, headers={"Retry-After": "1"})
        self.loading += 1
        self.most_loading = max(self.most_loading, self.loading)
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.loading -= 1
        self.log.append({"name": name, "status": 200})
        return web.Response(body=b"weights")

    async def fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.refuse = body.get("refuse", self.refuse)
        self.seconds = body.get("seconds", self.seconds)
        return web.json_response({})

    async def read_log(self, request: web.Request) -> web.Response:
        return web.json_response({"log": self.log, "most_loading": self.most_loading})

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/weights/{name:.*}", self.load)
        app.router.add_post("/fault", self.fault)
        app.router.add_get("/log", self.read_log)
        return app


@click.command()
@click.option("--listen", required=True, help="IP:port.")
@click.option("--places", default=2, help="Loads at a time.")
@click.option("--seconds", default=0.05, help="Seconds that a load takes.")
def main(listen: str, places: int, seconds: float) -> None:
    """Run the weight store."""
    host, port = listen.split(":")
    web.run_app(WeightStore(places, seconds).app(), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
