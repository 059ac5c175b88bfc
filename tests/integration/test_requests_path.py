"""Requests through one entry; the only faults are bad input and callers that disconnect."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from integration.lone_system import KEY, MODEL, SERVICE, StandaloneEntrySystem, expected_tokens
from integration.processes import wait_until


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[StandaloneEntrySystem]:
    lone = StandaloneEntrySystem(tmp_path)
    await lone.start_entry(max_body_bytes=10_000)
    yield lone
    lone.stop_all()


async def test_a_streamed_generation_is_complete_and_labelled(
    system: StandaloneEntrySystem,
) -> None:
    await system.start_engine("scorer-1", version=7)

    answer = await system.generate("heat 4711", 32)

    assert answer.is_complete()
    assert answer.tokens() == expected_tokens("heat 4711", 32)
    assert {line["version"] for line in answer.lines[:-1]} == {7}
    assert answer.headers["X-Request-Id"] == answer.lines[0]["request_id"]


async def test_an_answer_that_is_not_streamed_lists_its_runs(system: StandaloneEntrySystem) -> None:
    await system.start_engine("scorer-1", version=7)

    answer = (await system.generate("heat 4711", 32, stream=False)).json()

    assert answer["tokens"] == expected_tokens("heat 4711", 32)
    assert answer["runs"] == [{"version": 7, "from": 0, "to": 32}]


async def test_no_endpoint_sees_a_key(system: StandaloneEntrySystem) -> None:
    await system.start_engine("scorer-1")
    await system.start_plain("archive-1")

    await system.generate("heat 4711", 4)
    call = await system.ask(
        "GET", f"/v1/services/{SERVICE}/find/47%2F11?year=26", {"X-Api-Key": KEY}
    )

    assert call.json()["path"] == "/find/47%2F11?year=26"
    assert "Set-Cookie" not in call.headers
    assert KEY not in json.dumps(await system.log("scorer-1"))
    assert KEY not in json.dumps(await system.log("archive-1"))


async def test_an_entry_adds_no_accept_encoding_header(system: StandaloneEntrySystem) -> None:
    # A client that does not accept compressed answers used to receive one, because the entry added
    # its own Accept-Encoding header.
    await system.start_plain("archive-1")

    await system.ask(
        "GET",
        f"/v1/services/{SERVICE}/find",
        {"X-Mill": "7"},
        skip_auto_headers=("Accept-Encoding",),
    )

    (call,) = (await system.log("archive-1"))["calls"]
    assert "accept-encoding" not in call["headers"]
    assert call["headers"]["x-mill"] == "7"


async def test_no_endpoint_left_is_answered_at_once(system: StandaloneEntrySystem) -> None:
    # The only service endpoint refuses connections, then is killed. The entry used to retry it in a
    # busy loop and answered no more requests.
    await system.start_plain("archive-1")
    await system.fault("archive-1", refuse=True)
    path = f"/v1/services/{SERVICE}/tickets"

    refused = await system.ask("POST", path, data=b"x")
    system.process_by_name["archive-1"].kill()

    async def removed() -> bool:
        answer = await system.ask("POST", path, data=b"x")
        return answer.error()["reason"] == "no_endpoint"

    assert refused.error()["reason"] == "endpoint_refused"
    await wait_until(removed, "the endpoint's record to expire")


async def test_correlation_id_is_forwarded_to_the_endpoint(system: StandaloneEntrySystem) -> None:
    await system.start_plain("archive-1")

    await system.ask("GET", f"/v1/services/{SERVICE}/find", {"X-Correlation-Id": "gate-3"})

    (call,) = (await system.log("archive-1"))["calls"]
    assert call["headers"]["x-correlation-id"] == "gate-3"
    assert call["headers"]["x-client-account"] == "stoke-foundry"


async def test_refusals_are_typed(system: StandaloneEntrySystem) -> None:
    wrong_key = await system.ask(
        "POST", "/v1/generate", {"Authorization": "Bearer wrong"}, json={"model": MODEL}
    )
    broken = await system.ask("POST", "/v1/generate", data=b"{")
    unknown = await system.generate("p", 4, model="no-such-model")
    nothing_serves = await system.generate("p", 4)
    too_large = await system.generate("p" * 20_000, 4)
    no_route = await system.ask("GET", "/v2/what")

    refused = [wrong_key, broken, unknown, nothing_serves, too_large]
    assert [(answer.status, answer.error()["reason"]) for answer in refused] == [
        (401, "unknown_key"),
        (400, "bad_request"),
        (404, "unknown_service"),
        (503, "no_endpoint"),
        (413, "too_large"),
    ]
    assert all(answer.error()["not_run"] for answer in refused)
    assert nothing_serves.headers["Retry-After"] == "1"
    assert (no_route.status, no_route.error()["not_run"]) == (404, True)


async def test_bad_input_leaves_the_daemon_serving(system: StandaloneEntrySystem) -> None:
    host, port = system.url.removeprefix("http://").split(":")
    raw = (b"not http at all\r\n\r\n", b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000 + b"\r\n\r\n")
    for sent in raw:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        assert b"400" in await reader.readline()
        writer.close()
    broken = await system.ask("POST", "/v1/announce", json={"endpoint": "", "service": "x"})
    invalid_record = {
        "endpoint": "e",
        "incarnation": 1,
        "sequence": 1,
        "service": "x",
        "role": "motor",
        "kind": "free",
        "data_centre": "derby",
        "address": "here:1",
    }
    invalid_fields = await system.ask("POST", "/v1/announce", json=invalid_record)

    assert broken.status == invalid_fields.status == 400
    for field in ("role", "kind", "address"):
        assert f"announcement.{field}" in invalid_fields.error()["message"]
    assert (await system.ask("GET", "/readyz")).status == 200


async def test_a_caller_that_leaves_ends_the_engines_work(system: StandaloneEntrySystem) -> None:
    await system.start_engine("scorer-1", tokens_per_s=40)
    body = {"model": MODEL, "prompt": "long", "max_tokens": 100_000, "stream": True}
    # Longer than the test waits, so that the work cannot end because of its deadline.
    body["deadline_s"] = 110
    headers = {"Authorization": f"Bearer {KEY}"}
    url = f"{system.url}/v1/generate"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body, headers=headers) as response:
            await response.content.readline()

    async def ended() -> bool:
        (request,) = (await system.log("scorer-1"))["requests"]
        return request["ended"] == "cancelled"

    await wait_until(ended, "the engine to cancel the request")


async def test_planned_stop_breaks_no_stream(system: StandaloneEntrySystem) -> None:
    await system.start_engine("scorer-1", tokens_per_s=40)
    running = asyncio.create_task(system.generate("long", 100))

    async def started() -> bool:
        return bool((await system.log("scorer-1"))["requests"])

    await wait_until(started, "the stream to run")
    exit_code = await system.process_by_name["entry"].terminate()
    answer = await running

    assert exit_code == 0
    assert answer.is_complete()
    assert answer.tokens() == expected_tokens("long", 100)
