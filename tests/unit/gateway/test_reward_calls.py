from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from unit.gateway.test_forward import _Wire, answer, forwarder_to

from fakes.scripted_endpoint import scripted
from ibisspring_core.clock import boot_now
from ibisspring_core.messages.jobs import RewardCall
from ibisspring_core.routes import RepeatRule, Route, RouteTable, ServiceTerms, Share
from ibisspring_core.routes.index import RouteIndex
from ibisspring_gateway.reward_calls import RewardCalls, Unscored
from ibisspring_gateway.wire import CallerRequest

CALL = RewardCall("r1", "ledger", "/sync/7", b"body")
LEDGER = Route(
    name="ledger-sync",
    host="ledger",
    prefix="/sync/",
    repeat=RepeatRule.IDEMPOTENT,
    shares=(Share("archive", 1.0),),
    timeout_s=3.0,
    target_s=0.2,
    max_attempts=2,
)
GOOD = answer(head="Id: r1\r\nScore: 0.7\r\n")
FAILS = answer(status=500, head="Id: r1\r\nScore: 0.7\r\n")
FULL = answer(status=503, head="Id: r1\r\nTurned-Away: yes\r\n")


class _RewardWire(_Wire):
    def reward_request(self, call, left_s):
        headers = (("Host", call.host), ("Id", call.request))
        return CallerRequest(call.request, "POST", call.path, headers, call.body, "", left_s)

    def score(self, headers):
        return {name.lower(): value for name, value in headers}.get("score", "")


def table(*routes: Route) -> RouteIndex:
    return RouteIndex(RouteTable(1, routes, (ServiceTerms("archive", 100),)))


@asynccontextmanager
async def calls_to(*endpoints, index=None):
    calls = RewardCalls()
    known = index if index is not None else table(LEDGER)
    wire = _RewardWire()
    async with forwarder_to(*endpoints, index=known, wire=wire, users=(calls,)) as forwarder:
        calls.view = forwarder.view
        yield calls


async def test_the_score_is_that_of_a_whole_answer() -> None:
    async with scripted(lambda head: [GOOD]) as endpoint, calls_to(endpoint) as calls:
        assert await calls.score(CALL, 3, boot_now() + 30.0) == "0.7"

    assert "POST /sync/7" in endpoint.heads[0]
    assert "To: e0" in endpoint.heads[0]


async def test_an_answer_that_was_cut_short_brings_no_score() -> None:
    # The endpoint's connection is reset in the middle of its answer: its head bears a stamp all
    # the same, and a result with it would name a score that nobody may rely on.
    answers = iter([[GOOD[:-3], None], [GOOD]])
    async with scripted(lambda head: next(answers)) as endpoint, calls_to(endpoint) as calls:
        assert await calls.score(CALL, 3, boot_now() + 30.0) == "0.7"

    assert len(endpoint.heads) == 2


async def test_a_call_that_always_fails_ends_after_its_last_try() -> None:
    # Two endpoints for a send, three failures allowed: the third failure ends it, neither the
    # second nor a fourth.
    async with (
        scripted(lambda head: [FAILS]) as one,
        scripted(lambda head: [FAILS]) as other,
        calls_to(one, other) as calls,
    ):
        scored = await calls.score(CALL, 3, boot_now() + 30.0)

    assert isinstance(scored, Unscored)
    assert scored.kind == "unscored"
    assert 3 <= scored.failures <= 4
    assert len(one.heads) + len(other.heads) == scored.failures


async def test_refusals_and_lost_answers_are_no_failures() -> None:
    # A full endpoint refuses and another one loses its answers. Counted as failures, a good text
    # would be given up because the service was busy for a second.
    answers = iter([[FULL], [None], [FULL], [None], [FULL], [FULL], [GOOD]])
    async with scripted(lambda head: next(answers)) as endpoint, calls_to(endpoint) as calls:
        assert await calls.score(CALL, 1, boot_now() + 30.0) == "0.7"

    assert len(endpoint.heads) == 7


async def test_a_call_waits_for_its_route_to_come_back() -> None:
    # An operator moves the route away and back while a text waits for its score.
    async with (
        scripted(lambda head: [GOOD]) as endpoint,
        calls_to(endpoint, index=table()) as calls,
    ):
        scoring = asyncio.create_task(calls.score(CALL, 3, boot_now() + 30.0))
        while not calls._counters.count_by_name.get("reward_call.no_route"):
            await asyncio.sleep(0.01)
        assert not endpoint.heads
        calls.view.index = table(LEDGER)

        assert await scoring == "0.7"


async def test_the_end_of_the_item_ends_its_call() -> None:
    async with scripted(lambda head: [FULL]) as endpoint, calls_to(endpoint) as calls:
        scored = await calls.score(CALL, 3, boot_now() + 0.3)

    assert scored == Unscored("broken", 0)


async def test_endpoints_are_told_one_end_at_each_sending() -> None:
    # Told a fresh span each time, an endpoint would work on a call for longer than its item lives.
    async with scripted(lambda head: [FULL]) as endpoint, calls_to(endpoint) as calls:
        await calls.score(CALL, 3, boot_now() + 0.5)

    told = [
        float(line.partition(":")[2])
        for head in endpoint.heads
        for line in head.split("\r\n")
        if line.startswith("Left:")
    ]
    assert len(told) > 2
    assert told == sorted(told, reverse=True)


async def test_a_call_that_is_stopped_gives_its_room_to_the_next() -> None:
    # A job ends while its calls wait for room. Kept by calls that nobody waits for, the window
    # would be closed to all later ones.
    async with scripted(lambda head: [30.0]) as endpoint, calls_to(endpoint) as calls:
        tasks = [asyncio.create_task(calls.score(CALL, 3, boot_now() + 30.0)) for _ in range(20)]
        window = None
        while window is None or window.under_way < int(window.limit):
            await asyncio.sleep(0.01)
            window = calls._window_by_route.get("ledger-sync")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    assert window.under_way == 0
    assert not calls._waiting_by_route["ledger-sync"]
