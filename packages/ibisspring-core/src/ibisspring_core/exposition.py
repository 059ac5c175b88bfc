"""Serves counters and histograms over HTTP in the Prometheus exposition format."""

from __future__ import annotations

import sys
import threading
from itertools import accumulate
from socketserver import ThreadingMixIn
from typing import TYPE_CHECKING, Any
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer

import eliot
from prometheus_client import CollectorRegistry, make_wsgi_app
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily
from prometheus_client.utils import floatToGoString

from ibisspring_core.latencies import BUCKETS_S, PREFIX

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from ibisspring_core.counters import Counters
    from ibisspring_core.latencies import Histogram

COUNTED = PREFIX + "counted"
MAX_READERS = 8
READER_SILENCE_S = 2.0
BOUNDS = (*(floatToGoString(bound) for bound in BUCKETS_S), "+Inf")


class CounterCollector:
    """
    Converts the counters and histograms of this process to metric families.

    `collect` runs in a thread of the metrics server and reads copies of the tables, since the event
    loop's thread may add names at the same time.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[CounterMetricFamily | HistogramMetricFamily]:
        """
        Yield the current counters and histograms.

        :return: one family for all counters, with the counter's name as a label, and one family for
            each name of a duration.
        """
        family = CounterMetricFamily(COUNTED, "Counters of this process", labels=("name",))
        for name, count in sorted(self._counters.count_by_name.copy().items()):
            family.add_metric((name,), count)
        yield family
        yield from self._durations()

    def _durations(self) -> Iterator[HistogramMetricFamily]:
        family_by_name: dict[str, HistogramMetricFamily] = {}
        histograms = self._counters.latencies.histogram_by_key.copy()
        for (name, outcome), histogram in sorted(histograms.items()):
            family = family_by_name.get(name)
            if family is None:
                family = HistogramMetricFamily(PREFIX + name, name, labels=("outcome",))
                family_by_name[name] = family
            family.add_metric((outcome,), _cumulative(histogram), histogram.sum_s)
        yield from family_by_name.values()


def _cumulative(histogram: Histogram) -> list[tuple[str, int]]:
    return list(zip(BOUNDS, accumulate(histogram.counts), strict=True))


class _Server(ThreadingMixIn, WSGIServer):
    """
    Uses one thread per request, so that a stalled reader does not block other readers.

    Connections beyond `MAX_READERS` are closed: each takes a thread and a descriptor.
    """

    daemon_threads = True

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._places = threading.Semaphore(MAX_READERS)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Start a thread for a connection, or close it if there are too many."""
        if self._places.acquire(blocking=False):
            super().process_request(request, client_address)
        else:
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        """Answer the request of a connection."""
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._places.release()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log a reader that sent no request in time, or left."""
        eliot.log_message("metrics_server:reader_failed", error=repr(sys.exception()))


class _Handler(WSGIRequestHandler):
    # Seconds for which a reader may send nothing of its request or read nothing of the answer.
    timeout = READER_SILENCE_S

    def log_message(self, format: str, *args: object) -> None:
        """No-op: a log line for each read of the metrics, every few seconds, is not useful."""


def build_server(listener: socket.socket, counters: Counters) -> WSGIServer:
    """
    Build an HTTP server on a socket that is already listening.

    :param listener: the listening socket; closed together with the server.
    :param counters: the counters and histograms to serve.
    :return: a server that accepts one request with each call of `handle_request`.
    """
    host, port = listener.getsockname()
    server = _Server((host, port), _Handler, bind_and_activate=False)
    server.socket.close()
    server.socket = listener
    server.server_name = host
    server.server_port = port
    server.setup_environ()
    registry = CollectorRegistry()
    registry.register(CounterCollector(counters))
    server.set_app(make_wsgi_app(registry))
    return server


__all__ = ["COUNTED", "MAX_READERS", "CounterCollector", "build_server"]
