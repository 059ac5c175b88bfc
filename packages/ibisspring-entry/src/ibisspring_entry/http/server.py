"""uvicorn inside a daemon that has its own life cycle."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

import h11
import msgspec
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.refusals import error_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ibisspring_core.counters import Counters
    from ibisspring_core.settings import EntrySettings
    from ibisspring_entry.http.callers_connection import Application

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 30
BACKLOG = 1024


class EmbeddedServer(uvicorn.Server):
    """A server that leaves the signals to the daemon and tells when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, then say so."""
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


def make_protocol(counters: Counters, silence_s: float) -> type[H11Protocol]:
    """
    Make the connection class.

    It counts what is not HTTP and answers it with a typed refusal, and ends connections of callers
    that went silent: the kernel notices those that acknowledge nothing, a timer those that never
    send a whole request head.

    :param counters: the process's counters.
    :param silence_s: longest silence of a caller.
    :return: the class for uvicorn's configuration.
    """

    class CallerConnection(H11Protocol):
        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            connection = transport.get_extra_info("socket")
            silence_ms = max(1, round(silence_s * 1000))
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
            self.loop.call_later(silence_s, self.close_without_request)

        def close_without_request(self) -> None:
            if self.cycle is None and not self.transport.is_closing():
                counters.add("caller_sent_no_request")
                self.transport.close()

        def send_400_response(self, msg: str) -> None:
            counters.refused(Reason.BAD_REQUEST)
            refusal = Refusal(Reason.BAD_REQUEST, True, None, msg)
            body = msgspec.json.encode(error_body(refusal, ""))
            headers = [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ]
            events = (
                h11.Response(status_code=400, headers=headers, reason=b"Bad Request"),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
            try:
                for event in events:
                    self.transport.write(self.conn.send(event))
            except h11.LocalProtocolError:
                # An answer is under way on this connection already.
                pass
            self.transport.close()

    return CallerConnection


def make_server(
    application: Application, settings: EntrySettings, counters: Counters
) -> EmbeddedServer:
    """
    Configure the server.

    :param application: the ASGI application.
    :param settings: where to listen and how long a caller may be silent.
    :param counters: the process's counters.
    :return: a server that is not started.
    """
    host, _, port = settings.listen_http.rpartition(":")
    config = uvicorn.Config(
        application,
        host=host.strip("[]"),
        port=int(port),
        http=make_protocol(counters, settings.caller_silence_s),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_S,
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
    )
    return EmbeddedServer(config)


__all__ = ["EmbeddedServer", "make_protocol", "make_server"]
