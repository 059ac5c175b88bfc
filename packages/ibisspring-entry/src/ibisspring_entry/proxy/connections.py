"""
Connections to endpoints: a fresh one for every request.

A connection that waits in a pool may have been forgotten by something between the two ends: it
accepts bytes and returns nothing for ever, while new connections (a health probe's too) work. A
request sent on it hangs, and whether it ran is not known. A fresh connection has just proved both
directions by its handshake, and a connect that fails proves that no byte of the request left, so
"not run" can be said and the request may go elsewhere. docs/decisions/0030 weighs the cost.
"""

from __future__ import annotations

import socket

import aiohttp

CONNECT_S = 2.0
"""
Seconds for a TCP handshake: VMs are milliseconds apart, and one lost SYN is sent again after 1 s.
"""

LINE_BYTES = 1 << 20
"""Longest line of an engine's stream."""

KEEPALIVE_S = 5
USER_TIMEOUT_MS = 10_000

CONNECT_FAILURES = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
"""Raised before any byte of a request left."""


def _make_socket(address: tuple) -> socket.socket:
    """Make a socket whose peer's silent death is noticed by the kernel as well."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made


def open_session() -> aiohttp.ClientSession:
    """
    Open the client for all endpoints.

    Cookies are dropped: kept ones of one client account would be sent with another's request.

    :return: the session, to be closed by the caller.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_make_socket)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        # The client's own Accept-Encoding would have endpoints compress for callers who can't
        # read it.
        skip_auto_headers=("Accept-Encoding", "Content-Type", "User-Agent"),
        read_bufsize=LINE_BYTES,
    )
    # The client sends PUT, DELETE and others again by itself when a connection breaks, also one on
    # which the request may have run. Here only who knows the rules decides that. The switch has no
    # public name; test_a_broken_connection_repeats_nothing shows when it stops working.
    session._retry_connection = False
    return session


def timeout_of(silence_s: float) -> aiohttp.ClientTimeout:
    """
    Bound the silence of one connection; the whole time is bounded by who waits for it.

    :param silence_s: longest time without a byte.
    :return: the client's timeouts.
    """
    return aiohttp.ClientTimeout(
        total=None, connect=None, sock_connect=CONNECT_S, sock_read=silence_s
    )


__all__ = ["CONNECT_FAILURES", "LINE_BYTES", "open_session", "timeout_of"]
