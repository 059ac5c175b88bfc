"""Sends one HTTP request whose bytes never outlive the sender's lease."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from ibisspring_core.clock import boot_now

LEASE_POLL_S = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)

LeaseLeft = Callable[[], float]


@dataclass(frozen=True)
class HttpRequest:
    """
    A request to an outside system.

    :param method: HTTP method.
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
    A whole answer.

    :param status: HTTP status.
    :param body: its body.
    """

    status: int
    body: bytes


@dataclass(frozen=True)
class NoAnswer:
    """
    No whole answer came.

    :param sent: whether a byte of the request left; if not, the receiver never saw it.
    :param detail: the cause, for the log.
    """

    sent: bool
    detail: str


class _GuardedSocket(socket.socket):
    """
    A TCP socket that asks for the lease in the very call that hands bytes to the kernel.

    A process frozen after an earlier check would go on after its thaw, with its lease long lapsed,
    and send next to its successor. Here the check is the last statement before the system call, so
    only a freeze of exactly these few instructions escapes it. TCP_USER_TIMEOUT ends the kernel's
    own retransmission at the lease's end, which also holds while the process is frozen: bytes
    written into a partition do not arrive when it heals.
    """

    lease_left: LeaseLeft
    least_left_s: float
    sent: bool

    def send(self, data: Any, flags: int = 0) -> int:
        bound_ms = max(1, int(self.lease_left() * 1000))
        self.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, bound_ms)
        if self.lease_left() < self.least_left_s:
            raise ConnectionAbortedError("the lease does not outlast the order")
        self.sent = True
        return super().send(data, flags)


class _GuardedConnector(aiohttp.TCPConnector):
    """Opens one fresh guarded connection and keeps its transport, to abort it."""

    def __init__(self, lease_left: LeaseLeft, least_left_s: float) -> None:
        super().__init__(force_close=True, socket_factory=self._open_socket)
        self._lease_left = lease_left
        self._least_left_s = least_left_s
        self.sockets: list[_GuardedSocket] = []
        self.transport: asyncio.Transport | None = None

    def _open_socket(self, address: Any) -> socket.socket:
        family, kind, protocol, _, _ = address
        opened = _GuardedSocket(family, kind, protocol)
        opened.lease_left = self._lease_left
        opened.least_left_s = self._least_left_s
        opened.sent = False
        opened.setblocking(False)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Closing resets the connection and throws its unsent bytes away, in place of a FIN behind
        # bytes that the kernel would still deliver.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.sockets.append(opened)
        return opened

    async def connect(self, *arguments: Any, **keywords: Any) -> Any:
        # aiohttp repeats an idempotent request by itself once when the connection ends without an
        # answer: a second send that no intent covers. The second connection is refused here.
        if self.transport is not None:
            raise aiohttp.ClientConnectionError("the connection ended without an answer")
        connection = await super().connect(*arguments, **keywords)
        self.transport = connection.transport
        return connection

    def sent(self) -> bool:
        """Whether a byte may have left."""
        return any(opened.sent for opened in self.sockets)

    def abort(self) -> None:
        """Reset the connection now."""
        if self.transport is not None:
            self.transport.abort()


async def send_guarded(
    request: HttpRequest, lease_left: LeaseLeft, least_left_s: float, timeout_s: float
) -> HttpAnswer | NoAnswer:
    """
    Send a request once, on a fresh connection, while a lease lasts.

    :param request: the request.
    :param lease_left: what is left of the lease in seconds, read on a clock that counts suspend.
    :param least_left_s: seconds that the lease must have left when bytes are written.
    :param timeout_s: longest time to wait for the answer; the lease's end cuts it short.
    :return: the answer, or why there is none.
    """
    if lease_left() < least_left_s:
        return NoAnswer(False, "the lease does not outlast the order")
    connector = _GuardedConnector(lease_left, least_left_s)
    async with aiohttp.ClientSession(connector=connector) as session:
        exchange = asyncio.create_task(_exchange(session, request))
        try:
            cause = await _wait_end(exchange, lease_left, timeout_s)
            if cause:
                return NoAnswer(connector.sent(), cause)
            return exchange.result()
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(connector.sent(), repr(error))
        finally:
            connector.abort()
            exchange.cancel()
            await asyncio.gather(exchange, return_exceptions=True)


async def _wait_end(
    exchange: asyncio.Task[HttpAnswer], lease_left: LeaseLeft, timeout_s: float
) -> str:
    # The loop's own timers stand still while the VM is suspended, so the clocks are polled.
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
        return HttpAnswer(response.status, await response.read())


__all__ = ["HttpAnswer", "HttpRequest", "LeaseLeft", "NoAnswer", "send_guarded"]
