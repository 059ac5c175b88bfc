"""The connections to endpoints."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from ibisspring_core.clock import boot_now
from ibisspring_core.guarded_http import HttpAnswer, NoAnswer
from ibisspring_core.kept_connections import KeptConnections

if TYPE_CHECKING:
    from ibisspring_core.guarded_http import HttpRequest
    from ibisspring_core.kernel import Kernel

Headers = tuple[tuple[str, str], ...]

# An endpoint on a VM without power answers no opening packet; another one is tried after this.
CONNECT_TIMEOUT_S = 0.5
# Endpoints accept a bounded number of connections from all daemons together.
CONNECTIONS_PER_ENDPOINT = 16
# Endpoints close idle connections themselves and say when; the pool keeps them for longer.
IDLE_S = 75.0
# For an endpoint that does not say it.
UNSAID_KEEP_S = 5.0
# Bytes that an endpoint does not acknowledge for this long are lost: its VM has no power.
TCP_USER_TIMEOUT_MS = 1500
_OWN_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class Connections:
    """The service `connections`: one pool for all endpoints."""

    name = "connections"

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._kept = KeptConnections()

    async def start(self, kernel: Kernel) -> None:
        """Open the pool."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_PER_ENDPOINT,
            keepalive_timeout=IDLE_S,
            socket_factory=_open_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=_OWN_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def stop(self) -> None:
        """Close all connections."""
        await self._session.close()

    def request(
        self, method: str, address: str, target: str, headers: Headers, body: bytes
    ) -> aiohttp.client._RequestContextManager:
        """
        Send a request as it is.

        :param address: IP:port.
        :param target: path and query, not changed.
        :return: a context manager of the answer.
        """
        self._kept.taken((address,), boot_now())
        return self._session.request(
            method,
            URL(f"http://{address}{target}", encoded=True),
            headers=headers,
            data=body or None,
            allow_redirects=False,
        )

    async def ask(self, question: HttpRequest, timeout_s: float) -> HttpAnswer | NoAnswer:
        """
        Ask an endpoint something that changes nothing there, on a connection that is kept.

        :param question: a request without effect; orders go on guarded connections of their own.
        """
        url = URL(question.url, encoded=True)
        headers = tuple(question.headers.items())
        address = f"{url.host}:{url.port}"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.request(
                    question.method, address, url.raw_path_qs, headers, question.body
                ) as response,
            ):
                body = await response.read()
                self.released(address, headers_of(response))
                return HttpAnswer(response.status, body)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return NoAnswer(True, repr(error))

    def idle(self, address: str) -> bool:
        """Whether a connection to an endpoint is open and idle."""
        return self._kept.idle((address,), boot_now()) > 0

    def released(self, address: str, headers: Headers) -> float:
        """
        Note that an answer was read to its end.

        :param headers: of the answer.
        :return: seconds that the endpoint keeps the connection.
        """
        keep_s = keep_alive_s(headers)
        self._kept.released((address,), boot_now(), keep_s)
        return keep_s


def keep_alive_s(headers: Headers) -> float:
    """
    Read how long an endpoint keeps a connection that is idle.

    :param headers: of an answer.
    :return: seconds; 0.0 where it closes the connection.
    """
    keep_s = UNSAID_KEEP_S
    for name, value in headers:
        if name.lower() == "connection" and "close" in value.lower():
            return 0.0
        if name.lower() != "keep-alive":
            continue
        for part in value.split(","):
            key, _, seconds = part.strip().partition("=")
            if key.lower() == "timeout" and seconds.isascii() and seconds.isdecimal():
                keep_s = float(seconds)
    return keep_s


def _open_socket(address: tuple) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return opened


def headers_of(response: aiohttp.ClientResponse) -> Headers:
    """Headers of an answer as the endpoint sent them."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.raw_headers
    )


__all__ = ["Connections", "Headers", "headers_of", "keep_alive_s"]
