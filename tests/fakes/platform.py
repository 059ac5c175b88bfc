"""
A fake of the platform's interface for orders; run `python -m fakes.platform --listen IP:PORT`.

It records each order with its sender, fencing number and time of receipt. Faults make it delay or
refuse orders, have no machines of some kinds, or carry out orders without answering.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from dataclasses import asdict, dataclass, field
from typing import Any

import click
from aiohttp import web


@dataclass
class Faults:
    """The faults, which `POST /fault` sets by these field names."""

    delay_s: float = 0.0
    answer_late_s: float = 0.0
    refuse: bool = False
    drop_answer: bool = False
    check_fencing: bool = False
    unavailable: list[str] = field(default_factory=list)


@dataclass
class ReceivedOrder:
    """An order as it was received."""

    order_id: str
    fencing: int
    sender: str
    digest: str
    received_s: float
    order: dict[str, Any]


class FakePlatform:
    """The received orders, their outcomes, and the endpoints started and stopped by them."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.sent: list[ReceivedOrder] = []
        self.outcome_by_order: dict[str, dict[str, str]] = {}
        self.highest_fencing = 0
        self.started: list[dict[str, Any]] = []
        self.stopped: list[str] = []

    async def order(self, request: web.Request) -> web.Response:
        body = await request.read()
        order = json.loads(body)
        self.sent.append(
            ReceivedOrder(
                order["order_id"],
                order["fencing"],
                request.headers.get("X-Sender", ""),
                hashlib.sha256(body).hexdigest(),
                time.clock_gettime(time.CLOCK_BOOTTIME),
                order,
            )
        )
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.check_fencing and order["fencing"] < self.highest_fencing:
            return web.json_response({"detail": "old fencing number"}, status=409)
        self.highest_fencing = max(self.highest_fencing, order["fencing"])
        if order["order_id"] not in self.outcome_by_order:
            self.outcome_by_order[order["order_id"]] = self._carry_out(order)
        await asyncio.sleep(self.faults.answer_late_s)
        if self.faults.drop_answer:
            request.transport.abort()
        return web.json_response(self.outcome_by_order[order["order_id"]])

    def _carry_out(self, order: dict[str, Any]) -> dict[str, str]:
        order_id = order["order_id"]
        if self.faults.refuse:
            return {
                "order_id": order_id,
                "outcome": "refused",
                "detail": "refused by the fault `refuse`",
            }
        kind = f"{order.get('data_centre', '')}/{order.get('kind', '')}"
        if order.get("action") == "start" and kind in self.faults.unavailable:
            return {"order_id": order_id, "outcome": "unavailable", "detail": kind}
        if order.get("action") == "start":
            self.started.append(order)
        else:
            self.stopped.append(order.get("endpoint", ""))
        return {"order_id": order_id, "outcome": "done", "detail": ""}

    async def ask(self, request: web.Request) -> web.Response:
        outcome = self.outcome_by_order.get(request.match_info["order_id"])
        if outcome is None:
            return web.json_response({}, status=404)
        return web.json_response(outcome)

    async def log(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "sent": [asdict(sent) for sent in self.sent],
                "started": self.started,
                "stopped": self.stopped,
            }
        )

    async def fault(self, request: web.Request) -> web.Response:
        self.faults = Faults(**{**asdict(self.faults), **await request.json()})
        return web.json_response(asdict(self.faults))


def build_app(platform: FakePlatform) -> web.Application:
    """
    Build the HTTP application.

    :param platform: the state that the handlers use.
    :return: the application.
    """
    app = web.Application()
    app.router.add_post("/orders", platform.order)
    app.router.add_get("/orders/{order_id}", platform.ask)
    app.router.add_get("/log", platform.log)
    app.router.add_post("/fault", platform.fault)
    return app


@click.command()
@click.option("--listen", required=True, help="IP:port.")
def main(listen: str) -> None:
    """Run the fake platform until it receives SIGTERM."""
    host, _, port = listen.rpartition(":")
    web.run_app(build_app(FakePlatform()), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
