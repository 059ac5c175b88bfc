from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from unit.gateway.test_forward import _Wire, forwarder_to, response_bytes

from fakes.scripted_endpoint import scripted
from ibisspring_core.clock import boot_now
from ibisspring_core.messages.jobs import RewardCall
from ibisspring_core.routes import RepeatRule, Route, RouteTable, ServiceTerms, Share
from ibisspring_core.routes.index import RouteIndex
from ibisspring_gateway.reward_calls import RewardCalls, ScoringFailure
from ibisspring_gateway.wire import CallerRequest

REWARD_CALL = RewardCall("r1", "ledger", "/sync/7", b"body")
LEDGER_ROUTE = Route(
    name="ledger-sync",
    host="ledger",
    prefix="/sync/",
    repeat=RepeatRule.IDEMPOTENT,
    shares=(Share("archive", 1.0),),
    timeout_s=3.0,
    target_s=0.2,
    max_attempts=2,
)
SCORED_RESPONSE = response_bytes(head="Id: r1\r\nScore: 0.7\r\n")
FAILED_RESPONSE = response_bytes(status=500, head="Id: r1\r\nScore: 0.7\r\n")
REJECTED_RESPONSE = response_bytes(status=503, head="Id: r1\r\nTurned-Away: yes\r\n")


class _RewardWire(_Wire):
    def reward_request(self, call, remaining_s):
        headers = (("Host", call.host), ("Id", call.request))
        return CallerRequest(call.request, "POST", call.path, headers, call.body, "", remaining_s)

    def read_score(self, headers):
        return {name.lower(): value for name, value in headers}.get("score", "")


def route_index_of(*routes: Route) -> RouteIndex:
    return RouteIndex(RouteTable(1, routes, (ServiceTerms("archive", 100),)))


@asynccontextmanager
async def calls_to(*endpoints, index=None):
    calls = RewardCalls()
    route_index = index if index is not None else route_index_of(LEDGER_ROUTE)
    wire = _RewardWire()
    async with forwarder_to(*endpoints, index=route_index, wire=wire, users=(calls,)) as forwarder:
        calls.view = forwarder.view
        yield calls


async def test_the_score_is_read_from_a_complete_response() -> None:
    async with scripted(lambda head: [SCORED_RESPONSE]) as endpoint, calls_to(endpoint) as calls:
        assert await calls.score(REWARD_CALL, 3, boot_now() + 30.0) == "0.7"

    assert "POST /sync/7" in endpoint.request_heads[0]
    assert "To: e0" in endpoint.request_heads[0]


async def test_an_incomplete_response_yields_no_score() -> None:
    # The connection is reset in the middle of the response body. The response headers already
    # contain a score, but it must not be used: a score counts only with the complete response.
    responses = iter([[SCORED_RESPONSE[:-3], None], [SCORED_RESPONSE]])
    async with scripted(lambda head: next(responses)) as endpoint, calls_to(endpoint) as calls:
        assert await calls.score(REWARD_CALL, 3, boot_now() + 30.0) == "0.7"

    assert len(endpoint.request_heads) == 2


async def test_a_call_that_always_fails_ends_after_its_last_attempt() -> None:
    # Each send of the reward call tries two endpoints, and three failures are allowed: the call
    # must not end after the second failure, nor be sent again after the third.
    async with (
        scripted(lambda head: [FAILED_RESPONSE]) as first,
        scripted(lambda head: [FAILED_RESPONSE]) as second,
        calls_to(first, second) as calls,
    ):
        scored = await calls.score(REWARD_CALL, 3, boot_now() + 30.0)

    assert isinstance(scored, ScoringFailure)
    assert scored.kind == "unscored"
    assert 3 <= scored.failures <= 4
    assert len(first.request_heads) + len(second.request_heads) == scored.failures


async def test_rejections_and_lost_responses_do_not_count_as_failures() -> None:
    # The endpoint rejects some calls because it is full, and resets the connection of others. If
    # these counted as failures, a good text would be abandoned when its service is overloaded for
    # a second.
    responses = iter(
        [
            [REJECTED_RESPONSE],
            [None],
            [REJECTED_RESPONSE],
            [None],
            [REJECTED_RESPONSE],
            [REJECTED_RESPONSE],
            [SCORED_RESPONSE],
        ]
    )
    async with scripted(lambda head: next(responses)) as endpoint, calls_to(endpoint) as calls:
        assert await calls.score(REWARD_CALL, 1, boot_now() + 30.0) == "0.7"

    assert len(endpoint.request_heads) == 7


async def test_call_waits_until_its_route_is_restored() -> None:
    # An operator removes the route and restores it while a text waits for its score.
    async with (
        scripted(lambda head: [SCORED_RESPONSE]) as endpoint,
        calls_to(endpoint, index=route_index_of()) as calls,
    ):
        scoring = asyncio.create_task(calls.score(REWARD_CALL, 3, boot_now() + 30.0))
        while not calls._counters.count_by_name.get("reward_call.no_route"):
            await asyncio.sleep(0.01)
        assert not endpoint.request_heads
        calls.view.index = route_index_of(LEDGER_ROUTE)

        assert await scoring == "0.7"


async def test_call_ends_at_the_deadline_of_its_item() -> None:
    async with scripted(lambda head: [REJECTED_RESPONSE]) as endpoint, calls_to(endpoint) as calls:
        scored = await calls.score(REWARD_CALL, 3, boot_now() + 0.3)

    assert scored == ScoringFailure("broken", 0)


async def test_the_remaining_time_sent_to_endpoints_decreases_with_each_attempt() -> None:
    # If each request stated the full time limit again, an endpoint would continue to work on a
    # reward call after the deadline of its item.
    async with scripted(lambda head: [REJECTED_RESPONSE]) as endpoint, calls_to(endpoint) as calls:
        await calls.score(REWARD_CALL, 3, boot_now() + 0.5)

    remaining_s = [
        float(line.partition(":")[2])
        for head in endpoint.request_heads
        for line in head.split("\r\n")
        if line.startswith("Left:")
    ]
    assert len(remaining_s) > 2
    assert remaining_s == sorted(remaining_s, reverse=True)


async def test_cancelled_calls_free_their_slots() -> None:
    # A job ends while its reward calls use or wait for slots. If the cancelled calls kept their
    # slots, no later call of the route could start.
    async with scripted(lambda head: [30.0]) as endpoint, calls_to(endpoint) as calls:
        tasks = [
            asyncio.create_task(calls.score(REWARD_CALL, 3, boot_now() + 30.0)) for _ in range(20)
        ]
        window = None
        while window is None or window.in_flight < int(window.limit):
            await asyncio.sleep(0.01)
            window = calls._window_by_route.get("ledger-sync")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    assert window.in_flight == 0
    assert not calls._queue_by_route["ledger-sync"]
