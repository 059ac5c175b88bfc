from __future__ import annotations

import aiohttp
import pytest

from fakes.scripted_endpoint import RESET, scripted
from ibisspring_core.http_sessions import ends_with_connection, open_session

HEAD = b"HTTP/1.1 200 OK\r\n"
BODY = b"0123456789"
CHUNKS = b"5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"
UNTIL_CLOSE = {
    "no length": HEAD + b"Connection: close\r\n\r\n" + BODY,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n" + BODY,
}
STATED_END = {
    "length": HEAD + b"Content-Length: 10\r\n\r\n" + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
}


async def read_all(steps: list) -> bytes:
    """Read the body of a scripted response."""
    async with scripted(lambda head: steps) as endpoint:
        session = open_session(aiohttp.TCPConnector())
        async with session, session.get(f"http://{endpoint.address}/") as response:
            return await response.read()


@pytest.mark.parametrize("framing", UNTIL_CLOSE)
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("missing", [10, 9, 5, 1, 0])
async def test_reset_inside_a_body_without_a_length_is_an_error(framing, pause_s, missing) -> None:
    # aiohttp reports the same end for a reset as for a close, so a part of the body was passed on
    # as the whole.
    response = UNTIL_CLOSE[framing]
    steps = [response[: len(response) - missing], pause_s, RESET]

    with pytest.raises(aiohttp.ClientError):
        await read_all(steps)


@pytest.mark.parametrize("framing", UNTIL_CLOSE)
async def test_closed_connection_completes_a_body_without_a_length(framing) -> None:
    # If each answer without a length were refused, endpoints that send no length would serve
    # nobody.
    assert await read_all([UNTIL_CLOSE[framing], None]) == BODY


@pytest.mark.parametrize("framing", STATED_END)
@pytest.mark.parametrize("end", [RESET, None])
async def test_body_with_a_stated_end_is_complete_if_the_connection_breaks_after_it(
    framing, end
) -> None:
    assert await read_all([STATED_END[framing], 0.05, end]) == BODY


@pytest.mark.parametrize("framing", STATED_END)
@pytest.mark.parametrize("end", [RESET, None])
async def test_body_with_a_stated_end_is_an_error_if_the_connection_breaks_before_it(
    framing, end
) -> None:
    with pytest.raises(aiohttp.ClientError):
        await read_all([STATED_END[framing][:-1], 0.05, end])


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (UNTIL_CLOSE["no length"], True),
        (UNTIL_CLOSE["HTTP/1.0"], True),
        (STATED_END["length"], False),
        (STATED_END["chunks"], False),
        (b"HTTP/1.1 204 No Content\r\n\r\n", False),
    ],
)
async def test_framing_tells_whether_a_body_ends_with_its_connection(response, expected) -> None:
    async with scripted(lambda head: [response, None]) as endpoint:
        session = open_session(aiohttp.TCPConnector())
        async with session, session.get(f"http://{endpoint.address}/") as answer:
            assert ends_with_connection(answer) is expected
