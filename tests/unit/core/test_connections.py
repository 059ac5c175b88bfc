from __future__ import annotations

import pytest

from fakes.scripted_endpoint import scripted
from ibisspring_core.connections import Connections, keep_alive_s
from ibisspring_core.guarded_http import HttpAnswer, HttpRequest, NoAnswer
from ibisspring_core.kept_connections import MARGIN_S, KeptConnections
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
def test_an_endpoint_says_how_long_it_keeps_a_connection(headers, kept_s) -> None:
    assert keep_alive_s(headers) == kept_s


def test_a_connection_is_not_counted_once_its_endpoint_may_close_it() -> None:
    # A request on a connection that the endpoint is closing is lost, and may have run.
    kept = KeptConnections()
    kept.released(("e1", "engine"), 0.0, 10.0)

    assert kept.idle(("e1", "engine"), 10.0 - MARGIN_S - 0.01) == 1
    assert kept.idle(("e1", "engine"), 10.0 - MARGIN_S) == 0
    assert not kept.taken(("e1", "engine"), 10.0)


def test_connections_are_taken_one_by_one() -> None:
    kept = KeptConnections()
    kept.released(("e1",), 0.0, 10.0)
    kept.released(("e1",), 1.0, 10.0)
    kept.released(("e2",), 1.0, 0.0)

    assert kept.idle(("e2",), 1.0) == 0
    assert [kept.taken(("e1",), 2.0) for _ in range(3)] == [True, True, False]


async def test_questions_use_one_connection() -> None:
    # An endpoint is asked every third of a second how a load goes. Each question on a connection of
    # its own is paid for as such.
    connections = Connections()
    await connections.start(Kernel())
    async with scripted(lambda head: [REPORT]) as endpoint:
        question = HttpRequest("GET", f"http://{endpoint.address}/v1/report")
        for _ in range(3):
            assert await connections.ask(question, 5.0) == HttpAnswer(200, b"{}")
        assert connections.idle(endpoint.address)
    await connections.stop()

    assert endpoint.opened == 1


async def test_a_question_that_is_not_answered_ends() -> None:
    connections = Connections()
    await connections.start(Kernel())
    async with scripted(lambda head: [REPORT[:20], None]) as endpoint:
        question = HttpRequest("GET", f"http://{endpoint.address}/v1/report")
        assert isinstance(await connections.ask(question, 5.0), NoAnswer)
    await connections.stop()
