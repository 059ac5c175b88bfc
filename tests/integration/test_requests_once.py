"""Calls that run at most once, while entries are killed and connections hold or lose bytes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from integration.lone_system import Answer
from integration.processes import free_address, wait_until
from integration.proxy import FaultProxy, Mode
from integration.requests_system import RequestsSystem

PATH = "/v1/services/archive-app/tickets"
TICKET = b"bale 7, class 2, moisture 11"


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[RequestsSystem]:
    started = await RequestsSystem.started(tmp_path, 1, 2, silence_s=1.0, request_timeout_s=20.0)
    yield started
    started.stop_all()


async def post(system: RequestsSystem, url: str, key: str = "ticket-7") -> Answer:
    return await system.ask(url, "POST", PATH, {"Idempotency-Key": key}, data=TICKET)


async def runs(system: RequestsSystem) -> int:
    calls = (await system.log("tickets-1"))["calls"]
    return sum(call["ran"] for call in calls)


async def resend_until_final(system: RequestsSystem, entry: str) -> Answer:
    """Resend the call while the answer is `in_progress`, and return the final answer."""

    async def final() -> Answer | None:
        answer = await post(system, system.url(entry))
        if answer.status == 409 and answer.error()["reason"] == "in_progress":
            return None
        return answer

    return await wait_until(final, "a final answer")


async def kill_first_entry(system: RequestsSystem, pending: asyncio.Task[Answer]) -> None:
    """Kill e1 while it serves a caller, and restart it."""
    system.cluster.process_by_name["e1"].kill()
    with contextlib.suppress(aiohttp.ClientError):
        await pending
    system.cluster.start("e1")
    await system.cluster.wait_ready("e1")


async def test_entry_killed_after_the_claim(system: RequestsSystem) -> None:
    # A ticket's entry is killed after the claim was committed and while the request's bytes are in
    # transit to the service. The caller resends through another entry, then the late bytes arrive.
    # If the second entry had sent the ticket too, the bale would be paid twice.
    listen = free_address()
    proxy = await FaultProxy.in_front_of(listen)
    await system.start_endpoint("plain", "tickets-1", listen=listen, advertise=proxy.address)
    await proxy.set_modes(Mode.HOLD, Mode.PASS)
    pending = asyncio.create_task(post(system, system.url("e1")))
    await wait_until(lambda: proxy.links, "the bytes to leave the entry")
    await kill_first_entry(system, pending)

    answer = await resend_until_final(system, "e2")
    await proxy.set_modes(Mode.PASS, Mode.PASS)
    again = await resend_until_final(system, "e2")

    for refused in (answer, again):
        assert refused.error()["reason"] == "may_have_run"
        assert refused.error()["not_run"] is False
    assert await runs(system) <= 1
    await proxy.stop()


async def test_entry_killed_after_the_first_byte(system: RequestsSystem) -> None:
    # A ticket's entry is killed while the service runs the ticket; the caller resends through
    # another entry.
    await system.start_endpoint("plain", "tickets-1")
    await system.fault("tickets-1", answer_delay_s=2.0)
    pending = asyncio.create_task(post(system, system.url("e1")))

    async def running() -> bool:
        return await runs(system) == 1

    await wait_until(running, "the ticket to run")
    await kill_first_entry(system, pending)

    answer = await resend_until_final(system, "e2")

    assert answer.error()["reason"] == "may_have_run"
    assert answer.error()["not_run"] is False
    assert await runs(system) == 1


async def test_entry_killed_after_the_endpoints_answer(system: RequestsSystem) -> None:
    # The service has run and answered the ticket, and the entry is killed before the answer reaches
    # the caller.
    await system.start_endpoint("plain", "tickets-1")
    proxy = await FaultProxy.in_front_of(system.url("e1").removeprefix("http://"))
    await proxy.set_modes(Mode.PASS, Mode.SILENT)
    pending = asyncio.create_task(post(system, f"http://{proxy.address}"))

    async def answered() -> bool:
        return await runs(system) == 1

    await wait_until(answered, "the ticket to run")
    answer = await resend_until_final(system, "e2")
    await proxy.stop()
    await kill_first_entry(system, pending)
    again = [await resend_until_final(system, entry) for entry in ("e1", "e2")]

    assert answer.status == 200
    assert [resent.body for resent in again] == [answer.body, answer.body]
    assert await runs(system) == 1


async def test_service_gone_before_the_first_byte_is_truly_not_run(
    system: RequestsSystem,
) -> None:
    # The service refuses connections. The caller receives `not_run` and resends the ticket under
    # the same key after the service has restarted; the ticket must then run, without a new key.
    await system.start_endpoint("plain", "tickets-1")
    listen = system.address_by_name["tickets-1"]
    system.cluster.process_by_name["tickets-1"].kill()

    refused = await post(system, system.url("e1"))
    await system.start_endpoint("plain", "tickets-1", listen=listen)
    answer = await resend_until_final(system, "e2")

    assert refused.error()["not_run"] is True
    assert answer.status == 200
    assert await runs(system) == 1


async def test_key_used_for_another_call_is_a_conflict(system: RequestsSystem) -> None:
    await system.start_endpoint("plain", "tickets-1")
    await post(system, system.url("e1"))

    other = await system.ask(
        system.url("e2"), "POST", PATH, {"Idempotency-Key": "ticket-7"}, data=b"bale 8"
    )

    assert (other.status, other.error()["reason"]) == (409, "conflict")
    assert await runs(system) == 1


async def test_two_identical_fetches_run_once_and_are_billed_once(system: RequestsSystem) -> None:
    # A heat number is fetched twice under one idempotency key, through two entries at once. Both
    # fetches used to run and the foundry was billed twice; the same happened to a generation.
    await system.start_endpoint("plain", "tickets-1")
    await system.start_endpoint("engine", "scorer-1")
    key = {"Idempotency-Key": "heat-4711"}
    body = {"model": "scorer-lm", "prompt": "heat 4711", "max_tokens": 40, "stream": True}

    async def fetch(entry: str) -> Answer:
        path = "/v1/services/archive-app/heats/4711"
        return await system.ask(system.url(entry), "GET", path, key)

    async def generate(entry: str) -> Answer:
        headers = {"Idempotency-Key": "generation-4711"}
        return await system.ask(system.url(entry), "POST", "/v1/generate", headers, json=body)

    for ask in (fetch, generate):
        first = await asyncio.gather(ask("e1"), ask("e2"))
        assert sorted(answer.status for answer in first) in ([200, 409], [200, 200])

        async def stored(ask=ask) -> list[Answer] | None:
            answers = [await ask(entry) for entry in system.entries()]
            return answers if all(answer.status == 200 for answer in answers) else None

        later = await wait_until(stored, "the answer to be stored")
        bodies = {answer.body for answer in (*first, *later) if answer.status == 200}
        assert len(bodies) == 1

    async def billed() -> bool:
        return await system.usage() == {"archive-app": (0, 1), "scorer-lm": (40, 1)}

    assert await runs(system) == 1
    assert len((await system.log("scorer-1"))["requests"]) == 1
    await wait_until(billed, "one bill for each")
