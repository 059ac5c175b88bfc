from __future__ import annotations

import ast
import re
from pathlib import Path

import aiohttp
import pytest

from fakes.scripted_endpoint import RESET, scripted
from ibisspring_core.http_sessions import ends_with_connection, open_session

REPOSITORY = Path(__file__).resolve().parents[3]
METHODS = ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH")
SENDS = {"request", "ws_connect", *(method.lower() for method in METHODS)}
SESSION = re.compile(r"session(_for\(.*\))?$")
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


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("body", [b"", b"body"])
@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("end", [RESET, None])
async def test_request_whose_connection_breaks_is_not_sent_again(
    method, body, is_kept, end
) -> None:
    # aiohttp resends six methods by itself, so a request that may run once ran twice. If the second
    # connection was refused, the request seemed never to have been sent.
    kept = HEAD + b"Content-Length: 0\r\n\r\n"
    heads: list[str] = []

    def answer(head: str) -> list:
        heads.append(head)
        return [kept] if is_kept and len(heads) == 1 else [end]

    async with scripted(answer) as endpoint, open_session(aiohttp.TCPConnector()) as session:
        url = f"http://{endpoint.address}/"
        if is_kept:
            async with session.post(url, data=body) as response:
                await response.read()
        with pytest.raises((aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)):
            await session.request(method, url, data=body or None)

    assert [head.split()[0] for head in heads] == ["POST", method] if is_kept else [method]
    assert endpoint.opened == 1


def _calls() -> list[tuple[str, ast.Call, str]]:
    """Return all calls in the product's sources: place, call, and source of the called object."""
    calls = []
    for root in (REPOSITORY / "packages", REPOSITORY / "platform"):
        for path in root.glob("**/*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Call):
                    place = f"{path.relative_to(REPOSITORY)}:{node.lineno}"
                    calls.append((place, node, ast.unparse(node.func)))
    return calls


def test_all_sessions_are_opened_in_one_module() -> None:
    # A session that is opened elsewhere repeats requests and completes truncated bodies again.
    opened = [place for place, _, called in _calls() if called.endswith("ClientSession")]

    assert len(opened) == 1
    assert "ibisspring_core/http_sessions.py" in opened[0]


def test_no_request_follows_a_redirect() -> None:
    # A redirected request would be sent to an address that is no endpoint of its route.
    requests = []
    for place, call, called in _calls():
        sender, _, method = called.rpartition(".")
        if method in SENDS and SESSION.search(sender):
            requests.append((place, {word.arg: ast.unparse(word.value) for word in call.keywords}))

    assert len(requests) >= 6
    followed = [place for place, words in requests if words.get("allow_redirects") != "False"]
    assert followed == []
