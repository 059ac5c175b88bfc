"""Serves counters and latency histograms as text, in the exposition format of Prometheus."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eliot
from prometheus_client import start_http_server
from prometheus_client.core import CounterMetricFamily

from ibisspring_core.latencies import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator
    from wsgiref.simple_server import WSGIServer

    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel

COUNTED = PREFIX + "counted"


class CounterCollector:
    """The counters as one family of metrics; the label holds the counter's name."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[CounterMetricFamily]:
        """
        Read the counters, in the server's thread.

        :return: one family.
        """
        family = CounterMetricFamily(COUNTED, "Counters of this process", labels=("name",))
        # A copy: the event loop's thread may add a name meanwhile.
        for name, count in sorted(self._counters.count_by_name.copy().items()):
            family.add_metric((name,), count)
        yield family


class MetricsServer:
    """
    The service `metrics_server`.

    It answers in a thread of its own: the figures can be read while the event loop is stuck, and a
    reader that stops in the middle of an answer holds up no request.
    """

    name = "metrics_server"

    def __init__(self, listen: str) -> None:
        self._listen = listen
        self._server: WSGIServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Listen; a port that is taken costs the figures and not the service."""
        counters = kernel.find("counters")
        registry = counters.latencies.registry
        registry.register(CounterCollector(counters))
        host, _, port = self._listen.rpartition(":")
        try:
            self._server, _ = start_http_server(int(port), host, registry)
        except OSError as error:
            eliot.log_message("metrics_server:not_served", listen=self._listen, error=repr(error))

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is None:
            return
        # `shutdown` returns once the serving thread saw it, half a second later at most.
        await asyncio.to_thread(self._server.shutdown)
        self._server.server_close()


__all__ = ["COUNTED", "MetricsServer"]
