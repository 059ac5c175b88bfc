"""uvicorn inside a daemon that has its own life cycle."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import h11
import msgspec
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.refusals import error_body

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from ibisspring_core.counters import Counters
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


def make_protocol(counters: Counters) -> type[H11Protocol]:
    """
    Make the connection class, which counts what is not HTTP and answers it with a typed refusal.

    :param counters: the process's counters.
    :return: the class for uvicorn's configuration.
    """

    class CountingProtocol(H11Protocol):
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

    return CountingProtocol


def make_server(application: Application, listen: str, counters: Counters) -> EmbeddedServer:
    """
    Configure the server.

    :param application: the ASGI application.
    :param listen: IP:port.
    :param counters: the process's counters.
    :return: a server that is not started.
    """
    host, _, port = listen.rpartition(":")
    config = uvicorn.Config(
        application,
        host=host.strip("[]"),
        port=int(port),
        http=make_protocol(counters),
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
