"""Planned stops of endpoints: the stop order is sent to the platform only after the drain."""

from __future__ import annotations

import asyncio
import json

import aiohttp

from integration.duties_system import DutiesSystem
from integration.processes import (
    Process,
    free_address,
    get_json,
    http_answers,
    python_module,
    wait_until,
)
from integration.rules_system import KEY, rules_text

TOKENS = 180
HEADERS = {"Authorization": f"Bearer {KEY}"}


class _Engine:
    def __init__(self, name: str, process: Process, address: str) -> None:
        self.name = name
        self.process = process
        self.address = address

    async def outcomes(self) -> list[str]:
        """Return how each received request ended; an empty text stands for a running request."""
        log = await get_json(f"http://{self.address}/log")
        return [request["ended"] for request in log["requests"]]

    async def request_count(self) -> int:
        """Return the number of requests that the engine has received."""
        return len(await self.outcomes())


async def _start_engine(system: DutiesSystem, name: str) -> _Engine:
    address = free_address()
    arguments = ["--endpoint", name, "--listen", address, "--entry", system.cluster.url("e1")]
    arguments += ["--tokens-per-s", "15"]
    process = system.cluster.start_other(name, python_module("fakes.engine", *arguments))
    await wait_until(lambda: http_answers(f"http://{address}/log"), f"{name} to answer")
    return _Engine(name, process, address)


async def _generate(system: DutiesSystem, tokens: int) -> list[dict]:
    body = {"model": "scorer-lm", "prompt": "heat 4711", "max_tokens": tokens, "stream": True}
    url = f"{system.cluster.url('e1')}/v1/generate"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body, headers=HEADERS) as response:
            assert response.status == 200, await response.text()
            return [json.loads(line) async for line in response.content]


async def test_a_drained_engine_is_stopped_only_when_its_streams_have_ended(tmp_path) -> None:
    # An operator drains an engine while a long stream runs on it. If the engine were stopped at
    # once, the stream would break; if entries were not notified of the drain, they would keep
    # sending new requests to the engine. The stream must complete, new requests must go to another
    # engine, and only then does the platform receive a single stop order.
    system = await DutiesSystem.bootstrap(tmp_path, drain_settle_s=2.0, drain_deadline_s=100.0)
    try:
        await system.rules.apply(rules_text(), 0)
        first = await _start_engine(system, "engine-1")
        stream = asyncio.create_task(_stream_from_first_engine(system))
        await wait_until(first.request_count, "the stream to begin")
        second = await _start_engine(system, "engine-2")
        await wait_until(lambda: _is_listed(system, "engine-2"), "engine-2 to be listed")

        drained = await system.rules.run("endpoint", "drain", "engine-1")
        assert drained.returncode == 0, drained.stderr
        for _ in range(3):
            assert (await _generate(system, 4))[-1]["done"]
        assert await second.request_count() == 3
        (order,) = await system.wait_received(1)
        assert await first.outcomes() == ["done"], "the stop order was sent before the stream's end"
        lines = await stream

        assert lines[-1]["done"]
        assert sum(len(line.get("tokens", ())) for line in lines) == TOKENS
        assert (order["order"]["action"], order["order"]["endpoint"]) == ("stop", "engine-1")
        assert await first.request_count() == 1
        assert await first.process.terminate() == 0
        await wait_until(lambda: _no_drains(system), "the drain to be removed")
        assert len(await system.received_orders()) == 1
    finally:
        await system.stop()


async def _stream_from_first_engine(system: DutiesSystem) -> list[dict]:
    await wait_until(lambda: _is_listed(system, "engine-1"), "engine-1 to be listed")
    return await _generate(system, TOKENS)


async def _is_listed(system: DutiesSystem, endpoint: str) -> bool:
    status = await system.rules.run_json("status")
    return endpoint in [record["endpoint"] for record in status["endpoints"]]


async def _no_drains(system: DutiesSystem) -> bool:
    return (await system.rules.run_json("status"))["draining"] == []
