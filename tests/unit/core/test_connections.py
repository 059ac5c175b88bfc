from __future__ import annotations

import pytest

from fakes.scripted_endpoint import scripted
from ibisspring_core.connections import Connections, keep_alive_s
from ibisspring_core.guarded_http import HttpAnswer, HttpRequest, NoAnswer
from ibisspring_core.kept_connections import MARGIN_S, IdleConnections
from ibisspring_core.kernel import Kernel

REPORT = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("headers", "kept_s"),
    [
        ((("Keep-Alive", "timeout=10"),), 10.0),
        ((("keep-alive", "max=5, timeout=7"),), 7.0),
        ((("Keep-Alive", "timeout=10"), ("Connection", "close")), 0.0),
        ((("Keep-Alive", "timeout=soon"),), 5.0),
        ((), 5.0),
    ],
)
def test_keep_alive_time_is_read_from_response_headers(headers, kept_s) -> None:
    assert keep_alive_s(headers) == kept_s


def test_a_connection_is_not_counted_once_its_endpoint_may_close_it() -> None:
    # An idle connection is near the end of the endpoint's keep-alive time. A request sent on it
    # while the endpoint closes it would get no response, and may have run.
    kept = IdleConnections()
    kept.add(("e1", "engine"), 0.0, 10.0)

    assert kept.count_idle(("e1", "engine"), 10.0 - MARGIN_S - 0.01) == 1
    assert kept.count_idle(("e1", "engine"), 10.0 - MARGIN_S) == 0
    assert not kept.take_idle(("e1", "engine"), 10.0)


def test_each_request_uses_up_one_idle_connection() -> None:
    kept = IdleConnections()
    kept.add(("e1",), 0.0, 10.0)
    kept.add(("e1",), 1.0, 10.0)
    kept.add(("e2",), 1.0, 0.0)

    assert kept.count_idle(("e2",), 1.0) == 0
    assert [kept.take_idle(("e1",), 2.0) for _ in range(3)] == [True, True, False]


async def test_sequential_read_only_requests_share_one_connection() -> None:
    # While an engine loads weights, the state of the loading is read from it every third of a
    # second. If each of these requests opened a new connection, each connection would be billed.
    connections = Connections()
    await connections.start(Kernel())
    async with scripted(lambda head: [REPORT]) as endpoint:
        request = HttpRequest("GET", f"http://{endpoint.address}/v1/report")
        for _ in range(3):
            assert await connections.fetch(request, 5.0) == HttpAnswer(200, b"{}")
        assert connections.idle(endpoint.address)
    await connections.stop()

    assert endpoint.opened == 1


async def test_truncated_response_is_reported_as_no_answer() -> None:
    connections = Connections()
    await connections.start(Kernel())
    async with scripted(lambda head: [REPORT[:20], None]) as endpoint:
        request = HttpRequest("GET", f"http://{endpoint.address}/v1/report")
        assert isinstance(await connections.fetch(request, 5.0), NoAnswer)
    await connections.stop()
