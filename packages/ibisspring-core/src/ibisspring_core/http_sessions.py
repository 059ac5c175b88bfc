"""
HTTP client sessions, which send each request once and report whether its response arrived whole.

All sessions of the project are opened here, so that all of them have the same guards.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

# Most bytes in a row that a connection delivers without a byte of a body: a head, informational
# responses, the framing of a chunk, trailers.
MAX_FRAMING_BYTES = 1024 * 1024
# Bytes that a connection receives at a time. With asyncio's 256 KiB, a hundred answers that arrive
# together take 25 MB before any of them is read.
RECEIVE_BYTES = 64 * 1024


class _ResponseHandler(ResponseHandler):
    """
    Reports a broken connection as the end of a body whose length the response does not state, and
    closes a connection that delivers bytes without end that belong to no body.

    A body without a length ends with its connection. aiohttp takes every end of the connection for
    the end of the body, also a reset, so that a truncated body would be read as a complete one.
    """

    _framing_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what the transport receives at a time."""
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; end the response with an error if they bring no body for long."""
        payload, body_bytes = self._payload, _body_bytes(self._payload)
        super().data_received(data)
        if self._payload is not payload or _body_bytes(self._payload) != body_bytes:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes <= MAX_FRAMING_BYTES:
            return
        error = aiohttp.ClientPayloadError(f"{self._framing_bytes} bytes without a body")
        if payload is not None and not payload.is_eof():
            set_exception(payload, error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the body in progress with an error, unless the other side closed the connection."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            error = aiohttp.ClientPayloadError(f"the connection broke inside the body: {exc!r}")
            set_exception(payload, error, exc)
        super().connection_lost(exc)


def _body_bytes(payload: Any) -> int:
    return payload.total_bytes if payload is not None else 0


def open_session(connector: aiohttp.TCPConnector, **options: Any) -> aiohttp.ClientSession:
    """
    Open an HTTP client session that sends each request once.

    Only the code that sends a request knows whether it may be repeated. A resent one may run twice;
    and if its second connection is refused, a request that has run seems never to have been sent.
    Callers pass `allow_redirects=False` with each request, for which sessions have no default.

    A broken connection never ends a body as a complete one. Cookies are not stored, because a
    cookie set for one client account would be sent with requests of other client accounts.

    :param connector: the session's connector, which the session closes.
    :param options: further arguments of `aiohttp.ClientSession`.
    :return: the session, to be closed by the caller.
    """
    # Both attributes are private in aiohttp; test_http_sessions.py fails if one stops working.
    connector._factory = partial(_ResponseHandler, loop=asyncio.get_running_loop())
    session = aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar(), **options
    )
    # By default aiohttp resends GET, HEAD, OPTIONS, TRACE, PUT and DELETE if a connection breaks.
    session._retry_connection = False
    return session


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """
    Whether the body of a response ends with its connection, as it has no length and no chunks.

    A reset ends such a body with an error, but the end of the other side's process may close the
    connection as regularly as the end of the body does.
    """
    if response.method == "HEAD" or response.status in (204, 304):
        return False
    if "Content-Length" in response.headers:
        return False
    return "chunked" not in response.headers.get("Transfer-Encoding", "").lower()


__all__ = ["ends_with_connection", "open_session"]
