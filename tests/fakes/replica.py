"""A control replica with a list of lines as state and an HTTP interface, for consensus tests."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

import click
from aiohttp import web

from ibisspring_consensus import Committed, ConsensusNode
from ibisspring_control.rpc.server import ControlRpc
from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.logs import start_logging
from ibisspring_core.settings import Settings, load_settings
from ibisspring_core.timer import TimerService


class LineLog:
    """A state machine that keeps the text of all commands and their log indexes, in order."""

    name = "state"

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.indexes: list[int] = []

    async def start(self, kernel: Kernel) -> None:
        """No-op: the state is in memory."""

    async def stop(self) -> None:
        """No-op: the state is in memory."""

    def apply(self, index: int, data: bytes) -> bytes:
        self.lines.append(data.decode())
        self.indexes.append(index)
        return str(len(self.lines)).encode()

    def snapshot(self) -> bytes:
        return json.dumps([self.lines, self.indexes]).encode()

    def restore(self, data: bytes) -> None:
        self.lines, self.indexes = json.loads(data)


class Api:
    """HTTP interface to propose commands and to read the state."""

    def __init__(self, node: ConsensusNode, state: LineLog) -> None:
        self.node = node
        self.state = state

    async def propose(self, request: web.Request) -> web.Response:
        answer = await self.node.propose(await request.read())
        if isinstance(answer, Committed):
            return web.json_response({"index": answer.index, "result": answer.result.decode()})
        return _refused(answer)

    async def read(self, request: web.Request) -> web.Response:
        answer = await self.node.confirm_read()
        if not isinstance(answer, int):
            return _refused(answer)
        return web.json_response({"index": answer, "lines": self.state.lines})

    async def local(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "is_leader": self.node.is_leader,
                "term": self.node.term,
                "lease_left_s": self.node.lease_left_s(),
                "lines": self.state.lines,
                "indexes": self.state.indexes,
            }
        )


def _refused(refusal: Any) -> web.Response:
    body = {"reason": refusal.reason.value, "not_run": refusal.not_run}
    return web.json_response(body, status=503)


def routes(api: Api) -> list[web.RouteDef]:
    return [
        web.post("/propose", api.propose),
        web.get("/read", api.read),
        web.get("/local", api.local),
    ]


async def run(settings: Settings, listen: str, api_type=Api, more_routes=lambda api: []) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    state = LineLog()
    node = ConsensusNode.from_config(settings)
    services = (TimerService(), Counters.from_config(None), state, node)
    kernel = Kernel.from_services((*services, ControlRpc.from_config(settings)))
    await kernel.start()
    api = api_type(node, state)
    app = web.Application()
    app.add_routes([*routes(api), *more_routes(api)])
    runner = web.AppRunner(app, shutdown_timeout=1)
    await runner.setup()
    host, port = listen.split(":")
    await web.TCPSite(runner, host, int(port)).start()
    await stopping.wait()
    await runner.cleanup()
    await kernel.stop()


@click.command()
@click.option("--settings", "path", required=True)
@click.option("--listen", required=True)
def main(path: str, listen: str) -> None:
    """Run one replica."""
    settings = load_settings(path)
    assert isinstance(settings, Settings), settings
    start_logging(settings.log_path)
    asyncio.run(run(settings, listen))


if __name__ == "__main__":
    main()
