"""A fake weight store that limits concurrent loads and answers 429 to those above the limit."""

from __future__ import annotations

import asyncio
from typing import Any

import click
from aiohttp import web


class WeightStore:
    """
    Records all loads.

    `POST /fault` sets `refuse` (whether all loads are answered 429) and `seconds`.

    :param max_loads: number of loads that may run at a time; more are answered 429.
    :param seconds: how long a load takes.
    """

    def __init__(self, max_loads: int, seconds: float) -> None:
        self.max_loads = max_loads
        self.seconds = seconds
        self.refuse = False
        self.loading = 0
        self.most_loading = 0
        self.log: list[dict[str, Any]] = []

    async def load(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if self.refuse or self.loading >= self.max_loads:
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
@click.option("--places", default=2, help="Number of concurrent loads.")
@click.option("--seconds", default=0.05, help="Duration of a load in seconds.")
def main(listen: str, places: int, seconds: float) -> None:
    """Run the weight store."""
    host, port = listen.split(":")
    web.run_app(WeightStore(places, seconds).app(), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
