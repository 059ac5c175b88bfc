"""The service `http`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eliot
import falcon.asgi

from ibisspring_core.caller_leaving import end_with_caller
from ibisspring_core.errors import Reason
from ibisspring_entry.http.announce import AnnounceResource
from ibisspring_entry.http.generate import GenerateResource
from ibisspring_entry.http.health import HealthResource, ReadyResource
from ibisspring_entry.http.middleware import RequestIds, Stopping, add_error_handlers
from ibisspring_entry.http.open_work import OpenWork
from ibisspring_entry.http.server import make_server
from ibisspring_entry.http.services import ServicesResource

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings, Settings
    from ibisspring_entry.http.server import EmbeddedServer

REFUSE_S = 0.3
LAST_S = 1
"""Whole seconds for what came in the last moment; what ran had `drain_s` before."""


class HttpService:
    """Serves callers, trainers and announcing endpoints."""

    name = "http"

    def __init__(self, settings: EntrySettings) -> None:
        self.stopping = False
        self._settings = settings
        self._resource_by_path: dict[str, object] = {}
        self._server: EmbeddedServer | None = None
        self._serving: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> HttpService:
        """
        Build the service.

        :param settings: settings of a daemon with the entry role.
        :return: the service.
        """
        return cls(settings.entry)

    def add_route(self, path: str, resource: object) -> None:
        """
        Add a route; only before this service starts, which it does last.

        :param path: falcon's template.
        :param resource: an object with falcon's responders.
        """
        self._resource_by_path[path] = resource

    async def start(self, kernel: Kernel) -> None:
        """Begin to listen."""
        counters = kernel.find("counters")
        self.open_work = OpenWork(kernel)
        self._refusing = Stopping(counters)
        app = falcon.asgi.App(middleware=[RequestIds(), self._refusing])
        add_error_handlers(app, counters)
        app.add_route("/healthz", HealthResource())
        app.add_route("/readyz", ReadyResource(kernel, lambda: self.stopping))
        app.add_route("/v1/announce", AnnounceResource(kernel, self._settings))
        app.add_route("/v1/generate", GenerateResource(kernel, self._settings))
        services = ServicesResource(kernel, self._settings)
        app.add_route("/v1/services/{service}/{path:path}", services)
        for path, resource in self._resource_by_path.items():
            app.add_route(path, resource)
        self._server = make_server(
            end_with_caller(app, self._settings.caller_silence_s), self._settings, counters
        )
        self._serving = asyncio.create_task(self._server.serve())
        listening = asyncio.ensure_future(self._server.listening.wait())
        await asyncio.wait({listening, self._serving}, return_when=asyncio.FIRST_COMPLETED)
        listening.cancel()
        if not self._server.started:
            raise OSError(f"cannot listen on {self._settings.listen_http}")

    async def stop(self) -> None:
        """
        Stop without breaking a request: not ready, wait for the balancer, refuse, finish, close.

        While the balancer has not noticed yet, new requests still come and are still served: to
        refuse them at once would show callers a stop that they need not see.
        """
        self.stopping = True
        self._refusing.stopping = True
        await asyncio.sleep(self._settings.stop_wait_s)
        self._refusing.refusing = True
        # While running ones finish, callers that did not look at readyz still find an open port and
        # are told "not run"; a closed one would reset what waits in its backlog, untold.
        await asyncio.sleep(REFUSE_S)
        running = set(self._server.server_state.tasks)
        if running:
            await asyncio.wait(running, timeout=self._settings.drain_s)
        # What is left is told so: a stream that just ended would be taken for whole, or for broken.
        self.open_work.end_all(Reason.STOPPING)
        self._server.config.timeout_graceful_shutdown = LAST_S
        self._server.should_exit = True
        await self._serving
        eliot.log_message("http:stopped")


__all__ = ["HttpService"]
