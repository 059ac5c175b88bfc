"""
A fake of the usage interface; run `python -m fakes.usage --listen IP:PORT`.

It stores the first figures that are reported for each window, answers 409 to a report of the same
window with other figures, and records every report. Faults delay, refuse or drop answers.
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
    """The faults, which `POST /fault` sets by these field names."""

    delay_s: float = 0.0
    answer_late_s: float = 0.0
    status: int = 0
    drop_answer: bool = False


class FakeUsage:
    """The received reports, and the stored lines by window."""

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
        stored_lines = self.lines_by_window.setdefault(window, report["lines"])
        await asyncio.sleep(self.faults.answer_late_s)
        if self.faults.drop_answer:
            request.transport.abort()
        if stored_lines != report["lines"]:
            return web.json_response(
                {"detail": "window already reported with other figures"}, status=409
            )
        return web.json_response({"window": report["window"]})

    async def log(self, request: web.Request) -> web.Response:
        return web.json_response({"reports": self.reports, "lines_by_window": self.lines_by_window})

    async def fault(self, request: web.Request) -> web.Response:
        self.faults = Faults(**{**asdict(self.faults), **await request.json()})
        return web.json_response(asdict(self.faults))


def build_app(usage: FakeUsage) -> web.Application:
    """
    Build the HTTP application.

    :param usage: the state that the handlers use.
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
    """Run the fake usage interface until it receives SIGTERM."""
    host, _, port = listen.rpartition(":")
    web.run_app(build_app(FakeUsage()), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
