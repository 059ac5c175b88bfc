"""
Connections to endpoints: a new one for every request.

A device between the two ends may drop the state of a pooled connection while it is idle. Such a
connection accepts bytes but never returns any, while new connections (also those of a health probe)
work: a request sent on it hangs, and whether it ran is unknown. The handshake of a new connection
has just shown that both directions work. If connecting fails, no byte of the request was sent, so
the request has not been run and may go to another endpoint. docs/decisions/0030 discusses the cost.
"""

from __future__ import annotations

import socket

import aiohttp

from ibisspring_core import http_sessions

CONNECT_TIMEOUT_S = 2.0
"""
Time limit in seconds for a TCP handshake: the round trip between VMs takes milliseconds, and a lost
SYN is resent after 1 s.
"""

MAX_LINE_BYTES = 1 << 20
"""Largest line, in bytes, in an engine's response stream."""

KEEPALIVE_S = 5
"""Idle seconds before the first TCP keepalive probe, and seconds between two probes."""

USER_TIMEOUT_MS = 10_000
"""Milliseconds after which the operating system closes a connection with unacknowledged data."""

CONNECT_FAILURES = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
"""Exceptions that are raised only before any byte of a request was sent."""


def _make_socket(address: tuple) -> socket.socket:
    """Create a socket on which the operating system detects a peer that is no longer reachable."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened


def open_session() -> aiohttp.ClientSession:
    """
    Open the HTTP client session for all endpoints.

    :return: the session, to be closed by the caller.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_make_socket)
    return http_sessions.open_session(
        connector,
        auto_decompress=False,
        # With aiohttp's default Accept-Encoding, endpoints would compress answers for callers that
        # cannot decompress them.
        skip_auto_headers=("Accept-Encoding", "Content-Type", "User-Agent"),
        read_bufsize=MAX_LINE_BYTES,
    )


def request_timeout(read_timeout_s: float) -> aiohttp.ClientTimeout:
    """
    Build the HTTP client's timeouts of one request to an endpoint.

    The code that awaits the answer limits the total time.

    :param read_timeout_s: longest time in seconds without a received byte.
    """
    return aiohttp.ClientTimeout(
        total=None, connect=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=read_timeout_s
    )


__all__ = ["CONNECT_FAILURES", "MAX_LINE_BYTES", "open_session", "request_timeout"]
