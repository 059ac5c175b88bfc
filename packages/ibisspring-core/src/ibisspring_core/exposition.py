"""Counters and histograms as text, in the exposition format of Prometheus, over HTTP."""

from __future__ import annotations

from itertools import accumulate
from socketserver import ThreadingMixIn
from typing import TYPE_CHECKING
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer

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
BOUNDS = (*(floatToGoString(bound) for bound in BUCKETS_S), "+Inf")


class CounterCollector:
    """
    What a process counted, as families of metrics.

    It reads in a server's thread, from copies: the event loop's thread may add a name meanwhile.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[CounterMetricFamily | HistogramMetricFamily]:
        """
        Read counters and histograms.

        :return: one family of all counters, whose label holds the counter's name, and one for each
            kind of duration.
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
    """A thread for each reader: one that stops in the middle of its question holds up no other."""

    daemon_threads = True


class _Handler(WSGIRequestHandler):
    def log_message(self, format: str, *args: object) -> None:
        """Log nothing: readers come every few seconds."""


def build_server(listener: socket.socket, counters: Counters) -> WSGIServer:
    """
    Build a server on a socket that listens already.

    :param listener: of the process; it is closed with the server.
    :param counters: what is served.
    :return: a server that answers a reader with each `handle_request`.
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


__all__ = ["COUNTED", "CounterCollector", "build_server"]
