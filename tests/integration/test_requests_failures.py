"""Requests while engines crash, answers are swapped and connections stop delivering bytes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from integration.lone_system import KEY, MODEL, SERVICE, StandaloneEntrySystem, expected_tokens
from integration.processes import free_address, wait_until
from integration.proxy import FaultProxy, Mode

PROMPT = "heat 4711"


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[StandaloneEntrySystem]:
    lone = StandaloneEntrySystem(tmp_path)
    await lone.start_entry(silence_s=0.5, caller_silence_s=3.0)
    yield lone
    lone.stop_all()


async def proxied(
    system: StandaloneEntrySystem, kind: str, name: str, **options: object
) -> FaultProxy:
    """Start an endpoint that announces the address of a fault-injecting proxy as its own."""
    listen = free_address()
    proxy = await FaultProxy.in_front_of(listen)
    start = system.start_engine if kind == "engine" else system.start_plain
    await start(name, listen=listen, advertise=proxy.address, **options)
    return proxy


async def wait_generated(system: StandaloneEntrySystem, name: str, tokens: int) -> None:
    """Wait until an engine has generated at least `tokens` tokens over all requests."""

    async def made() -> bool:
        requests = (await system.log(name))["requests"]
        return sum(request["made"] for request in requests) >= tokens

    await wait_until(made, f"{name} to generate {tokens} tokens")


async def test_an_engine_that_dies_in_mid_stream_costs_its_caller_nothing(system) -> None:
    # An engine crashes after 40 of 200 tokens. The caller's stream used to end there, so that the
    # caller took it for complete, or repeated the request and paid twice. The stream must continue
    # on another engine at the next token.
    await system.start_engine("scorer-1")
    await system.fault("scorer-1", crash_after=40)
    answering = asyncio.create_task(system.generate(PROMPT, 200))
    await wait_until(lambda: not system.process_by_name["scorer-1"].alive(), "the crash")
    await system.start_engine("scorer-2")

    answer = await answering

    assert answer.is_complete()
    assert answer.tokens() == expected_tokens(PROMPT, 200)
    (request,) = (await system.log("scorer-2"))["requests"]
    assert request["resumed_at"] >= 36
    assert request["made"] == 200 - request["resumed_at"]


async def test_a_stream_that_no_engine_can_finish_ends_with_an_error(system) -> None:
    # The only engine always ends its stream without the end mark. The caller's stream used to end
    # without an error, and the caller stored a truncated answer as a complete one.
    await system.start_engine("scorer-1", tokens_per_s=100)
    await system.fault("scorer-1", no_end_mark=True)

    answer = await system.generate(PROMPT, 40)

    assert not answer.is_complete()
    assert answer.lines[-1]["error"]["not_run"] is False
    assert answer.tokens() == expected_tokens(PROMPT, 40)


async def test_a_prompt_that_kills_engines_does_not_kill_them_all(system) -> None:
    # A prompt crashes every engine that runs it. Retried on all engines, it crashed the complete
    # fleet and broke all other callers' streams.
    for number in range(5):
        await system.start_engine(f"scorer-{number}")
        await system.fault(f"scorer-{number}", crash_after=0)

    answer = await system.generate(PROMPT, 40)

    alive = [name for name, process in system.process_by_name.items() if process.alive()]
    assert len(alive) - 1 >= 2
    assert not answer.is_complete()


async def test_a_repeated_prompt_that_kills_engines_does_not_kill_them_all(system) -> None:
    # The bound on tries belongs to one request. Its caller's repetition begins at zero and crashes
    # three more engines; three of them are needed to know the prompt, and three more may follow.
    for number in range(8):
        await system.start_engine(f"scorer-{number}")
        await system.fault(f"scorer-{number}", crash_after=0)

    for _ in range(3):
        answer = await system.generate(PROMPT, 40)
        assert not answer.is_complete()

    alive = [name for name, process in system.process_by_name.items() if process.alive()]
    assert len(alive) - 1 >= 2


async def test_crossed_answers_reach_nobody(system) -> None:
    # An endpoint swaps the answers of two requests. A caller used to receive another mill's
    # certificate as its own.
    await system.start_engine("scorer-1")
    await system.start_plain("archive-1")
    await system.fault("scorer-1", cross=1)
    await system.fault("archive-1", cross=1)

    stream = await system.generate(PROMPT, 40)
    await system.fault("scorer-1", cross_line_at=16)
    swapped_mid_stream = await system.generate(PROMPT, 40)
    lookup_answer = await system.ask("GET", f"/v1/services/{SERVICE}/find")
    await system.fault("archive-1", cross=1)
    ticket_answer = await system.ask("POST", f"/v1/services/{SERVICE}/tickets", data=b"bale 7")

    assert stream.tokens() == expected_tokens(PROMPT, 40)
    assert swapped_mid_stream.tokens() == expected_tokens(PROMPT, 40)
    assert lookup_answer.status == 200
    assert ticket_answer.status == 502
    assert ticket_answer.error()["reason"] == "mismatched_answer"
    assert ticket_answer.error()["not_run"] is False
    posted = [call for call in (await system.log("archive-1"))["calls"] if call["method"] == "POST"]
    assert len(posted) == 1


async def test_an_answer_after_its_timeout_is_nobody_elses(system) -> None:
    # A ticket takes longer than its time limit. Its late answer used to arrive on a connection that
    # meanwhile served another request.
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
    next_answer = await system.ask("POST", f"/v1/services/{SERVICE}/tickets", body, data=b"own")

    assert next_answer.json()["echo"] == "own"
    assert (await late).json()["echo"] == "late"


async def test_a_stream_whose_connection_goes_silent_is_resumed(system) -> None:
    # During a stream the network path drops the state of the connection: the connection stays open
    # and delivers nothing, while new connections work. The caller used to wait forever although the
    # engine had finished.
    proxy = await proxied(system, "engine", "scorer-1", tokens_per_s=100)
    answering = asyncio.create_task(system.generate(PROMPT, 100))
    await wait_generated(system, "scorer-1", 20)

    await proxy.set_modes_of_open(Mode.PASS, Mode.SILENT)
    answer = await asyncio.wait_for(answering, 60)

    assert answer.is_complete()
    assert answer.tokens() == expected_tokens(PROMPT, 100)
    requests = (await system.log("scorer-1"))["requests"]
    assert requests[-1]["resumed_at"] >= 16
    await proxy.stop()


async def test_a_connection_that_went_silent_at_idle_is_not_used_again(system) -> None:
    # A connection stops delivering bytes between two requests. The next ticket used to be sent on
    # it, so that the caller waited for its timeout and received `may_have_run`, although new
    # connections worked.
    proxy = await proxied(system, "plain", "archive-1")
    path = f"/v1/services/{SERVICE}/tickets"
    await system.ask("POST", path, data=b"first")
    await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)

    answer = await asyncio.wait_for(system.ask("POST", path, data=b"second"), 30)

    assert answer.json()["echo"] == "second"
    await proxy.stop()


async def test_a_lookup_that_hangs_is_answered_elsewhere(system) -> None:
    # The connections to one endpoint stop delivering bytes. A lookup must be answered by another
    # endpoint, which responds at once, because callers are waiting.
    proxy = await proxied(system, "plain", "archive-1")
    await proxy.silence()
    await system.start_plain("archive-2")
    path = f"/v1/services/{SERVICE}/find"

    answers = [await asyncio.wait_for(system.ask("GET", path), 60) for _ in range(6)]

    assert {answer.status for answer in answers} == {200}
    assert {answer.json()["by"] for answer in answers} == {"archive-2"}
    await proxy.stop()


async def test_a_generation_continues_on_another_engine_after_a_stall(system) -> None:
    # An engine still answers status requests but generates no more tokens. A trainer's step
    # used to wait for that engine; its requests must continue on another engine.
    await system.start_engine("scorer-1", tokens_per_s=100)
    answering = asyncio.create_task(system.generate(PROMPT, 100))
    await wait_generated(system, "scorer-1", 20)
    await system.fault("scorer-1", stall=True)
    await system.start_engine("scorer-2")

    answer = await asyncio.wait_for(answering, 60)

    assert answer.is_complete()
    assert answer.tokens() == expected_tokens(PROMPT, 100)
    (resumed,) = (await system.log("scorer-2"))["requests"]
    assert resumed["resumed_at"] >= 16


async def test_a_caller_that_stops_reading_ends_the_engines_work(system) -> None:
    # The network path drops the state of a caller's connection: the connection stays open and
    # accepts no more bytes. The engine used to continue without a reader, which occupied a slot and
    # was billed to the client account.
    await system.start_engine("scorer-1", tokens_per_s=200_000)
    proxy = await FaultProxy.in_front_of(system.url.removeprefix("http://"))
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


async def test_a_caller_that_sends_a_partial_request_is_disconnected(system) -> None:
    # Connections that send a partial request and then nothing would use up an entry's connections
    # until it accepts no more.
    host, port = system.url.removeprefix("http://").split(":")
    head = f"POST /v1/generate HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    partial_requests = (b"POST /v1/gen", f"{head}Content-Length: 50\r\n\r\n{{".encode())
    connections = [await asyncio.open_connection(host, int(port)) for _ in partial_requests]
    for (_, writer), partial_request in zip(connections, partial_requests, strict=True):
        writer.write(partial_request)

    answers = [await asyncio.wait_for(reader.read(), 60) for reader, _ in connections]

    assert answers[0] == b""
    assert b'"not_run":true' in answers[1]
    for _, writer in connections:
        writer.close()


async def test_a_broken_connection_repeats_nothing(system: StandaloneEntrySystem) -> None:
    # A ticket is deleted, and the connection breaks before the answer. The HTTP client library
    # treated DELETE and PUT as repeatable and resent them, so that the next ticket was deleted too.
    await system.start_plain("archive-1")
    await system.fault("archive-1", drop_answer=True)
    methods = ("POST", "PUT", "DELETE", "PATCH", "OPTIONS")

    answers = [await system.ask(method, f"/v1/services/{SERVICE}/last") for method in methods]

    calls = (await system.log("archive-1"))["calls"]
    assert [call["method"] for call in calls] == list(methods)
    assert [answer.error()["not_run"] for answer in answers] == [False] * len(methods)


async def test_not_run_matches_whether_the_endpoint_ran_the_request(system) -> None:
    # Compares `not_run` of each refusal with the calls that the endpoint itself logged as run.
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
    unreachable = await system.ask("POST", path, data=b"gone")
    assert unreachable.error()["not_run"] is True
