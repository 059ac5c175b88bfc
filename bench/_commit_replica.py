"""A replica that can send proposals to itself in its own process, for `bench.commits`."""

from __future__ import annotations

import asyncio
import time

import click
from aiohttp import web
from hdrh.histogram import HdrHistogram

from fakes import replica
from ibisspring_consensus import Committed, ConsensusNode
from ibisspring_core.logs import start_logging
from ibisspring_core.settings import load_settings

MAX_US = 60_000_000
COMMAND = b"x" * 200


class LoadApi(replica.Api):
    """The replica's HTTP interface, extended to run a load and to switch group commit."""

    async def load(self, request: web.Request) -> web.Response:
        writers = int(request.query["writers"])
        end = time.monotonic() + float(request.query["seconds"])
        histogram = HdrHistogram(1, MAX_US, 3)
        refused = await asyncio.gather(
            *(_write_until(self.node, end, histogram) for _ in range(writers))
        )
        return web.json_response(
            {
                "accepted": histogram.get_total_count(),
                "refused": sum(refused),
                "p50_us": histogram.get_value_at_percentile(50),
                "p99_us": histogram.get_value_at_percentile(99),
            }
        )

    async def group_commit(self, request: web.Request) -> web.Response:
        self.node.set_group_commit(request.query["on"] == "1")
        return web.json_response({})


async def _write_until(node: ConsensusNode, end: float, histogram: HdrHistogram) -> int:
    refused = 0
    while time.monotonic() < end:
        start = time.monotonic()
        answer = await node.propose(COMMAND)
        if not isinstance(answer, Committed):
            refused += 1
            await asyncio.sleep(0.01)
            continue
        histogram.record_value(max(1, int((time.monotonic() - start) * 1e6)))
    return refused


def routes(api: LoadApi) -> list[web.RouteDef]:
    return [web.post("/load", api.load), web.post("/group_commit", api.group_commit)]


@click.command()
@click.option("--settings", "path", required=True)
@click.option("--listen", required=True)
def main(path: str, listen: str) -> None:
    """Run one replica until it is stopped."""
    settings = load_settings(path)
    start_logging(settings.log_path)
    asyncio.run(replica.run(settings, listen, LoadApi, routes))


if __name__ == "__main__":
    main()
