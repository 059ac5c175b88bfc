"""An entry's treatment of requests under which endpoints ended."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest
from unit.gateway.test_forward import (
    LOOKUP_ROUTE,
    REQUEST,
    forwarder_to,
    records_of,
    response_bytes,
)
from unit.gateway.test_reward_calls import (
    LEDGER_ROUTE,
    REWARD_CALL,
    SCORED_RESPONSE,
    _RewardWire,
    route_index_of,
)

from fakes.scripted_endpoint import scripted
from ibisspring_core.clock import boot_now
from ibisspring_core.connections import is_refused
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    ReportEnd,
    StartTrial,
    SuspectsChanged,
    SuspectSummary,
    TrialStarted,
)
from ibisspring_decisions.crash_suspects import MAX_ITEM_PAUSE_S, Standing
from ibisspring_gateway.attempts import EndpointResponse
from ibisspring_gateway.crash_suspects import identified
from ibisspring_gateway.reward_calls import RewardCalls

ROUTE = replace(LOOKUP_ROUTE, max_attempts=3)
# Seconds that the leader takes to answer: a round trip and a commit.
LEADER_DELAY_S = 0.01
# Longer than until a request is hedged.
SLOW_LEADER_DELAY_S = 0.08
IDENTITY = identified(REQUEST).identity()


class Leader:
    """Answers the entry's calls to the directory's leader and records them."""

    def __init__(
        self,
        allows_trials: bool = True,
        ends_elsewhere: int = 0,
        delay_s: float = LEADER_DELAY_S,
    ) -> None:
        self.delay_s = delay_s
        self.allows_trials = allows_trials
        self.ends_elsewhere = ends_elsewhere
        self.calls: list = []

    async def call(self, message, timeout_s: float):
        await asyncio.sleep(self.delay_s)
        self.calls.append(message)
        if isinstance(message, StartTrial):
            return TrialStarted(self.allows_trials)
        ends = [report.suspect.ends[0] for report in self.calls_of(ReportEnd)]
        in_trial = any(end.in_trial for end in ends)
        return SuspectsChanged(2, SuspectSummary(self.ends_elsewhere + len(ends), in_trial))

    def calls_of(self, message_type: type) -> list:
        return [call for call in self.calls if isinstance(call, message_type)]


@asynccontextmanager
async def ending_endpoint():
    """Run an endpoint that ends with its first request: it resets it and listens no more."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        server.close()
        writer.transport.abort()

    heads: list[bytes] = []
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield SimpleNamespace(address=address, heads=heads)
    finally:
        server.close()


def know(forwarder, leader: Leader, ends: int, in_trial: bool = False) -> None:
    """Give the entry a view with the request as a suspect."""
    view = forwarder.view
    view.call_leader = leader.call
    if ends:
        view.view = replace(
            view.view, suspects={IDENTITY: SuspectSummary(ends, in_trial)}, suspect_change=1
        )


@pytest.fixture(params=[False, True], ids=["once", "repeated"])
def repeats(request) -> bool:
    return request.param


@pytest.mark.parametrize("method", ["POST", "PUT"])
async def test_one_exchange_ends_two_endpoints_at_most(repeats, method) -> None:
    # The HTTP client resent a PUT by itself, and the refused second connection hid the end.
    leader = Leader()
    request = replace(REQUEST, method=method)
    async with ending_endpoint() as a, ending_endpoint() as b, ending_endpoint() as c:
        async with forwarder_to(a, b, c) as forwarder:
            forwarder._repeats = repeats
            know(forwarder, leader, 0)
            answer = await forwarder.forward(request, ROUTE)

    assert (answer.reason, answer.not_run) == (Reason.ENDPOINT_FAILED, False)
    assert sum(len(one.heads) for one in (a, b, c)) == 2
    reported = [report.suspect.ends[0].endpoint for report in leader.calls_of(ReportEnd)]
    assert len(set(reported)) == 2


@pytest.mark.parametrize("delay_s", [LEADER_DELAY_S, SLOW_LEADER_DELAY_S])
async def test_ends_through_other_entries_at_the_same_moment_count(repeats, delay_s) -> None:
    # Callers send copies of a request through several entries at once, and each ends an endpoint.
    # Without the leader's answer, each entry would go on to a second one; with a slow answer, it
    # would send a hedged attempt there meanwhile.
    leader = Leader(ends_elsewhere=1, delay_s=delay_s)
    async with ending_endpoint() as a, ending_endpoint() as b:
        async with forwarder_to(a, b) as forwarder:
            forwarder._repeats = repeats
            know(forwarder, leader, 0)
            await forwarder.forward(REQUEST, ROUTE)

    assert len(a.heads) + len(b.heads) == 1


async def test_a_reset_by_a_living_endpoint_is_no_end(repeats) -> None:
    # A grey endpoint resets connections and goes on. Its requests must not be suspected.
    leader = Leader()
    async with scripted(lambda head: [None]) as grey, scripted(lambda head: [None]) as other:
        async with forwarder_to(grey, other) as forwarder:
            forwarder._repeats = repeats
            know(forwarder, leader, 0)
            await forwarder.forward(REQUEST, ROUTE)

    assert leader.calls == []


async def test_an_end_whose_listening_socket_is_closed_last_is_seen(repeats) -> None:
    # A process that ends closes its connections before the socket that accepts new ones. In between
    # a new connection is accepted, and closed at once.
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()
        asyncio.get_running_loop().call_later(0.02, server.close)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    leader = Leader()
    async with forwarder_to(SimpleNamespace(address=address)) as forwarder:
        forwarder._repeats = repeats
        know(forwarder, leader, 0)
        await forwarder.forward(REQUEST, ROUTE)

    assert len(leader.calls_of(ReportEnd)) == 1


async def test_a_reset_while_a_connection_is_opened_is_no_sign_of_life(monkeypatch) -> None:
    # The process ended between the handshake and the moment at which the caller looks at it.
    errors = [ConnectionResetError(), ConnectionRefusedError()]

    async def open_connection(host: str, port: int) -> None:
        raise errors.pop(0)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)

    assert await is_refused("127.0.0.1:1", 1.0)


async def test_a_request_in_quarantine_is_refused_at_once_as_not_run(repeats) -> None:
    async with scripted(lambda head: [response_bytes()]) as endpoint:
        async with forwarder_to(endpoint) as forwarder:
            forwarder._repeats = repeats
            know(forwarder, Leader(), 3, in_trial=True)
            answer = await forwarder.forward(REQUEST, ROUTE)
            other = await forwarder.forward(replace(REQUEST, body=b"other"), ROUTE)

    assert isinstance(answer, Refusal)
    assert (answer.reason, answer.not_run) == (Reason.CRASH_SUSPECT, True)
    assert other.status == 200
    assert len(endpoint.request_heads) == 1


async def test_a_trial_sends_a_request_that_ends_its_endpoint_once(repeats) -> None:
    leader = Leader(ends_elsewhere=2)
    async with ending_endpoint() as a, ending_endpoint() as b:
        async with forwarder_to(a, b) as forwarder:
            forwarder._repeats = repeats
            know(forwarder, leader, 2)
            first = await forwarder.forward(REQUEST, ROUTE)
            second = await forwarder.forward(REQUEST, ROUTE)

    assert (first.reason, first.not_run) == (Reason.ENDPOINT_FAILED, False)
    assert (second.reason, second.not_run) == (Reason.CRASH_SUSPECT, True)
    assert len(a.heads) + len(b.heads) == 1
    assert [report.suspect.ends[0].in_trial for report in leader.calls_of(ReportEnd)] == [True]


@pytest.mark.parametrize("leader", [Leader(allows_trials=False), None], ids=["busy", "no leader"])
async def test_a_suspect_without_a_trial_is_refused(leader) -> None:
    async with scripted(lambda head: [response_bytes()]) as endpoint:
        async with forwarder_to(endpoint) as forwarder:
            call_leader = forwarder.view.call_leader
            know(forwarder, leader or Leader(), 2)
            forwarder.view.call_leader = leader.call if leader is not None else call_leader
            answer = await forwarder.forward(REQUEST, ROUTE)

    assert (answer.reason, answer.not_run) == (Reason.CRASH_SUSPECT, True)
    assert endpoint.request_heads == []


@pytest.mark.parametrize("leaves_after_s", [LEADER_DELAY_S / 2, 3 * LEADER_DELAY_S])
async def test_a_caller_that_leaves_ends_its_trial(leaves_after_s) -> None:
    # The caller leaves while the leader is asked for the trial, or while an endpoint works on it. A
    # request that stayed on trial here would be refused by this entry until its next start.
    async with scripted(lambda head: [0.1, response_bytes()]) as endpoint:
        async with forwarder_to(endpoint) as forwarder:
            know(forwarder, Leader(), 2)
            leaving = asyncio.create_task(forwarder.forward(REQUEST, ROUTE))
            await asyncio.sleep(leaves_after_s)
            leaving.cancel()
            await asyncio.wait((leaving,))
            answer = await forwarder.forward(REQUEST, ROUTE)

    assert isinstance(answer, EndpointResponse)


@pytest.mark.parametrize("ends", [1, 2])
async def test_an_answer_clears_a_suspect(ends) -> None:
    leader = Leader()
    async with scripted(lambda head: [response_bytes()]) as endpoint:
        async with forwarder_to(endpoint) as forwarder:
            know(forwarder, leader, ends)
            answer = await forwarder.forward(REQUEST, ROUTE)
            await asyncio.sleep(0.05)

    assert isinstance(answer, EndpointResponse)
    assert leader.calls_of(ClearSuspect) == [ClearSuspect(IDENTITY, ends)]


async def test_a_suspect_is_not_hedged(repeats) -> None:
    # With a hedged attempt, a request that ends its endpoints would end two at the same moment.
    slow = [0.15, response_bytes()]
    async with scripted(lambda head: slow) as first, scripted(lambda head: slow) as second:
        async with forwarder_to(first, second) as forwarder:
            forwarder._repeats = repeats
            know(forwarder, Leader(), 1)
            answer = await forwarder.forward(REQUEST, ROUTE)

    assert answer.status == 200
    assert len(first.request_heads) + len(second.request_heads) == 1


async def test_an_end_is_reported_again_until_the_leader_has_it() -> None:
    # The leader is lost in the same moment. The report must not be lost with it.
    leader = Leader()
    refusals = [Refusal(Reason.NO_LEADER, False), Refusal(Reason.CONFLICT, False)]

    async def call(message, timeout_s: float):
        return refusals.pop() if refusals else await leader.call(message, timeout_s)

    async with ending_endpoint() as endpoint, forwarder_to(endpoint) as forwarder:
        know(forwarder, leader, 0)
        forwarder.view.call_leader = call
        await forwarder.forward(REQUEST, ROUTE)
        async with asyncio.timeout(5.0):
            while not leader.calls_of(ReportEnd):
                await asyncio.sleep(0.02)
        assert refusals == []


async def test_a_reward_call_under_which_endpoints_ended_is_scored_after_the_crashes() -> None:
    # Several endpoints crash for another reason while they run the same sound reward call. It was
    # taken for a request that ends endpoints, and its item was never scored.
    leader = Leader()
    calls = RewardCalls()
    wire = _RewardWire()
    async with (
        ending_endpoint() as a,
        ending_endpoint() as b,
        ending_endpoint() as c,
        ending_endpoint() as d,
        scripted(lambda head: [SCORED_RESPONSE]) as sound,
        forwarder_to(
            a, b, c, d, index=route_index_of(LEDGER_ROUTE), wire=wire, users=(calls,)
        ) as forwarder,
    ):
        know(forwarder, leader, 0)
        scored = asyncio.create_task(calls.score(REWARD_CALL, 3, boot_now() + 30.0))
        while sum(len(one.heads) for one in (a, b, c, d)) < 4:
            await asyncio.sleep(0.01)
        forwarder.view.serving = lambda service: records_of([sound])
        calm_at_s = boot_now()

        assert await asyncio.wait_for(scored, 10.0) == "0.7"
        assert boot_now() - calm_at_s < MAX_ITEM_PAUSE_S + 1.0

    assert leader.calls_of(ReportEnd) == []


async def test_a_reward_call_is_sent_although_a_callers_request_like_it_is_in_quarantine() -> None:
    wire = _RewardWire()
    request = replace(wire.reward_request(REWARD_CALL, 10.0), accepted=True)
    callers = replace(request, accepted=False)
    async with (
        scripted(lambda head: [SCORED_RESPONSE]) as endpoint,
        forwarder_to(endpoint, wire=wire) as forwarder,
    ):
        forwarder.view.view = replace(
            forwarder.view.view,
            suspects={identified(callers).identity(): SuspectSummary(3, True)},
            suspect_change=1,
        )
        refused = await forwarder.forward(callers, LEDGER_ROUTE)
        sent = await forwarder.send(request, LEDGER_ROUTE, 3.0)

    assert refused.reason is Reason.CRASH_SUSPECT
    assert isinstance(sent.answer, EndpointResponse)
    assert len(endpoint.request_heads) == 1


async def test_ends_under_a_reward_call_do_not_concern_a_callers_request_like_it() -> None:
    leader = Leader()
    request = replace(REQUEST, accepted=True)
    async with ending_endpoint() as a, ending_endpoint() as b, forwarder_to(a, b) as forwarder:
        know(forwarder, leader, 0)
        for _ in range(2):
            await forwarder.send(request, ROUTE, 3.0)
        suspects = forwarder._crash_suspects

        assert suspects.standing(REQUEST) is Standing.CLEAR
        assert (await suspects.admit(request, "archive", 3.0)).retry_after_s <= MAX_ITEM_PAUSE_S
        assert await suspects.admit(REQUEST, "archive", 3.0) is None
