"""
The HTTP protocol of clients' connections, which takes from a client no more than it can answer.

uvicorn's protocol parses whatever arrives, keeps requests that are sent ahead and answers that are
not read, and has no time limits. This one parses a bounded part of the received bytes in one step
of the event loop, and the next request only when the client has read the answer to the last one.
"""

from __future__ import annotations

import asyncio
import urllib.parse
from typing import TYPE_CHECKING, Any

import httptools
import msgspec
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from ibisspring_core.errors import Reason
from ibisspring_decisions.client_load import Excess, Phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.client_connections import ClientConnections

# Bytes that are received at a time, and that are parsed in one step of the event loop. Chunks of
# one byte take about a millisecond for each step.
READ_BYTES = 64 * 1024
PARSE_BYTES = 8 * 1024
# Bytes that are held unparsed before the connection is not read any more. Reading goes on until
# then, because a closed connection is only noticed while it is read.
AHEAD_BYTES = 16 * 1024
# Bytes of an answer that are handed to the transport at a time. The next ones follow when these
# have been sent.
SEND_BYTES = 64 * 1024
# Seconds after which a client may repeat a request that was refused for lack of memory.
RETRY_AFTER_S = 1.0
END_OF_HEAD = b"\r\n\r\n"
STATUS_BY_EXCESS = {
    Excess.SLOW_HEAD: 408,
    Excess.SLOW_BODY: 408,
    Excess.SHORT_OF_MEMORY: 503,
}
CLIENT_EXTENSION = "ibisspring.client"


class _Flow(FlowControl):
    """Resumes reading only where the connection may hold more bytes."""

    def __init__(self, transport: asyncio.Transport, may_read: Callable[[], bool]) -> None:
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        if self._may_read():
            super().resume_reading()


class _Cycle(RequestResponseCycle):
    """Sends long bodies of answers in parts, for which memory is reserved until they are sent."""

    def __init__(self, connection: ClientProtocol, **options: Any) -> None:
        super().__init__(**options)
        self._connection = connection

    async def receive(self) -> Any:
        """Take what has arrived of the body, and let more of it be parsed."""
        event = await super().receive()
        self._connection.parse_soon()
        return event

    async def send(self, message: Any) -> None:
        """Send an event of the answer."""
        body = message.get("body", b"")
        if len(body) <= SEND_BYTES:
            await super().send(message)
            return
        if not self._connection.reserve_answer(len(body)):
            # Nothing else gives way, and the answer cannot be held until it is read.
            self.transport.abort()
            return
        view = memoryview(body)
        for start in range(0, len(body), SEND_BYTES):
            part = view[start : start + SEND_BYTES]
            more_body = message.get("more_body", False) or start + SEND_BYTES < len(body)
            await super().send({**message, "body": part, "more_body": more_body})


class ClientProtocol(HttpToolsProtocol):
    """
    A connection of a client.

    :param clients: all connections of the daemon, which limits them together.
    :param options: further arguments of uvicorn's protocol.
    """

    def __init__(self, clients: ClientConnections, **options: Any) -> None:
        super().__init__(**options)
        self._clients = clients
        self._unparsed = bytearray()
        self._searched = 0
        self._is_parse_due = False
        self._in_message = False
        self._body_left: int | None = None
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Limit what the transport receives and buffers, and count the connection."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=0)
        self.flow = _Flow(transport, self._may_read)
        self._clients.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection with what it held."""
        self._clients.remove(self)
        self._unparsed.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Hold received bytes, and parse a part of them."""
        self._unparsed += data
        if not self._is_parse_due:
            self._parse()

    def reserve_body(self, total_bytes: int) -> bool:
        """
        Reserve memory for the body of the current request.

        :param total_bytes: what the request takes until it is answered.
        :return: whether the request may be received.
        """
        return self._clients.reserve(self, total_bytes)

    def reserve_answer(self, total_bytes: int) -> bool:
        """Reserve memory for the answer to the current request, in place of its body."""
        self._clients.enter(self, Phase.ANSWER)
        return self._clients.reserve(self, total_bytes)

    def end(self, excess: Excess) -> None:
        """Disconnect the client; if its request is not complete, refuse it as not run."""
        status = STATUS_BY_EXCESS.get(excess)
        is_incomplete = not self.cycle.response_started if self._in_message else self._is_answered()
        if not is_incomplete or self.transport.is_closing():
            self.transport.abort()
        elif status is None:
            self.transport.close()
        else:
            self._refuse(status, excess.value)

    def _may_read(self) -> bool:
        return len(self._unparsed) <= AHEAD_BYTES and not self._is_parse_due

    def _is_body_unread(self) -> bool:
        """Whether the request has not yet taken enough of its body."""
        return not self.cycle.response_complete and len(self.cycle.body) > READ_BYTES

    def _is_answered(self) -> bool:
        """Whether the answer to the last request was sent and read."""
        if self.cycle is None:
            return True
        return self.cycle.response_complete and not self.flow.write_paused

    def parse_soon(self) -> None:
        """Parse held bytes in a later step of the event loop."""
        if self._unparsed and not self._is_parse_due:
            self._is_parse_due = True
            self.loop.call_soon(self._parse)

    def _parse(self) -> None:
        self._is_parse_due = False
        left = PARSE_BYTES
        while left > 0 and not self.transport.is_closing():
            part = self._next_part(left)
            if not part:
                break
            left -= len(part)
            self._feed(part)
        else:
            # Further parts follow in later steps, so that one client does not occupy the loop.
            self.parse_soon()
        if self._may_read():
            self.flow.resume_reading()
        else:
            self.flow.pause_reading()

    def _next_part(self, most_bytes: int) -> bytes:
        """Take the bytes that may be parsed now: a whole head, or a part of a body."""
        if self.pipeline or not self._unparsed:
            return b""
        if self._in_message:
            if self._is_body_unread():
                return b""
            return self._take(min(most_bytes, self._body_left or most_bytes))
        if not self._is_answered():
            return b""
        if self._unparsed[:1] in (b"\r", b"\n"):
            del self._unparsed[: len(self._unparsed) - len(self._unparsed.lstrip(b"\r\n"))]
            self._searched = 0
        found = self._unparsed.find(END_OF_HEAD, max(0, self._searched - len(END_OF_HEAD)))
        size = found + len(END_OF_HEAD) if found >= 0 else len(self._unparsed)
        if size > self._clients.limits.max_header_bytes:
            self._refuse(431, Reason.TOO_LARGE.value)
            return b""
        if found >= 0:
            self._searched = 0
            return self._take(size)
        if size and not self._searched:
            self._clients.enter(self, Phase.HEAD)
        self._searched = size
        return b""

    def _take(self, size: int) -> bytes:
        part = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        return part

    def _feed(self, part: bytes) -> None:
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered; what follows the request cannot be parsed.
            self.cycle.keep_alive = False
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")

    def on_headers_complete(self) -> None:
        """Start the request; its body is received while it runs."""
        http_version = self.parser.get_http_version()
        raw_path, _, query_string = self.url.partition(b"?")
        path = raw_path.decode("latin-1")
        self.scope |= {
            "method": self.parser.get_method().decode("ascii"),
            "http_version": http_version,
            "path": urllib.parse.unquote(path) if "%" in path else path,
            "raw_path": raw_path,
            "query_string": query_string,
            "extensions": {CLIENT_EXTENSION: self},
        }
        previous = self.cycle
        self.cycle = _Cycle(
            self,
            scope=self.scope,
            transport=self.transport,
            flow=self.flow,
            logger=self.logger,
            access_logger=self.access_logger,
            access_log=self.access_log,
            default_headers=self.server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=self.expect_100_continue,
            keep_alive=http_version != "1.0" and self.parser.should_keep_alive(),
            on_response=self.on_response_complete,
        )
        self._in_message = True
        self._body_left = _content_length(self.headers)
        self._body_bytes = 0
        if previous is None or previous.response_complete:
            self._clients.enter(self, Phase.BODY)
            self._start_asgi_task(self.cycle, self.app)
        else:
            self.pipeline.appendleft((self.cycle, self.app))

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the request, or discard it if the request is answered."""
        count = len(body)
        self._body_bytes += count
        if self._body_left is not None:
            self._body_left -= count
        self._clients.move(self, count)
        if not self.cycle.response_complete:
            self.cycle.body += body
            self.cycle.message_event.set()
        elif self._body_bytes > self._clients.limits.max_body_bytes:
            self.transport.abort()

    def on_message_complete(self) -> None:
        """End the body; the next request is parsed when this one is answered."""
        self._in_message = False
        if self.cycle.response_complete:
            self._clients.enter(self, Phase.IDLE)
            return
        if not self.pipeline:
            self._clients.enter(self, Phase.RUNNING)
        self.cycle.more_body = False
        self.cycle.message_event.set()

    def on_response_complete(self) -> None:
        """Go on with the next request, once the client has read the answer."""
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        if self.flow.write_paused:
            return
        self._answered()

    def pause_writing(self) -> None:
        """Wait until the client has read what was sent."""
        super().pause_writing()
        if not self._in_message:
            self._clients.enter(self, Phase.ANSWER)

    def resume_writing(self) -> None:
        """Go on with the answer, or with the next request."""
        super().resume_writing()
        if self.transport.is_closing():
            return
        if self.cycle is not None and self.cycle.response_complete:
            self._answered()
        elif not self._in_message:
            self._clients.enter(self, Phase.RUNNING)

    def _answered(self) -> None:
        self._clients.reserve(self, 0)
        if self.pipeline:
            cycle, app = self.pipeline.pop()
            self._clients.enter(self, Phase.BODY if cycle.more_body else Phase.RUNNING)
            self._start_asgi_task(cycle, app)
            return
        if self._in_message:
            self._clients.enter(self, Phase.REST)
        else:
            self._clients.enter(self, Phase.IDLE)
        self.parse_soon()

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are not a request."""
        if self._is_answered() or not self.cycle.response_started:
            self._refuse(400, Reason.BAD_REQUEST.value)
        else:
            self.transport.abort()

    def _refuse(self, status: int, reason: str) -> None:
        """Send an answer without a request that could be run, and close the connection."""
        body = msgspec.json.encode({"error": reason})
        lines = [
            STATUS_LINE[status],
            b"content-type: application/json\r\n",
            b"content-length: %d\r\n" % len(body),
            b"connection: close\r\n",
        ]
        if status == 503:
            lines.append(b"retry-after: %d\r\n" % RETRY_AFTER_S)
        self.transport.write(b"".join([*lines, b"\r\n", body]))
        self.transport.close()


def _content_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None


__all__ = ["CLIENT_EXTENSION", "RETRY_AFTER_S", "ClientProtocol"]
