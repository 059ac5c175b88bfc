"""Serves the metrics of this process to metrics collectors such as Prometheus."""

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
    The service `metrics_server`: serves counters and histograms over HTTP.

    Requests are served in a separate thread, so that metrics can be read while the event loop is
    blocked and a stalled reader of metrics does not block callers' requests. The HTTP server and
    the exporter are imported with the first request: they use a megabyte of memory, and the metrics
    of most processes are never read.
    """

    name = "metrics_server"

    def __init__(self, listen: str) -> None:
        self._listen = listen
        self._wake: socket.socket | None = None
        self._thread: threading.Thread | None = None

    async def start(self, kernel: Kernel) -> None:
        """Start to listen; if the port is in use, log it and run the daemon without metrics."""
        host, _, port = self._listen.rpartition(":")
        try:
            listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        except OSError as error:
            eliot.log_message("metrics_server:not_served", listen=self._listen, error=repr(error))
            return
        # A client may disconnect before `accept` is called. With a blocking socket, `accept` would
        # then wait for the next client.
        listener.setblocking(False)
        self._wake, wake_receiver = socket.socketpair()
        self._thread = threading.Thread(
            target=_serve,
            args=(listener, wake_receiver, kernel.find("counters")),
            name="metrics_server",
            daemon=True,
        )
        self._thread.start()

    async def stop(self) -> None:
        """Stop the serving thread, which closes the listening socket."""
        if self._wake is None or self._thread is None:
            return
        self._wake.close()
        self._thread.join(STOP_S)


def _serve(listener: socket.socket, wake_receiver: socket.socket, counters: Counters) -> None:
    server: WSGIServer | None = None
    with listener, wake_receiver, selectors.DefaultSelector() as selector:
        selector.register(listener, selectors.EVENT_READ)
        selector.register(wake_receiver, selectors.EVENT_READ)
        while True:
            readable = [key.fileobj for key, _ in selector.select()]
            if wake_receiver in readable:
                return
            if server is None:
                from ibisspring_core.exposition import build_server

                server = build_server(listener, counters)
            server.handle_request()


__all__ = ["MetricsServer"]
