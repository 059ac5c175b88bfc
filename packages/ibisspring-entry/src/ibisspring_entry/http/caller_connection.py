"""Callers' connections: closed if the caller stops responding; invalid HTTP is refused."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import h11
import msgspec
from uvicorn.protocols.http.h11_impl import H11Protocol

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.refusals import error_body

if TYPE_CHECKING:
    import asyncio

    from ibisspring_core.counters import Counters


class CallerConnection(H11Protocol):
    """
    uvicorn's connection protocol, extended by two time limits.

    The operating system closes a connection whose caller does not acknowledge sent data
    (TCP_USER_TIMEOUT); a timer closes a connection whose caller has not sent a complete request
    head. Without the timer, connections with half a request would accumulate and exhaust the entry.
    """

    def __init__(self, counters: Counters, silence_s: float, **options: Any) -> None:
        super().__init__(**options)
        self._counters = counters
        self._silence_s = silence_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the limits for unacknowledged data and for the request head of a new connection."""
        super().connection_made(transport)
        connection = transport.get_extra_info("socket")
        silence_ms = max(1, round(self._silence_s * 1000))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
        self.loop.call_later(self._silence_s, self._close_without_request)

    def _close_without_request(self) -> None:
        if self.cycle is None and not self.transport.is_closing():
            self._counters.add("caller_sent_no_request")
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Send a refusal for a request that is not valid HTTP, and close the connection."""
        self._counters.refused(Reason.BAD_REQUEST)
        try:
            for event in _bad_request_events(msg):
                self.transport.write(self.conn.send(event))
        except h11.LocalProtocolError:
            # A response is already being sent on this connection.
            pass
        self.transport.close()


def _bad_request_events(message: str) -> tuple[h11.Event, ...]:
    refusal = Refusal(Reason.BAD_REQUEST, True, None, message)
    body = msgspec.json.encode(error_body(refusal, ""))
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    return (
        h11.Response(status_code=400, headers=headers, reason=b"Bad Request"),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )


__all__ = ["CallerConnection"]
