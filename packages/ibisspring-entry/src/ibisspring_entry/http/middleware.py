"""Middleware for every request: request ids, access log and refusals during shutdown."""

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
    """Sets the request id and correlation id of each request and logs its response."""

    async def process_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Set `context.request_id` and `context.correlation_id`."""
        request_id = uuid.uuid4().hex
        correlation_id = request.get_header("X-Correlation-Id") or ""
        request.context.request_id = request_id
        # Values in any other format are replaced, so that callers cannot inject lines into the
        # logs.
        request.context.correlation_id = (
            correlation_id if CORRELATION_ID.fullmatch(correlation_id) else request_id
        )
        request.context.client_account = ""
        response.set_header("X-Request-Id", request_id)

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Log the status of the response; its body may still be streaming."""
        if request.path in EXEMPT_PATHS:
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


# Paths of frequent requests (probes and announcements), which are neither logged nor refused during
# shutdown.
EXEMPT_PATHS = frozenset(("/healthz", "/readyz", "/v1/announce"))


class StopMiddleware:
    """
    Refuses new requests as not run during the shutdown of the daemon.

    From the start of the shutdown, each response also closes its connection: a caller that reuses
    the connection would send its next request while the port is being closed, and would not know
    whether the request was run.
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
        """Refuse the request while `refusing` is set."""
        if not self.refusing or request.path in EXEMPT_PATHS:
            return
        refusal = Refusal(
            Reason.STOPPING, True, 1.0, "this daemon is stopping; send the request again"
        )
        refuse(response, refusal, request.context.request_id, self._counters)
        response.complete = True

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Make the response close its connection while `stopping` is set."""
        if self.stopping:
            response.set_header("Connection", "close")


def add_error_handlers(app: falcon.asgi.App, counters: Counters) -> None:
    """
    Convert falcon's HTTP errors and unhandled exceptions to refusals.

    :param app: the application whose handlers are set.
    :param counters: counts the refusals.
    """

    async def handle_http_error(
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        error: falcon.HTTPError,
        params: dict[str, object],
    ) -> None:
        refusal = Refusal(Reason.BAD_REQUEST, True, None, error.title or "bad request")
        refuse(response, refusal, request.context.request_id, counters)
        response.status = error.status

    async def handle_exception(
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        error: Exception,
        params: dict[str, object],
    ) -> None:
        eliot.log_message("http:fault", request_id=request.context.request_id, error=repr(error))
        # The handler may have failed at any point, so the request may have run.
        refusal = Refusal(
            Reason.INTERNAL, False, None, "internal error of this daemon; see its log"
        )
        refuse(response, refusal, request.context.request_id, counters)

    app.add_error_handler(Exception, handle_exception)
    app.add_error_handler(falcon.HTTPError, handle_http_error)


__all__ = ["RequestIds", "StopMiddleware", "add_error_handlers"]
