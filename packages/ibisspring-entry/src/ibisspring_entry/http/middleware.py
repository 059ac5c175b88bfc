"""What every request passes: its ids, its place in the log, the refusal while the daemon stops."""

from __future__ import annotations

import re
import uuid
from typing import TYPE_CHECKING

import eliot
import falcon
import falcon.asgi

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.refusals import refuse

if TYPE_CHECKING:

    from ibisspring_core.counters import Counters

CORRELATION_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class RequestIds:
    """Gives each request its id and its correlation id, and logs its end."""

    async def process_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Set `context.request_id` and `context.correlation_id`."""
        request_id = uuid.uuid4().hex
        told = request.get_header("X-Correlation-Id") or ""
        request.context.request_id = request_id
        # Anything else would let a caller write lines of its own into the logs.
        request.context.correlation_id = told if CORRELATION_ID.fullmatch(told) else request_id
        request.context.client_account = ""
        response.set_header("X-Request-Id", request_id)

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Log what was answered; the body may still be streaming."""
        if request.path in QUIET_PATHS:
            return
        eliot.log_message(
            "http:answered",
            request_id=request.context.request_id,
            correlation_id=request.context.correlation_id,
            client_account=request.context.client_account,
            method=request.method,
            path=request.path,
            status=response.status_code,
        )


QUIET_PATHS = frozenset(("/healthz", "/readyz", "/v1/announce"))


class Stopping:
    """
    Refuses new work, truthfully not run, once the daemon stops.

    From the first moment of the stop each answer also closes its connection: a caller that keeps
    one would send its next request into the closing port, and not know whether it ran.
    """

    def __init__(self, counters: Counters) -> None:
        self.stopping = False
        self.refusing = False
        self._counters = counters

    async def process_resource(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        params: dict[str, object],
    ) -> None:
        """End the request here while the daemon stops."""
        if not self.refusing or request.path in QUIET_PATHS:
            return
        refusal = Refusal(Reason.STOPPING, True, 1.0, "this daemon stops; ask again")
        refuse(response, refusal, request.context.request_id, self._counters)
        response.complete = True

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Close the connection with the answer while the daemon stops."""
        if self.stopping:
            response.set_header("Connection", "close")


def add_error_handlers(app: falcon.asgi.App, counters: Counters) -> None:
    """
    Make every error of the framework a typed refusal.

    :param app: the application.
    :param counters: the process's counters.
    """

    async def answer_http_error(
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        error: falcon.HTTPError,
        params: dict[str, object],
    ) -> None:
        refusal = Refusal(Reason.BAD_REQUEST, True, None, error.title or "bad request")
        refuse(response, refusal, request.context.request_id, counters)
        response.status = error.status

    async def answer_fault(
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        error: Exception,
        params: dict[str, object],
    ) -> None:
        eliot.log_message("http:fault", request_id=request.context.request_id, error=repr(error))
        # Nothing is known of how far it came, so it may have run.
        refusal = Refusal(Reason.INTERNAL, False, None, "a fault of this daemon; see its log")
        refuse(response, refusal, request.context.request_id, counters)

    app.add_error_handler(Exception, answer_fault)
    app.add_error_handler(falcon.HTTPError, answer_http_error)


__all__ = ["RequestIds", "Stopping", "add_error_handlers"]
