"""
A stand-in for the usage interface; `python -m fakes.usage --listen IP:PORT`.

It keeps each window's first figures, refuses others with 409, records every report that arrived,
and can be told to delay, refuse and drop answers.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict, dataclass
from typing import Any

import click
from aiohttp import web


@dataclass
class Faults:
    """What goes wrong; set by `POST /fault` with these fields."""

    delay_s: float = 0.0
    answer_late_s: float = 0.0
    status: int = 0
    drop_answer: bool = False


class UsageInterface:
    """The record of reports."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.reports: list[dict[str, Any]] = []
        self.lines_by_window: dict[str, Any] = {}

    async def report(self, request: web.Request) -> web.Response:
        report = await request.json()
        window = request.match_info["window"]
        self.reports.append(
            {
                **report,
                "key": request.headers.get("Idempotency-Key", ""),
                "received_s": time.time(),
            }
        )
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            return web.json_response({}, status=self.faults.status)
        taken = self.lines_by_window.setdefault(window, report["lines"])
        await asyncio.sleep(self.faults.answer_late_s)
        if self.faults.drop_answer:
            request.transport.abort()
        if taken != report["lines"]:
            return web.json_response({"detail": "reported with other figures"}, status=409)
        return web.json_response({"window": report["window"]})

    async def log(self, request: web.Request) -> web.Response:
        return web.json_response({"reports": self.reports, "lines_by_window": self.lines_by_window})

    async def fault(self, request: web.Request) -> web.Response:
        self.faults = Faults(**{**asdict(self.faults), **await request.json()})
        return web.json_response(asdict(self.faults))


def build_app(usage: UsageInterface) -> web.Application:
    """
    Build the HTTP application.

    :param usage: its state.
    :return: the application.
    """
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.router.add_put("/windows/{window}", usage.report)
    app.router.add_get("/log", usage.log)
    app.router.add_post("/fault", usage.fault)
    return app


@click.command()
@click.option("--listen", required=True, help="IP:port.")
def main(listen: str) -> None:
    """Run the stand-in until it is ended."""
    host, _, port = listen.rpartition(":")
    web.run_app(build_app(UsageInterface()), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
