"""Key withdrawal during streams, rate limits, and queues of engines without a free slot."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from integration.processes import wait_until
from integration.requests_system import RequestsSystem
from integration.rules_system import KEY, rules_text

BODY = {"model": "scorer-lm", "prompt": "heat 4711", "max_tokens": 4000, "stream": True}


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[RequestsSystem]:
    started = await RequestsSystem.started(tmp_path, 1, 1)
    yield started
    started.stop_all()


async def read_lines(system: RequestsSystem, **headers: str) -> tuple[int, list[dict[str, Any]]]:
    """Stream a generation until it ends; return the status and all lines, also an error line."""
    url = f"{system.url('e1')}/v1/generate"
    headers = {"Authorization": f"Bearer {KEY}", **headers}
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=BODY, headers=headers) as response:
            return response.status, [json.loads(line) async for line in response.content]


async def wait_streams(system: RequestsSystem, count: int) -> None:
    async def all_streaming() -> bool:
        requests = (await system.log("scorer-1"))["requests"]
        return sum(request["made"] > 0 for request in requests) >= count

    await wait_until(all_streaming, f"{count} streams to run")


async def test_withdrawn_key_ends_streams_and_queued_work(system: RequestsSystem) -> None:
    # An operator withdraws a leaked key. Open streams of that key used to continue to their end,
    # and its queued requests were started minutes later.
    await system.start_endpoint("engine", "scorer-1", tokens_per_s=40, capacity=1)
    streams = [asyncio.create_task(read_lines(system)) for _ in range(4)]
    keyed = {"Idempotency-Key": "generation-1"}
    streams.append(asyncio.create_task(read_lines(system, **keyed)))
    await wait_streams(system, 1)

    applied = await system.rules.apply(rules_text(keys=()), 1)
    answers = await asyncio.wait_for(asyncio.gather(*streams), 60)

    assert applied.returncode == 0, applied.stderr
    for _, lines in answers:
        assert lines[-1]["error"]["reason"] == "key_withdrawn"

    async def nothing_runs() -> bool:
        requests = (await system.log("scorer-1"))["requests"]
        return all(request["ended"] for request in requests)

    await wait_until(nothing_runs, "the engine's work to end")
    started = len((await system.log("scorer-1"))["requests"])
    assert started < len(streams)
    status, lines = await read_lines(system)
    assert (status, lines[0]["error"]["reason"]) == (401, "unknown_key")


async def test_a_rate_limited_account_is_served_after_retry_after(system: RequestsSystem) -> None:
    # A faulty client sends requests without a pause. It must be refused, and a request sent after
    # `retry_after_s` of that refusal must be served.
    await system.start_endpoint("plain", "archive-1")
    slow = rules_text().replace("rate 1000/s", "rate 5/s")
    assert (await system.rules.apply(slow, 1)).returncode == 0
    path = "/v1/services/archive-app/find"

    async def refused() -> Any:
        answer = await system.ask(system.url("e1"), "GET", path)
        return answer if answer.status == 429 else None

    answer = await wait_until(refused, "a refusal")
    error = answer.error()
    await asyncio.sleep(error["retry_after_s"])
    retried = await system.ask(system.url("e1"), "GET", path)

    assert (error["reason"], error["not_run"]) == ("rate_limited", True)
    assert int(answer.headers["Retry-After"]) >= 1
    assert retried.status == 200


async def test_a_full_engine_refuses_what_cannot_finish_before_its_deadline(
    system: RequestsSystem,
) -> None:
    # Many more requests arrive than the engine can run at once, each with a deadline of 3 s. They
    # used to wait at the engine, all missed their deadlines, and the engine worked for callers that
    # had disconnected.
    await system.start_endpoint("engine", "scorer-1", tokens_per_s=100, capacity=2)
    body = {**BODY, "max_tokens": 100, "deadline_s": 3.0, "stream": False}

    async def ask() -> Any:
        return await system.ask(system.url("e1"), "POST", "/v1/generate", json=body)

    await ask()
    answers = await asyncio.gather(*(ask() for _ in range(20)))

    served = [answer for answer in answers if answer.status == 200]
    refused = [answer for answer in answers if answer.status != 200]
    refused_not_run = [answer for answer in refused if answer.error()["not_run"]]
    requests = (await system.log("scorer-1"))["requests"]
    assert len(served) >= 4
    assert {answer.error()["reason"] for answer in refused_not_run} == {"cannot_finish"}
    assert len(refused_not_run) >= len(refused) - 2
    assert len(requests) - 1 == len(answers) - len(refused_not_run)


async def test_an_entry_whose_lease_lapsed_ends_its_open_streams(system: RequestsSystem) -> None:
    # An entry loses control for longer than its lease, so that it cannot receive the withdrawal of
    # a key. Its open streams used to continue for as long as their callers read them.
    await system.start_endpoint("engine", "scorer-1", tokens_per_s=40)
    stream = asyncio.create_task(read_lines(system))
    await wait_streams(system, 1)

    system.cluster.process_by_name["c1"].kill()
    _, lines = await asyncio.wait_for(stream, 50)
    status, refused = await read_lines(system)

    assert lines[-1]["error"]["reason"] == "lease_lapsed"
    assert lines[-1]["error"]["not_run"] is False
    assert (status, refused[0]["error"]["reason"]) == (503, "lease_lapsed")
    assert refused[0]["error"]["not_run"] is True


async def test_a_queued_ticket_is_not_sent_after_its_key_was_withdrawn(
    system: RequestsSystem,
) -> None:
    # A ticket with an idempotency key runs independently of its caller's connection. Such a ticket
    # is queued when its API key is withdrawn; it used to be sent when a slot became free.
    await system.start_endpoint("plain", "archive-1", capacity=1)
    await system.fault("archive-1", answer_delay_s=4.0)
    path = "/v1/services/archive-app/tickets"

    async def post(body: bytes, **headers: str) -> Any:
        return await system.ask(system.url("e1"), "POST", path, headers, data=body)

    first = [asyncio.create_task(post(b"first")) for _ in range(2)]

    async def calls() -> list[dict[str, Any]]:
        return (await system.log("archive-1"))["calls"]

    async def both_run() -> bool:
        return sum(call["ran"] for call in await calls()) == 2

    await wait_until(both_run, "the first tickets to run")
    keyed = {"Idempotency-Key": "ticket-7"}
    waiting = asyncio.create_task(post(b"waiting", **keyed))
    await asyncio.sleep(0.5)
    assert (await system.rules.apply(rules_text(keys=()), 1)).returncode == 0
    answers = await asyncio.gather(*first, waiting)

    async def idle() -> bool:
        applied = await system.ask(f"http://{system.address_by_name['archive-1']}", "GET", "/idle")
        return applied.status == 200

    await wait_until(idle, "the first tickets to end")
    assert {answer.error()["reason"] for answer in answers} == {"key_withdrawn"}
    assert [call["body"] for call in await calls() if call["method"] == "POST"] == ["first"] * 2
