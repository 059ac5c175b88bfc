"""Sends HTTP requests of which no byte arrives after the lease of the sending daemon has lapsed."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from ibisspring_core.clock import boot_now
from ibisspring_core.http_sessions import open_session
from ibisspring_core.response_bodies import read_body

LEASE_POLL_S = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)

RemainingLease = Callable[[], float]


@dataclass(frozen=True)
class HttpRequest:
    """
    A request to an external system or an endpoint.

    :param url: absolute URL.
    :param body: body, sent byte for byte.
    :param headers: headers by name.
    """

    method: str
    url: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class HttpAnswer:
    """
    A complete HTTP response.

    :param status: HTTP status.
    :param body: body of the response.
    """

    status: int
    body: bytes


@dataclass(frozen=True)
class NoAnswer:
    """
    The result of an HTTP request to which no complete response arrived.

    :param sent: whether a byte of the request may have been sent; if not, the receiver cannot have
        received the request.
    :param detail: the cause, for the log.
    """

    sent: bool
    detail: str


class _GuardedSocket(socket.socket):
    """
    A TCP socket that checks the lease immediately before each send system call.

    If the lease were checked earlier, a process that is frozen after the check and resumed after
    its lease has lapsed would send its order while its successor sends orders too. Here the check
    is the last statement before the system call, so that only a freeze between these few
    instructions goes unnoticed. TCP_USER_TIMEOUT ends the operating system's retransmission when
    the lease lapses, even while the process is frozen: bytes sent during a network partition do not
    arrive after the partition heals.
    """

    lease_left: RemainingLease
    min_lease_left_s: float
    sent: bool

    def send(self, data: Any, flags: int = 0) -> int:
        bound_ms = max(1, int(self.lease_left() * 1000))
        self.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, bound_ms)
        if self.lease_left() < self.min_lease_left_s:
            raise ConnectionAbortedError("too little of the lease is left to send the order")
        self.sent = True
        return super().send(data, flags)


class _GuardedConnector(aiohttp.TCPConnector):
    """Opens a single new guarded connection, which can be aborted."""

    def __init__(self, lease_left: RemainingLease, min_lease_left_s: float) -> None:
        super().__init__(force_close=True, socket_factory=self._open_socket)
        self._lease_left = lease_left
        self._min_lease_left_s = min_lease_left_s
        self.sockets: list[_GuardedSocket] = []
        self.transport: asyncio.Transport | None = None

    def _open_socket(self, address: Any) -> socket.socket:
        family, kind, protocol, _, _ = address
        opened = _GuardedSocket(family, kind, protocol)
        opened.lease_left = self._lease_left
        opened.min_lease_left_s = self._min_lease_left_s
        opened.sent = False
        opened.setblocking(False)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With this option, closing resets the connection and discards its unsent bytes. Without it,
        # the operating system would still deliver these bytes, followed by a FIN.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.sockets.append(opened)
        return opened

    async def connect(self, *arguments: Any, **keywords: Any) -> Any:
        connection = await super().connect(*arguments, **keywords)
        self.transport = connection.transport
        return connection

    def sent(self) -> bool:
        """Whether a byte of the request may have been sent."""
        return any(opened.sent for opened in self.sockets)

    def abort(self) -> None:
        """Reset the connection immediately and discard the unsent bytes of the request."""
        if self.transport is not None:
            self.transport.abort()


async def send_guarded(
    request: HttpRequest, lease_left: RemainingLease, min_lease_left_s: float, timeout_s: float
) -> HttpAnswer | NoAnswer:
    """
    Send a request once, on a new connection, while a lease is valid.

    :param request: the request, for example an order to the platform.
    :param lease_left: returns the remaining time of the lease in seconds, from a clock that counts
        suspension.
    :param min_lease_left_s: minimum remaining time of the lease, in seconds, when bytes are sent.
    :param timeout_s: seconds to wait for the response; the wait also ends when the lease lapses.
    :return: the response, or the reason why there is none.
    """
    if lease_left() < min_lease_left_s:
        return NoAnswer(False, "too little of the lease is left to send the order")
    connector = _GuardedConnector(lease_left, min_lease_left_s)
    async with open_session(connector) as session:
        exchange = asyncio.create_task(_exchange(session, request))
        try:
            cause = await _wait_until_done(exchange, lease_left, timeout_s)
            if cause:
                return NoAnswer(connector.sent(), cause)
            return exchange.result()
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(connector.sent(), repr(error))
        finally:
            connector.abort()
            exchange.cancel()
            await asyncio.gather(exchange, return_exceptions=True)


async def _wait_until_done(
    exchange: asyncio.Task[HttpAnswer], lease_left: RemainingLease, timeout_s: float
) -> str:
    # The event loop's timers stop while the VM is suspended. The lease and the time limit are
    # therefore checked every `LEASE_POLL_S` seconds on clocks that count the suspension.
    end_s = boot_now() + timeout_s
    while not exchange.done():
        if lease_left() <= 0:
            return "the lease lapsed"
        if boot_now() > end_s:
            return f"no answer in {timeout_s} s"
        await asyncio.wait((exchange,), timeout=LEASE_POLL_S)
    return ""


async def _exchange(session: aiohttp.ClientSession, request: HttpRequest) -> HttpAnswer:
    async with session.request(
        request.method,
        request.url,
        data=request.body,
        headers=request.headers,
        allow_redirects=False,
    ) as response:
        return HttpAnswer(response.status, await read_body(response))


__all__ = ["HttpAnswer", "HttpRequest", "RemainingLease", "NoAnswer", "send_guarded"]
