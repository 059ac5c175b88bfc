"""The kernel service `http`: the HTTP server of an entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eliot
import falcon.asgi

from ibisspring_core.caller_leaving import cancel_on_disconnect
from ibisspring_core.errors import Reason
from ibisspring_entry.http.announce import AnnounceResource
from ibisspring_entry.http.generate import GenerateResource
from ibisspring_entry.http.health import HealthResource, ReadyResource
from ibisspring_entry.http.middleware import RequestIds, StopMiddleware, add_error_handlers
from ibisspring_entry.http.open_work import OpenWork
from ibisspring_entry.http.server import make_server
from ibisspring_entry.http.services import ServicesResource

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings, Settings
    from ibisspring_entry.http.server import EmbeddedServer

# Seconds of a stop for which new requests are refused while the port stays open, before the service
# waits for running requests.
REFUSAL_PERIOD_S = 0.3
FINAL_TIMEOUT_S = 1
"""Integer seconds that uvicorn grants the last requests after the wait of `drain_s` has ended."""


class HttpService:
    """The HTTP server for callers, trainers and the announcements of endpoints."""

    name = "http"

    def __init__(self, settings: EntrySettings) -> None:
        self.stopping = False
        self._settings = settings
        self._resource_by_path: dict[str, object] = {}
        self._server: EmbeddedServer | None = None
        self._server_task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> HttpService:
        """
        Build the service from the daemon's settings, without its routes.

        :param settings: settings of a daemon with the entry role.
        """
        return cls(settings.entry)

    def add_route(self, path: str, resource: object) -> None:
        """
        Add a route; must be called before this service starts, which is the last service to start.

        :param path: URI template of falcon.
        :param resource: an object with responder methods for falcon.
        """
        self._resource_by_path[path] = resource

    async def start(self, kernel: Kernel) -> None:
        """Create the falcon application and listen; raise OSError if the port cannot be opened."""
        counters = kernel.find("counters")
        self.open_work = OpenWork(kernel)
        self._stop_middleware = StopMiddleware(counters)
        app = falcon.asgi.App(middleware=[RequestIds(), self._stop_middleware])
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
            cancel_on_disconnect(app, self._settings.caller_silence_s), self._settings, counters
        )
        self._server_task = asyncio.create_task(self._server.serve())
        listening = asyncio.ensure_future(self._server.listening.wait())
        await asyncio.wait({listening, self._server_task}, return_when=asyncio.FIRST_COMPLETED)
        listening.cancel()
        if not self._server.started:
            raise OSError(f"cannot listen on {self._settings.listen_http}")

    async def stop(self) -> None:
        """
        Stop gracefully, without breaking running requests.

        The steps are: report not ready, wait `stop_wait_s` for the load balancer, refuse new
        requests, wait up to `drain_s` for running requests, close the port. Until the load balancer
        has detected that this entry is not ready, new requests still arrive and are served, since
        refusing them at once would make the shutdown visible to callers without need.
        """
        self.stopping = True
        self._stop_middleware.stopping = True
        await asyncio.sleep(self._settings.stop_wait_s)
        self._stop_middleware.refusing = True
        # While running requests finish, the port stays open for callers that do not check readyz:
        # their requests are refused as not run. If the port were closed, connections in the listen
        # backlog would be reset without a response.
        await asyncio.sleep(REFUSAL_PERIOD_S)
        running = set(self._server.server_state.tasks)
        if running:
            await asyncio.wait(running, timeout=self._settings.drain_s)
        # Remaining requests get a refusal: to its caller, a stream that ended without a refusal
        # would look complete or broken.
        self.open_work.cancel_all(Reason.STOPPING)
        self._server.config.timeout_graceful_shutdown = FINAL_TIMEOUT_S
        self._server.should_exit = True
        await self._server_task
        eliot.log_message("http:stopped")


__all__ = ["HttpService"]
