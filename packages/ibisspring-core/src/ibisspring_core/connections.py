"""HTTP connections from this daemon to endpoints."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from ibisspring_core.clock import boot_now
from ibisspring_core.guarded_http import HttpAnswer, NoAnswer
from ibisspring_core.http_sessions import ends_with_connection, open_session
from ibisspring_core.kept_connections import IdleConnections
from ibisspring_core.request_payloads import payload_of
from ibisspring_core.response_bodies import ResponseMemory, read_body
from ibisspring_core.settings.model import DEFAULT_ANSWER_BYTES

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from ibisspring_core.guarded_http import HttpRequest
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.response_bodies import BodyReading
    from ibisspring_core.settings.vm import VmSettings

Headers = tuple[tuple[str, str], ...]

# Seconds to wait for a TCP connection to an endpoint. An endpoint on a powered-off VM does not
# answer a SYN; another endpoint is tried after this time.
CONNECT_TIMEOUT_S = 0.5
# Seconds for the check whether an endpoint still accepts connections after one of them broke. A
# process that ended is refused at once; the check must not delay the next attempt for long.
END_CHECK_TIMEOUT_S = 0.1
# Seconds for which a new connection must stay open to show that its process goes on, and the pause
# before another one is opened.
STAYS_OPEN_S = 0.01
REOPEN_PAUSE_S = 0.005
# Maximum number of connections from this daemon to one endpoint. Each endpoint limits its
# connections over all daemons together.
CONNECTIONS_PER_ENDPOINT = 16
# Seconds after which this daemon closes an idle connection. This is longer than the keep-alive time
# of endpoints, which close idle connections themselves and announce their keep-alive time in each
# response.
IDLE_S = 75.0
# Keep-alive time in seconds that is assumed for an endpoint that sends no Keep-Alive header.
DEFAULT_KEEP_ALIVE_S = 5.0
# Milliseconds for which sent bytes may stay unacknowledged. Afterwards the endpoint's VM counts as
# powered off and the connection fails.
TCP_USER_TIMEOUT_MS = 1500
_SUPPRESSED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class Connections:
    """The service `connections`: one connection pool for all endpoints."""

    name = "connections"

    def __init__(
        self, max_answer_bytes: int = DEFAULT_ANSWER_BYTES, memory: ResponseMemory | None = None
    ) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._new_session: aiohttp.ClientSession | None = None
        self._kept = IdleConnections()
        self._max_answer_bytes = max_answer_bytes
        self._memory = memory or ResponseMemory()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Connections:
        """
        Build the pool of a daemon.

        :param settings: validated settings, with the limit of an answer and the daemon's memory.
        """
        memory = ResponseMemory.from_memory_mb(settings.size.memory_mb)
        return cls(settings.max_answer_bytes, memory)

    async def start(self, kernel: Kernel) -> None:
        """Create the pool; connections open with the first requests."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_PER_ENDPOINT,
            keepalive_timeout=IDLE_S,
            socket_factory=_open_socket,
        )
        self._session = _open_session(connector)

    async def stop(self) -> None:
        """Close the pool and its connections."""
        await self._session.close()
        if self._new_session is not None:
            await self._new_session.close()

    def request(
        self,
        method: str,
        address: str,
        target: str,
        headers: Headers,
        body: bytes | bytearray,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        is_new: bool = False,
    ) -> aiohttp.client._RequestContextManager:
        """
        Send a request without changing or adding headers, and without following redirects.

        :param address: IP:port of the endpoint.
        :param target: path and query, sent as given.
        :param headers: pairs of name and value.
        :param body: request body; empty for none.
        :param connect_timeout_s: seconds to wait for a connection if none is idle.
        :param is_new: use a connection that is not in the pool and is closed after the response.
            All idle connections may be silent without an error, for example after a device on the
            way has lost its state; a new one still reaches the endpoint.
        :return: an asynchronous context manager that yields the response.
        """
        if not is_new:
            self._kept.take_idle((address,), boot_now())
        return self._session_for(is_new).request(
            method,
            URL(f"http://{address}{target}", encoded=True),
            headers=headers,
            data=payload_of(body),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        )

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes | bytearray:
        """
        Read an endpoint's answer to its end.

        :raises BodyTooLargeError: if it exceeds the limit of an answer, or all that this daemon
            reads exceed theirs.
        """
        return await read_body(response, self._max_answer_bytes, self._memory)

    def reading(self, response: aiohttp.ClientResponse) -> AbstractContextManager[BodyReading]:
        """Count an endpoint's stream, which the caller reads, while the context is open."""
        return self._memory.reading(response, self._max_answer_bytes)

    def _session_for(self, is_new: bool) -> aiohttp.ClientSession:
        if not is_new:
            return self._session
        if self._new_session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_open_socket)
            self._new_session = _open_session(connector)
        return self._new_session

    async def fetch(self, request: HttpRequest, timeout_s: float) -> HttpAnswer | NoAnswer:
        """
        Send a read-only request over a pooled connection.

        :param request: a request without side effects; orders to the platform or an endpoint use
            the guarded connections of `guarded_http` instead.
        :param timeout_s: seconds until the complete response must have arrived.
        :return: the response, or the error that prevented it.
        """
        url = URL(request.url, encoded=True)
        headers = tuple(request.headers.items())
        address = f"{url.host}:{url.port}"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.request(
                    request.method, address, url.raw_path_qs, headers, request.body
                ) as response,
            ):
                body = await read_body(response, memory=self._memory)
                self.record_idle(address, headers_of(response))
                return HttpAnswer(response.status, body)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return NoAnswer(True, repr(error))

    def idle(self, address: str) -> bool:
        """Whether the pool holds an open, idle connection to an endpoint."""
        return self._kept.count_idle((address,), boot_now()) > 0

    def record_idle(self, address: str, headers: Headers) -> float:
        """
        Record that a response was read completely and its connection is idle.

        :param address: IP:port of the endpoint.
        :param headers: headers of that response, with the endpoint's keep-alive time.
        :return: seconds that the endpoint keeps the connection open; 0.0 if it closes it.
        """
        keep_s = keep_alive_s(headers)
        self._kept.add((address,), boot_now(), keep_s)
        return keep_s


async def is_refused(address: str, timeout_s: float = END_CHECK_TIMEOUT_S) -> bool:
    """
    Open a connection to find out whether a process still listens at an address.

    A process that ends closes its connections one after the other, so the listening one may be
    closed last. A new connection that is closed at once is therefore followed by another one.

    :param address: IP:port of the endpoint.
    :param timeout_s: seconds until the answer must be known.
    :return: True if a connection was refused; False if one stays open, or if it stays unknown.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                if await _stays_open(host, int(port)):
                    return False
                await asyncio.sleep(REOPEN_PAUSE_S)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False


async def check_end_of_body(response: aiohttp.ClientResponse, address: str) -> None:
    """
    Check that a body which ended with its connection was not truncated by the end of its process.

    The operating system closes the connections of a process that ends as regularly as the process
    itself would. Only a body that states its own end shows the difference.

    :param response: a response whose body was read to its end.
    :param address: IP:port of the endpoint.
    :raises aiohttp.ClientPayloadError: if the endpoint's process has ended.
    """
    if ends_with_connection(response) and await is_refused(address):
        raise aiohttp.ClientPayloadError("the endpoint's process ended with the body")


async def _stays_open(host: str, port: int) -> bool:
    """Open a connection, and return whether the other side leaves it open for a moment."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        raise
    except OSError:
        return False
    try:
        async with asyncio.timeout(STAYS_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return True
    except ConnectionError:
        return False
    finally:
        writer.close()
    return False


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return open_session(connector, auto_decompress=False, skip_auto_headers=_SUPPRESSED_HEADERS)


def keep_alive_s(headers: Headers) -> float:
    """
    Read the keep-alive time from response headers.

    :param headers: headers of a response.
    :return: seconds that the endpoint keeps an idle connection open; 0.0 if it closes it.
    """
    keep_s = DEFAULT_KEEP_ALIVE_S
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
    """Return the headers of a response as the endpoint sent them, duplicates included."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.raw_headers
    )


__all__ = [
    "Connections",
    "Headers",
    "check_end_of_body",
    "headers_of",
    "is_refused",
    "keep_alive_s",
]
