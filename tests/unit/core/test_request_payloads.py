from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from ibisspring_core.request_payloads import PART_BYTES, LargeBody, payload_of


class _Writer:
    def __init__(self) -> None:
        self.parts: list[bytes] = []

    async def write(self, part: memoryview) -> None:
        self.parts.append(bytes(part))


@pytest.mark.parametrize("kind", [bytes, bytearray])
async def test_a_large_body_is_written_in_parts(kind) -> None:
    body = kind(range(256)) * 1000
    writer = _Writer()

    await payload_of(body).write_with_length(writer, len(body))

    assert b"".join(writer.parts) == body
    assert max(map(len, writer.parts)) <= PART_BYTES


def test_a_small_body_is_sent_as_it_is() -> None:
    assert payload_of(b"") is None
    assert payload_of(b"small") == b"small"


async def test_an_answer_before_the_end_of_a_large_body_ends_its_connection() -> None:
    # The rest of the body would otherwise be missing where the endpoint expects it, and the next
    # request on the connection would be taken for it.
    peers = []

    async def answer(request: web.Request) -> web.Response:
        peers.append(request.transport.get_extra_info("peername"))
        return web.Response(text="early")

    app = web.Application()
    app.router.add_post("/", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
    body = LargeBody(bytes(64 * 1024 * 1024))
    async with aiohttp.ClientSession() as session, asyncio.timeout(30):
        async with session.post(url, data=body) as response:
            assert await response.text() == "early"
        async with session.post(url, data=b"next") as response:
            assert response.status == 200
    await runner.cleanup()

    assert peers[0] != peers[1]
