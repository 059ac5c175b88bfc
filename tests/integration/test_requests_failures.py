"""Requests while engines crash, answers cross and connections go silent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from integration.lone_system import KEY, MODEL, SERVICE, LoneSystem, expected_tokens
from integration.processes import free_address, wait_until
from integration.proxy import FaultProxy, Mode

PROMPT = "heat 4711"


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[LoneSystem]:
    lone = LoneSystem(tmp_path)
    await lone.start_entry(silence_s=0.5, caller_silence_s=3.0)
    yield lone
    lone.stop_all()


async def proxied(system: LoneSystem, kind: str, name: str, **options: object) -> FaultProxy:
    """Start an endpoint that announces the address of a proxy before it."""
    listen = free_address()
    proxy = await FaultProxy.before(listen)
    start = system.start_engine if kind == "engine" else system.start_plain
    await start(name, listen=listen, advertise=proxy.address, **options)
    return proxy


async def wait_made(system: LoneSystem, name: str, tokens: int) -> None:
    """Wait until an engine made so many tokens in all."""

    async def made() -> bool:
        requests = (await system.log(name))["requests"]
        return sum(request["made"] for request in requests) >= tokens

    await wait_until(made, f"{name} to make {tokens} tokens")


async def test_an_engine_that_dies_in_mid_stream_costs_its_caller_nothing(system) -> None:
    # An engine crashes after 40 tokens of 200. The caller saw its stream end there, took it for
    # whole or asked again and paid twice. The answer goes on elsewhere, at the next token.
    await system.start_engine("scorer-1")
    await system.fault("scorer-1", crash_after=40)
    answering = asyncio.create_task(system.generate(PROMPT, 200))
    await wait_until(lambda: not system.process_by_name["scorer-1"].alive(), "the crash")
    await system.start_engine("scorer-2")

    answer = await answering

    assert answer.whole()
    assert answer.tokens() == expected_tokens(PROMPT, 200)
    (request,) = (await system.log("scorer-2"))["requests"]
    assert request["resumed_at"] >= 36
    assert request["made"] == 200 - request["resumed_at"]


async def test_a_stream_that_no_engine_can_finish_says_so(system) -> None:
    # The only engine stops in mid-stream for good. The caller's stream just ended, and it stored
    # half an answer as a whole one.
    await system.start_engine("scorer-1", tokens_per_s=100)
    await system.fault("scorer-1", no_end_mark=True)

    answer = await system.generate(PROMPT, 40)

    assert not answer.whole()
    assert answer.lines[-1]["error"]["not_run"] is False
    assert answer.tokens() == expected_tokens(PROMPT, 40)


async def test_a_prompt_that_kills_engines_does_not_kill_them_all(system) -> None:
    # A prompt makes every engine that works on it crash at once. Retried everywhere, it took the
    # whole fleet down and with it all other callers' streams.
    for number in range(5):
        await system.start_engine(f"scorer-{number}")
        await system.fault(f"scorer-{number}", crash_after=0)

    answer = await system.generate(PROMPT, 40)

    alive = [name for name, process in system.process_by_name.items() if process.alive()]
    assert len(alive) - 1 >= 2
    assert not answer.whole()


async def test_crossed_answers_reach_nobody(system) -> None:
    # Two answers are crossed at an endpoint. A caller read another mill's certificate as its own.
    await system.start_engine("scorer-1")
    await system.start_plain("archive-1")
    await system.fault("scorer-1", cross=1)
    await system.fault("archive-1", cross=1)

    stream = await system.generate(PROMPT, 40)
    await system.fault("scorer-1", cross_line_at=16)
    crossed_later = await system.generate(PROMPT, 40)
    lookup = await system.ask("GET", f"/v1/services/{SERVICE}/find")
    await system.fault("archive-1", cross=1)
    ticket = await system.ask("POST", f"/v1/services/{SERVICE}/tickets", data=b"bale 7")

    assert stream.tokens() == expected_tokens(PROMPT, 40)
    assert crossed_later.tokens() == expected_tokens(PROMPT, 40)
    assert lookup.status == 200
    assert ticket.status == 502
    assert ticket.error()["reason"] == "mismatched_answer"
    assert ticket.error()["not_run"] is False
    posted = [call for call in (await system.log("archive-1"))["calls"] if call["method"] == "POST"]
    assert len(posted) == 1


async def test_an_answer_after_its_timeout_is_nobody_elses(system) -> None:
    # A ticket takes longer than its caller may wait and is given up. Its answer came later, on a
    # connection that another request had been given meanwhile.
    await system.start_plain("archive-1")
    await system.fault("archive-1", answer_delay_s=1.5)
    body = {"Content-Type": "text/plain"}
    late = asyncio.create_task(
        system.ask("POST", f"/v1/services/{SERVICE}/tickets", body, data=b"late")
    )

    async def arrived() -> bool:
        return bool((await system.log("archive-1"))["calls"])

    await wait_until(arrived, "the ticket to arrive")
    await system.fault("archive-1", answer_delay_s=0)
    own = await system.ask("POST", f"/v1/services/{SERVICE}/tickets", body, data=b"own")

    assert own.json()["echo"] == "own"
    assert (await late).json()["echo"] == "late"


async def test_a_stream_whose_connection_goes_silent_is_resumed(system) -> None:
    # In mid-stream something between the ends forgets the connection: it stays open, and nothing
    # comes. New connections work. The caller waited for ever while the engine had long finished.
    proxy = await proxied(system, "engine", "scorer-1", tokens_per_s=100)
    answering = asyncio.create_task(system.generate(PROMPT, 100))
    await wait_made(system, "scorer-1", 20)

    await proxy.set_modes_of_open(Mode.PASS, Mode.SILENT)
    answer = await asyncio.wait_for(answering, 60)

    assert answer.whole()
    assert answer.tokens() == expected_tokens(PROMPT, 100)
    requests = (await system.log("scorer-1"))["requests"]
    assert requests[-1]["resumed_at"] >= 16
    await proxy.stop()


async def test_a_connection_that_went_silent_at_idle_is_not_used_again(system) -> None:
    # A connection went silent between two requests. The next ticket was sent on it: the caller
    # waited for its timeout and was told that the ticket may have run, though new ones worked.
    proxy = await proxied(system, "plain", "archive-1")
    path = f"/v1/services/{SERVICE}/tickets"
    await system.ask("POST", path, data=b"first")
    await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)

    answer = await asyncio.wait_for(system.ask("POST", path, data=b"second"), 30)

    assert answer.json()["echo"] == "second"
    await proxy.stop()


async def test_a_lookup_that_hangs_is_answered_elsewhere(system) -> None:
    # A lookup's connection goes silent while auditors wait at the gate. Others work at once.
    proxy = await proxied(system, "plain", "archive-1")
    await proxy.silence()
    await system.start_plain("archive-2")
    path = f"/v1/services/{SERVICE}/find"

    answers = [await asyncio.wait_for(system.ask("GET", path), 60) for _ in range(6)]

    assert {answer.status for answer in answers} == {200}
    assert {answer.json()["by"] for answer in answers} == {"archive-2"}
    await proxy.stop()


async def test_an_engine_that_stands_still_is_left(system) -> None:
    # An engine answers every question and makes no tokens any more. The step waits for it.
    await system.start_engine("scorer-1", tokens_per_s=100)
    answering = asyncio.create_task(system.generate(PROMPT, 100))
    await wait_made(system, "scorer-1", 20)
    await system.fault("scorer-1", stall=True)
    await system.start_engine("scorer-2")

    answer = await asyncio.wait_for(answering, 60)

    assert answer.whole()
    assert answer.tokens() == expected_tokens(PROMPT, 100)
    (resumed,) = (await system.log("scorer-2"))["requests"]
    assert resumed["resumed_at"] >= 16


async def test_a_caller_that_takes_nothing_ends_the_engines_work(system) -> None:
    # A caller's connection is forgotten on its way: it stays open and takes nothing more. The
    # engine worked on for nobody, its slot was taken and the client account paid.
    await system.start_engine("scorer-1", tokens_per_s=200_000)
    proxy = await FaultProxy.before(system.url.removeprefix("http://"))
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 1_000_000, "stream": True}
    headers = {"Authorization": f"Bearer {KEY}"}
    async with aiohttp.ClientSession() as session:
        url = f"http://{proxy.address}/v1/generate"
        async with session.post(url, json=body, headers=headers) as response:
            await response.content.readline()
            await proxy.set_modes(Mode.HOLD, Mode.HOLD)

            async def ended() -> bool:
                (request,) = (await system.log("scorer-1"))["requests"]
                return request["ended"] in ("cancelled", "broken")

            await wait_until(ended, "the engine's work to end")
    await proxy.stop()


async def test_a_caller_that_sends_half_a_request_is_let_go(system) -> None:
    # Connections that send half a request and then nothing fill an entry until it takes no more.
    host, port = system.url.removeprefix("http://").split(":")
    head = f"POST /v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    halves = (b"POST /v1/gen", f"{head}Content-Length: 50\r\n\r\n{{".encode())
    connections = [await asyncio.open_connection(host, int(port)) for _ in halves]
    for (_, writer), half in zip(connections, halves, strict=True):
        writer.write(half)

    answers = [await asyncio.wait_for(reader.read(), 60) for reader, _ in connections]

    assert answers[0] == b""
    assert b'"not_run":true' in answers[1]
    for _, writer in connections:
        writer.close()


async def test_a_broken_connection_repeats_nothing(system: LoneSystem) -> None:
    # A ticket is deleted, and the connection breaks before the answer. The client library took
    # DELETE and PUT for repeatable and sent them again by itself: the next ticket went as well.
    await system.start_plain("archive-1")
    await system.fault("archive-1", drop_answer=True)
    methods = ("POST", "PUT", "DELETE", "PATCH", "OPTIONS")

    answers = [await system.ask(method, f"/v1/services/{SERVICE}/last") for method in methods]

    calls = (await system.log("archive-1"))["calls"]
    assert [call["method"] for call in calls] == list(methods)
    assert [answer.error()["not_run"] for answer in answers] == [False] * len(methods)


async def test_not_run_is_said_only_when_it_is_true(system) -> None:
    # Each refusal is held against what the endpoint itself logged.
    await system.start_plain("archive-1")
    path = f"/v1/services/{SERVICE}/tickets"
    faults = ({"refuse": True}, {"refuse": False, "drop_answer": True})
    for fault in faults:
        await system.fault("archive-1", **fault)
        answer = await system.ask("POST", path, data=str(fault).encode())
        calls = (await system.log("archive-1"))["calls"]
        ran = sum(call["ran"] for call in calls if call["body"] == str(fault))
        assert answer.status >= 500
        assert answer.error()["not_run"] == (ran == 0)
        assert ran <= 1
    system.process_by_name["archive-1"].kill()
    gone = await system.ask("POST", path, data=b"gone")
    assert gone.error()["not_run"] is True
