from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest
from unit.gateway.test_forward import (
    LOOKUP_ROUTE,
    PAYMENT_ROUTE,
    forwarder_to,
    response_bytes,
)
from unit.gateway.test_forward import REQUEST as LOOKUP_REQUEST

from fakes.scripted_endpoint import RESET, scripted
from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.routes import Share
from ibisspring_decisions.hedging import HedgeDelays

ROUTE = replace(LOOKUP_ROUTE, timeout_s=2.4, target_s=0.2)
REQUEST = replace(LOOKUP_REQUEST, remaining_s=2.4)
REJECTED = response_bytes(b"", 503, "Id: r1\r\nTurned-Away: 1\r\n")
FAILED = response_bytes(b"sorry", 500)


@asynccontextmanager
async def dark_endpoint():
    """Run an endpoint that answers no SYN: its queue of new connections is full."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        fillers.append(filler)
    try:
        yield SimpleNamespace(address=f"{address[0]}:{address[1]}")
    finally:
        for filler in fillers:
            filler.close()
        listener.close()


def repeating(forwarder) -> None:
    forwarder._repeats = True


def answers(*scripts):
    """Return a script that gives one answer after the other, and the last one from then on."""
    left = list(scripts)

    def script(head: str) -> list:
        return left.pop(0) if len(left) > 1 else left[0]

    return script


async def timed_forward(forwarder, route=ROUTE, request=REQUEST):
    started_at = boot_now()
    answer = await forwarder.forward(request, route)
    return answer, boot_now() - started_at


@pytest.mark.parametrize("failure", [REJECTED, FAILED], ids=["full", "failed"])
async def test_request_is_repeated_after_both_endpoints_failed_it(failure) -> None:
    # Both endpoints that the request may reach are full, or fail a part of their requests. With
    # two attempts, the caller gets an error 80 ms after its request, 1.4 s before its deadline.
    script = answers([failure], [response_bytes()])
    async with (
        scripted(script) as first,
        scripted(lambda head: [failure]) as second,
        forwarder_to(first, second) as forwarder,
    ):
        repeating(forwarder)
        answer, _ = await timed_forward(forwarder)

        assert (answer.status, answer.body) == (200, b"whole")


@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
@pytest.mark.parametrize("max_attempts", [1, 2])
async def test_request_on_a_connection_that_is_just_being_closed_is_repeated(
    method, max_attempts
) -> None:
    # The endpoint closes an idle connection at the moment in which a request is sent on it. The
    # HTTP client does not resend the request, and no other endpoint is there.
    script = answers([response_bytes()], [RESET], [response_bytes()])
    route = replace(ROUTE, max_attempts=max_attempts)
    async with scripted(script) as endpoint, forwarder_to(endpoint) as forwarder:
        repeating(forwarder)
        await forwarder.forward(replace(REQUEST, method=method), route)
        answer, took_s = await timed_forward(forwarder, route, replace(REQUEST, method=method))

    assert answer.status == 200
    assert took_s < 0.5
    assert [head.split()[0] for head in endpoint.request_heads] == [method] * 3


async def test_request_reaches_no_more_endpoints_than_the_route_allows() -> None:
    async with (
        scripted(lambda head: [FAILED]) as first,
        scripted(lambda head: [FAILED]) as second,
        scripted(lambda head: [FAILED]) as third,
        forwarder_to(first, second, third) as forwarder,
    ):
        repeating(forwarder)
        answer, took_s = await timed_forward(forwarder)

        attempts = [len(one.request_heads) for one in (first, second, third)]
        assert answer.status == 500
        assert sorted(attempts)[0] == 0
        assert sum(attempts) > 2
        # The rest of the time is for the caller's own repetition at another entry.
        assert took_s < 0.5 * ROUTE.timeout_s


async def test_endpoints_that_cannot_be_reached_do_not_use_up_the_attempts() -> None:
    # Two of three endpoints are without power. Both attempts of the route end without a connection
    # after half a second each, and the third endpoint is never asked.
    async with dark_endpoint() as first, dark_endpoint() as second:
        async with scripted(lambda head: [response_bytes()]) as healthy:
            async with forwarder_to(first, second, healthy) as forwarder:
                repeating(forwarder)
                # The router prefers the endpoints with less work: the dark ones.
                forwarder._in_flight_by_endpoint["e2"] = 6
                answer, took_s = await timed_forward(forwarder)

    assert getattr(answer, "status", answer) == 200
    # Less than the time in which one connection times out by default.
    assert took_s < 0.5


async def test_request_that_no_connection_was_opened_for_is_refused_as_not_run() -> None:
    async with dark_endpoint() as dark, forwarder_to(dark) as forwarder:
        repeating(forwarder)
        answer, took_s = await timed_forward(forwarder)

    assert (answer.reason, answer.not_run) == (Reason.ENDPOINT_FAILED, True)
    assert took_s < 0.6 * ROUTE.timeout_s


async def test_request_waits_for_an_endpoint_to_appear() -> None:
    # All endpoints of a service restart. A refusal at once would use up the caller's only
    # repetition before the first endpoint is back.
    async with scripted(lambda head: [response_bytes()]) as back:
        async with forwarder_to(back) as forwarder:
            repeating(forwarder)
            serving, forwarder.view.serving = forwarder.view.serving, lambda service: ()

            async def return_later() -> None:
                await asyncio.sleep(0.3)
                forwarder.view.serving = serving

            returning = asyncio.create_task(return_later())
            answer, took_s = await timed_forward(forwarder)
            await returning

    assert answer.status == 200
    assert 0.3 <= took_s < 0.6


async def test_request_without_an_endpoint_is_handed_back_with_time_for_a_repetition() -> None:
    async with forwarder_to() as forwarder:
        repeating(forwarder)
        answer, took_s = await timed_forward(forwarder)

    assert (answer.reason, answer.not_run) == (Reason.NO_ENDPOINT, True)
    assert answer.retry_after_s
    assert took_s < 0.5 * ROUTE.timeout_s


async def test_repetition_of_a_caller_uses_the_rest_of_its_time() -> None:
    # The caller has already repeated the request elsewhere: half of its time is over.
    request = replace(REQUEST, remaining_s=1.2)
    async with forwarder_to() as forwarder:
        repeating(forwarder)
        _, took_s = await timed_forward(forwarder, request=request)

    assert 1.1 < took_s < 1.45


async def test_request_for_an_evacuated_place_is_refused_at_once() -> None:
    async with scripted(lambda head: [response_bytes()]) as endpoint:
        async with forwarder_to(endpoint) as forwarder:
            repeating(forwarder)
            forwarder.view.view = replace(forwarder.view.view, evacuated=("derby",))
            answer, took_s = await timed_forward(forwarder)

    assert (answer.reason, answer.not_run) == (Reason.EVACUATED, True)
    assert took_s < 0.1


@asynccontextmanager
async def endpoint_with_silent_connections(is_silent):
    """Run an endpoint whose connections go silent once `is_silent` returns True; new ones work."""
    opened: list[bool] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.append(is_silent())
        opened_in_silence = opened[-1]
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(REQUEST.body))
                if opened_in_silence or not is_silent():
                    await asyncio.sleep(0.02)
                    writer.write(response_bytes())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield SimpleNamespace(address=f"{host}:{port}", opened=opened)
    finally:
        server.close()


async def test_silent_connections_are_replaced_by_new_ones() -> None:
    # A device between the entry and its endpoints has lost its state: all open connections are
    # silent, new ones work. The pool holds several idle connections to each endpoint.
    silent = False
    async with (
        endpoint_with_silent_connections(lambda: silent) as first,
        endpoint_with_silent_connections(lambda: silent) as second,
        forwarder_to(first, second) as forwarder,
    ):
        repeating(forwarder)
        await asyncio.gather(*(forwarder.forward(REQUEST, ROUTE) for _ in range(12)))
        assert min(len(first.opened), len(second.opened)) > 2
        # On a busy machine, the requests so far may have used up the budget.
        forwarder.delays = HedgeDelays.from_defaults()
        silent = True
        answer, took_s = await timed_forward(forwarder)

        assert answer.status == 200
        assert took_s < 0.25 * ROUTE.timeout_s


async def test_late_answer_of_the_first_endpoint_is_used() -> None:
    # The first endpoint is slow and answers after 0.9 s; the second one fails at once.
    async with (
        scripted(lambda head: [0.9, response_bytes(b"late")]) as slow,
        scripted(lambda head: [FAILED]) as failing,
        forwarder_to(slow, failing) as forwarder,
    ):
        repeating(forwarder)
        forwarder.suspects.mark("e1", boot_now())
        answer, _ = await timed_forward(forwarder)

        assert getattr(answer, "body", answer) == b"late"


async def test_service_of_a_share_without_endpoints_is_replaced_by_another_one() -> None:
    # A route is split over two services, and all endpoints of one of them are lost.
    route = replace(ROUTE, shares=(Share("lost", 99.0), Share("archive", 1.0), Share("off", 0.0)))
    async with scripted(lambda head: [response_bytes()]) as endpoint:
        async with forwarder_to(endpoint) as forwarder:
            repeating(forwarder)
            serving = forwarder.view.serving
            forwarder.view.serving = lambda name: serving(name) if name == "archive" else ()
            answer, took_s = await timed_forward(forwarder, route)

    assert answer.status == 200
    assert took_s < 0.2


@pytest.mark.parametrize("trouble", [[FAILED], [30.0]], ids=["failing", "silent"])
async def test_endpoint_in_trouble_is_avoided_by_the_next_requests(trouble) -> None:
    async with (
        scripted(lambda head: trouble) as bad,
        scripted(lambda head: [response_bytes()]) as healthy,
        forwarder_to(bad, healthy) as forwarder,
    ):
        repeating(forwarder)
        for _ in range(16):
            await forwarder.forward(REQUEST, ROUTE)

        assert len(bad.request_heads) <= 1


async def test_requests_that_may_run_once_are_neither_hedged_nor_repeated() -> None:
    async with (
        scripted(lambda head: [0.5, FAILED]) as first,
        scripted(lambda head: [0.5, FAILED]) as second,
        forwarder_to(first, second) as forwarder,
    ):
        repeating(forwarder)
        answer, _ = await timed_forward(forwarder, PAYMENT_ROUTE)

        assert answer.status == 500
        assert len(first.request_heads) + len(second.request_heads) == 1


async def test_time_over_is_told_as_may_have_run() -> None:
    async with scripted(lambda head: [30.0]) as frozen, forwarder_to(frozen) as forwarder:
        repeating(forwarder)
        answer, took_s = await timed_forward(forwarder)

    assert answer == Refusal(Reason.TIMEOUT, False, None)
    assert ROUTE.timeout_s <= took_s < ROUTE.timeout_s + 0.25


async def test_attempts_stop_when_the_budget_is_used_up() -> None:
    # All endpoints fail every request. Repeating each request until its deadline would multiply
    # the load of the service.
    async with scripted(lambda head: [FAILED]) as endpoint, forwarder_to(endpoint) as forwarder:
        repeating(forwarder)
        await asyncio.gather(*(forwarder.forward(REQUEST, ROUTE) for _ in range(40)))

        assert len(endpoint.request_heads) <= 40 + 10 + 0.2 * 40 + 2


async def test_request_that_two_frozen_endpoints_hold_is_handed_back_for_a_third() -> None:
    # Two of three endpoints are frozen and hold the request, which may reach no third one. The
    # caller's repetition may, if it still has time.
    async with (
        scripted(lambda head: [30.0]) as first,
        scripted(lambda head: [30.0]) as second,
        scripted(lambda head: [response_bytes()]) as healthy,
        forwarder_to(first, second, healthy) as forwarder,
    ):
        repeating(forwarder)
        forwarder.suspects.mark("e2", boot_now())
        answer, took_s = await timed_forward(forwarder)
        await asyncio.sleep(0.05)
        # The frozen endpoints must not work on it as well once they wake.
        assert sum(forwarder._in_flight_by_endpoint.values()) == 0
        forwarder.suspects.clear("e2")
        repetition = replace(REQUEST, remaining_s=ROUTE.timeout_s - took_s)
        repeated, _ = await timed_forward(forwarder, request=repetition)

        assert (answer.reason, answer.not_run) == (Reason.TIMEOUT, False)
        assert took_s < 0.5 * ROUTE.timeout_s
        assert repeated.status == 200
