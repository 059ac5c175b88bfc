"""Listens for readers of the process's figures."""

from __future__ import annotations

import selectors
import socket
import threading
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from wsgiref.simple_server import WSGIServer

    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel

BACKLOG = 16
STOP_S = 1.0


class MetricsServer:
    """
    The service `metrics_server`.

    It answers in a thread of its own: the figures can be read while the event loop is stuck, and a
    reader that stops in the middle of an answer holds up no request. What answers is imported with
    the first reader: it takes a megabyte, and most processes are never read.
    """

    name = "metrics_server"

    def __init__(self, listen: str) -> None:
        self._listen = listen
        self._wake: socket.socket | None = None
        self._thread: threading.Thread | None = None

    async def start(self, kernel: Kernel) -> None:
        """Listen; a port that is taken costs the figures and not the service."""
        host, _, port = self._listen.rpartition(":")
        try:
            listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        except OSError as error:
            eliot.log_message("metrics_server:not_served", listen=self._listen, error=repr(error))
            return
        # A reader may be gone again before it is accepted.
        listener.setblocking(False)
        self._wake, woken = socket.socketpair()
        self._thread = threading.Thread(
            target=_serve,
            args=(listener, woken, kernel.find("counters")),
            name="metrics_server",
            daemon=True,
        )
        self._thread.start()

    async def stop(self) -> None:
        """Close the listener."""
        if self._wake is None or self._thread is None:
            return
        self._wake.close()
        self._thread.join(STOP_S)


def _serve(listener: socket.socket, woken: socket.socket, counters: Counters) -> None:
    server: WSGIServer | None = None
    with listener, woken, selectors.DefaultSelector() as selector:
        selector.register(listener, selectors.EVENT_READ)
        selector.register(woken, selectors.EVENT_READ)
        while True:
            readable = [key.fileobj for key, _ in selector.select()]
            if woken in readable:
                return
            if server is None:
                from ibisspring_core.exposition import build_server

                server = build_server(listener, counters)
            server.handle_request()


__all__ = ["MetricsServer"]
