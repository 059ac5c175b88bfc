from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest

from fakes.endless_endpoint import BLOCK, endless
from fakes.scripted_endpoint import EXIT, RESET, scripted
from ibisspring_core.connections import Connections
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.directory import View
from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_core.routes import RepeatRule, Route, Share
from ibisspring_core.settings.vm import ENTRY, VmSettings
from ibisspring_gateway.attempts import EndpointResponse
from ibisspring_gateway.crash_suspects import crash_suspects
from ibisspring_gateway.forward import Forwarder
from ibisspring_gateway.send_gate import SendGate
from ibisspring_gateway.wire import CallerRequest, ResponseKind

REQUEST = CallerRequest("r1", "POST", "/lookup/7", (("Host", "a"),), b"body", "forge", 2.0)
LOOKUP_ROUTE = Route(
    name="lookup",
    host="a",
    prefix="/lookup/",
    repeat=RepeatRule.IDEMPOTENT,
    shares=(Share("archive", 1.0),),
    timeout_s=1.0,
    target_s=0.1,
    max_attempts=2,
)
PAYMENT_ROUTE = Route(
    "pay", "a", "/pay/", RepeatRule.ONCE, (Share("archive", 1.0),), 1.0, 0.1, 0, 3
)


class _Wire:
    """
    Fake endpoint adapter.

    The response header `Id` must be the request's id, and `Turned-Away` says that the endpoint did
    not run the request.
    """

    name = "endpoint_wire"

    async def start(self, kernel: Kernel) -> None: ...

    async def stop(self) -> None: ...

    def call_headers(self, request, record, remaining_s):
        return (*request.headers, ("Left", f"{remaining_s:.2f}"), ("To", record.endpoint))

    def classify_call_response(self, request, status, headers):
        value_by_name = {name.lower(): value for name, value in headers}
        if value_by_name.get("id") != request.request_id:
            return ResponseKind.OTHER_REQUEST
        return ResponseKind.REJECTED if "turned-away" in value_by_name else ResponseKind.ANSWERED


def response_bytes(body: bytes = b"whole", status: int = 200, head: str = "Id: r1\r\n") -> bytes:
    lines = f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    return lines.encode() + body


def records_of(endpoints) -> tuple[EndpointRecord, ...]:
    """Build the records of scripted endpoints e0, e1, … of one service in one data centre."""
    return tuple(
        EndpointRecord(
            f"e{number}",
            1,
            1,
            "archive",
            "plain",
            "standard",
            "derby",
            endpoint.address,
            load=EndpointLoad(capacity=6),
        )
        for number, endpoint in enumerate(endpoints)
    )


REGIONS = {"derby": "midlands", "york": "north"}


async def no_leader(message, timeout_s: float) -> Refusal:
    """Answer a call to the directory's leader while there is none."""
    return Refusal(Reason.NO_LEADER, False)


@asynccontextmanager
async def forwarder_to(*endpoints, index=None, wire=None, users=()):
    """Run a forwarder to scripted endpoints, and the services `users` that call it."""
    records = records_of(endpoints)
    counted_accounts: list[str] = []
    view = SimpleNamespace(
        name="directory_view",
        view=View(1, 1),
        serving=lambda service: records,
        has_evacuated=lambda service: bool(view.view.evacuated),
        index=index,
        age_s=lambda: 0.0,
        is_cold=lambda endpoint: False,
        wall_s=lambda: 0.0,
        call_leader=no_leader,
    )
    usage = SimpleNamespace(
        name="usage_counts", count_request=lambda account, elapsed: counted_accounts.append(account)
    )
    kernel = Kernel()
    connections = Connections()
    forwarder = Forwarder("derby")
    gate = SendGate(
        VmSettings("n", ENTRY, "derby", "10.0.0.1:1", (), region_by_data_centre=REGIONS)
    )
    services = (view, usage, Counters.from_config(None), wire or _Wire(), connections, forwarder)
    suspects = crash_suspects("n")
    for service in (*services, gate, suspects, *users):
        kernel.register(service)
    for service in (connections, gate, suspects, forwarder, *users):
        await service.start(kernel)
    forwarder.counted_accounts = counted_accounts
    forwarder.view = view
    try:
        yield forwarder
    finally:
        await suspects.stop()
        await forwarder.stop()
        await connections.stop()


async def test_request_and_complete_response_are_forwarded_unchanged() -> None:
    async with (
        scripted(lambda head: [response_bytes()]) as endpoint,
        forwarder_to(endpoint) as forwarder,
    ):
        result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

        assert (result.status, result.body) == (200, b"whole")
        assert endpoint.request_heads[0].startswith("POST /lookup/7 HTTP/1.1\r\n")
        assert "User-Agent" not in endpoint.request_heads[0]
        assert "Accept" not in endpoint.request_heads[0]
        assert forwarder.counted_accounts == ["forge"]


@pytest.mark.parametrize(
    "broken",
    [
        [response_bytes()[:-3], None],
        [response_bytes()[:-3]],
        [None],
        [b"not http at all\r\n\r\n"],
        [response_bytes(head="Id: another\r\n")],
        [response_bytes(b"", 503, "Id: r1\r\nTurned-Away: 1\r\n")],
        [response_bytes(b"sorry", 500)],
    ],
    ids=["reset", "truncated", "no response", "not HTTP", "other id", "rejected", "failed"],
)
async def test_an_idempotent_request_is_answered_by_another_endpoint(broken) -> None:
    # One endpoint resets the connection, or its response is invalid, an error or meant for another
    # request. The request must then be sent to a second endpoint, and no part of the bad response
    # may reach the caller.
    def send_and_close(head: str) -> list:
        return [*broken, None]

    async with scripted(send_and_close) as bad, scripted(lambda head: [response_bytes()]) as good:
        for endpoints in ((bad, good), (good, bad)):
            async with forwarder_to(*endpoints) as forwarder:
                for _ in range(3):
                    result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)
                    assert isinstance(result, EndpointResponse)
                    assert (result.status, result.body) == (200, b"whole")


UNTIL_CLOSE = b"HTTP/1.1 200 X\r\nId: r1\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("received", [b"", b"w", b"whol", b"whole"])
async def test_response_without_a_length_that_is_reset_is_not_returned(received) -> None:
    # The endpoint states no length and its connection is reset inside the body. The caller got the
    # part that had arrived, as a complete response.
    def answer_and_reset(head: str) -> list:
        return [UNTIL_CLOSE + received, 0.05, RESET]

    async with scripted(answer_and_reset) as bad, scripted(lambda head: [response_bytes()]) as good:
        async with forwarder_to(bad, good) as forwarder:
            for _ in range(3):
                result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)
                assert isinstance(result, EndpointResponse)
                assert result.body == b"whole"
        async with forwarder_to(bad) as forwarder:
            result = await forwarder.forward(REQUEST, PAYMENT_ROUTE)
            assert isinstance(result, Refusal)
            assert not result.not_run


async def test_response_without_a_length_is_not_returned_if_its_endpoint_ended() -> None:
    # The end of a process closes its connections regularly, in the middle of a response.
    async with (
        scripted(lambda head: [UNTIL_CLOSE + b"wh", 0.05, EXIT]) as bad,
        scripted(lambda head: [response_bytes()]) as good,
        forwarder_to(bad, good) as forwarder,
    ):
        for _ in range(3):
            result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)
            assert isinstance(result, EndpointResponse)
            assert result.body == b"whole"


async def test_response_without_a_length_is_returned_if_its_connection_is_closed() -> None:
    async with (
        scripted(lambda head: [UNTIL_CLOSE + b"whole", None]) as endpoint,
        forwarder_to(endpoint) as forwarder,
    ):
        result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

        assert (result.status, result.body) == (200, b"whole")


async def test_an_extra_response_is_never_used_for_the_next_request() -> None:
    # An endpoint sends a second response after the first. If the entry took it for the response to
    # the next request on that connection, one caller would receive another caller's data.
    extra = response_bytes() + response_bytes(b"extra", head="Id: r1\r\n")
    async with scripted(lambda head: [extra]) as endpoint, forwarder_to(endpoint) as forwarder:
        await forwarder.forward(REQUEST, LOOKUP_ROUTE)
        next_request = CallerRequest("r2", "POST", "/lookup/8", (), b"", "forge", 2.0)

        result = await forwarder.forward(next_request, LOOKUP_ROUTE)

        assert isinstance(result, Refusal)
        assert not result.not_run


async def test_a_request_that_may_run_once_is_not_sent_again_once_it_may_have_run() -> None:
    # An endpoint runs a payment, and its response is lost. If the request were sent again, the
    # payment would be made twice.
    async with scripted(lambda head: [None]) as first, scripted(lambda head: [None]) as second:
        async with forwarder_to(first, second) as forwarder:
            result = await forwarder.forward(REQUEST, PAYMENT_ROUTE)

            assert isinstance(result, Refusal)
            assert not result.not_run
            assert len(first.request_heads) + len(second.request_heads) == 1


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_a_request_whose_endpoint_ends_counts_as_run(method) -> None:
    # The HTTP client resent the request over a second connection, which was refused. The request
    # seemed never to have been sent: it ran at another endpoint too, or was refused as not run.
    request = replace(REQUEST, method=method)
    async with (
        scripted(lambda head: [EXIT]) as first,
        scripted(lambda head: [EXIT]) as second,
        forwarder_to(first, second) as forwarder,
    ):
        result = await forwarder.forward(request, PAYMENT_ROUTE)

        assert isinstance(result, Refusal)
        assert not result.not_run
        assert len(first.request_heads) + len(second.request_heads) == 1


async def test_a_request_that_may_run_once_goes_to_another_endpoint_after_a_rejection() -> None:
    rejected = response_bytes(b"", 503, "Id: r1\r\nTurned-Away: 1\r\n")
    async with (
        scripted(lambda head: [rejected]) as first,
        scripted(lambda head: [response_bytes()]) as second,
    ):
        async with forwarder_to(first, second) as forwarder:
            for _ in range(4):
                result = await forwarder.forward(REQUEST, PAYMENT_ROUTE)
                assert result.status == 200


async def test_slow_request_is_hedged_at_another_endpoint() -> None:
    # Without a hedged attempt, a slow endpoint among three would make a third of all requests miss
    # their target time.
    async with scripted(lambda head: [0.8, response_bytes(b"slow")]) as slow:
        async with scripted(lambda head: [response_bytes(b"quick")]) as quick:
            async with forwarder_to(slow, quick) as forwarder:
                bodies = [(await forwarder.forward(REQUEST, LOOKUP_ROUTE)).body for _ in range(4)]

    assert bodies == [b"quick"] * 4


async def test_request_without_any_endpoint_is_refused_as_not_run() -> None:
    async with forwarder_to() as forwarder:
        result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

    assert result.reason is Reason.NO_ENDPOINT
    assert result.not_run
    assert result.retry_after_s


async def test_no_more_endpoints_are_tried_than_the_route_allows() -> None:
    failing = [response_bytes(b"sorry", 500)]
    async with scripted(lambda head: failing) as first, scripted(lambda head: failing) as second:
        async with scripted(lambda head: failing) as third:
            async with forwarder_to(first, second, third) as forwarder:
                result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

            assert result.status == 500
            assert sum(len(endpoint.request_heads) for endpoint in (first, second, third)) == 2


async def test_response_after_the_route_timeout_is_not_awaited() -> None:
    async with (
        scripted(lambda head: [5.0, response_bytes()]) as endpoint,
        forwarder_to(endpoint) as forwarder,
    ):
        async with asyncio.timeout(3.0):
            result = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

    assert result.reason is Reason.TIMEOUT
    assert not result.not_run


async def test_a_request_is_answered_although_an_endpoint_sends_a_body_without_an_end() -> None:
    # The bytes were kept until the caller left or the entry was ended for its memory.
    head = b"HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n\r\n"
    route = replace(LOOKUP_ROUTE, timeout_s=20.0, target_s=20.0)
    async with endless(head, BLOCK) as bad, scripted(lambda head: [response_bytes()]) as good:
        while not bad.sent:
            # Each new forwarder chooses its first endpoint at random.
            async with forwarder_to(bad, good) as forwarder:
                result = await forwarder.forward(replace(REQUEST, remaining_s=20.0), route)

    assert isinstance(result, EndpointResponse)
    assert result.body == b"whole"
    assert forwarder._connections._memory._used_bytes == 0
