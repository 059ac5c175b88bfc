"""A withdrawn key ends its running and queued requests."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp
import pytest

from integration.processes import free_address, python_module, wait_until
from integration.proxy import FaultProxy
from integration.rules_system import KEY, RulesSystem, rules_text

REMAINING_KEY = "key-that-stays"
BOTH_KEYS = (KEY, REMAINING_KEY)
# With this rate and MANY_TOKENS, no stream completes during the test.
TOKENS_PER_S = 40
MANY_TOKENS = 100_000


@dataclass
class _Stream:
    """The lines and the status that one caller has received so far."""

    lines: list[dict] = field(default_factory=list)
    status: int = 0
    ended: bool = False

    async def run(self, url: str, key: str) -> None:
        body = {"model": "scorer-lm", "prompt": key, "max_tokens": MANY_TOKENS, "stream": True}
        body["deadline_s"] = 110
        headers = {"Authorization": f"Bearer {key}"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{url}/v1/generate", json=body, headers=headers) as response,
        ):
            self.status = response.status
            try:
                async for line in response.content:
                    self.lines.append(json.loads(line))
            except aiohttp.ClientError:
                pass
            self.ended = True

    def error(self) -> dict:
        return self.lines[-1].get("error", {}) if self.lines else {}


class _Callers:
    """Tasks of callers with open streams; `close` cancels all of them."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task] = []

    def open(self, url: str, key: str) -> _Stream:
        stream = _Stream()
        self.tasks.append(asyncio.create_task(stream.run(url, key)))
        return stream

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def callers():
    callers = _Callers()
    yield callers
    await callers.close()


async def _start_engine(system: RulesSystem, capacity: int) -> None:
    arguments = ["--endpoint", "engine-1", "--listen", free_address()]
    arguments += ["--tokens-per-s", str(TOKENS_PER_S), "--capacity", str(capacity)]
    for entry in system.entries():
        arguments += ["--entry", system.cluster.url(entry)]
    system.cluster.start_other("engine-1", python_module("fakes.engine", *arguments))

    async def is_listed() -> bool:
        return len((await system.run_json("endpoint", "list"))["endpoints"]) == 1

    await wait_until(is_listed, "the engine to be listed")


async def test_a_withdrawn_key_ends_its_open_stream_and_its_queued_request(
    tmp_path, callers
) -> None:
    """
    Guards against a key that is checked only when a request arrives.

    A caller reads a long stream and has a second request in the queue when an operator withdraws
    its key. If the key were not checked again, both requests would still be served. The stream of
    another key of the same client account must continue.
    """
    system = RulesSystem.from_counts(tmp_path, controls=3, entries=1)
    url = system.cluster.url("e1")
    try:
        await system.bootstrap()
        assert (await system.apply(rules_text(keys=BOTH_KEYS), 0)).returncode == 0
        await _start_engine(system, capacity=2)
        streams = [callers.open(url, KEY), callers.open(url, REMAINING_KEY)]
        for stream in streams:
            await wait_until(lambda stream=stream: stream.lines, "the first tokens")
        queued = callers.open(url, KEY)
        await asyncio.sleep(0.5)

        withdrawn = await system.apply(rules_text(keys=(REMAINING_KEY,)), 1)

        assert withdrawn.returncode == 0, withdrawn.stderr
        withdrawn_stream, remaining_stream = streams
        await wait_until(
            lambda: withdrawn_stream.ended and queued.ended, "the withdrawn key's requests to end"
        )
        assert withdrawn_stream.error()["reason"] == "key_withdrawn"
        assert withdrawn_stream.error()["not_run"] is False
        # A request that reached the entry only after the withdrawal is refused on arrival.
        assert queued.lines[-1]["error"]["reason"] in ("key_withdrawn", "unknown_key")
        assert not any("tokens" in line for line in queued.lines)
        lines_before = len(remaining_stream.lines)
        await wait_until(
            lambda: len(remaining_stream.lines) > lines_before + 5,
            "the other key's stream to continue",
        )
    finally:
        system.stop_all()


async def test_an_entry_cut_off_from_control_ends_its_open_streams(tmp_path, callers) -> None:
    """
    Guards against a stream that serves a withdrawn key for as long as a partition lasts.

    An entry loses the connections to all control VMs in the middle of a stream, and an operator
    withdraws the stream's key, so that the entry does not receive the withdrawal.
    """
    system = RulesSystem.from_counts(tmp_path, controls=3, entries=1)
    proxies = []
    addresses = system.cluster.settings_by_daemon["e1"]["control_addresses"]
    for daemon, address in list(addresses.items()):
        proxies.append(await FaultProxy.in_front_of(address))
        addresses[daemon] = proxies[-1].address
    try:
        await system.bootstrap()
        assert (await system.apply(rules_text(keys=BOTH_KEYS), 0)).returncode == 0
        await _start_engine(system, capacity=2)
        stream = callers.open(system.cluster.url("e1"), KEY)
        await wait_until(lambda: stream.lines, "the first tokens")

        for proxy in proxies:
            await proxy.silence()
        withdrawn = await system.apply(rules_text(keys=(REMAINING_KEY,)), 1)

        assert withdrawn.returncode == 0, withdrawn.stderr
        await wait_until(lambda: stream.ended, "the stream to end", bound_s=20.0)
        assert stream.error()["reason"] == "lease_lapsed"
    finally:
        system.stop_all()
