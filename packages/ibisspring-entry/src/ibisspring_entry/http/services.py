"""Calls of plain services: any HTTP method on `/v1/services/{service}/{path}`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon
import falcon.asgi

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.access import authorize_call
from ibisspring_entry.http.bodies import read_body
from ibisspring_entry.http.callers import Caller, admit, is_key_valid
from ibisspring_entry.http.ending import serve_cancellable
from ibisspring_entry.http.refusals import refuse
from ibisspring_entry.http.usage import bill
from ibisspring_entry.proxy.messages import CompleteAnswer, PlainRequest
from ibisspring_entry.proxy.plain_wire import request_headers

if TYPE_CHECKING:

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings

PREFIX = "/v1/services/"
DOT_SEGMENTS = (".", "..")


class ServicesResource:
    """Forwards callers' requests to endpoints of plain services."""

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._counters = kernel.find("counters")

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, service: str, path: str
    ) -> None:
        """Forward one call to an endpoint and respond with its answer."""
        work = self._serve(request, response, service)
        await serve_cancellable(request, response, self._counters, work)

    async def _serve(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, service: str
    ) -> None:
        caller = admit(self._kernel, request)
        endpoint_request = caller
        if isinstance(caller, Caller):
            endpoint_request = await self._read(request, caller, service)
        if isinstance(endpoint_request, Refusal):
            refuse(response, endpoint_request, request.context.request_id, self._counters)
            return
        answer = await self._send(endpoint_request, request.get_header("Idempotency-Key"))
        if isinstance(answer, Refusal):
            refuse(response, answer, request.context.request_id, self._counters)
            return
        # A replayed answer was stored by an earlier call under the same Idempotency-Key, which has
        # already been billed.
        if not answer.replayed:
            bill(
                self._kernel,
                endpoint_request.client_account,
                endpoint_request.service,
                0,
                answer.endpoint_s,
                endpoint_request.request_id,
            )
        response.status = falcon.code_to_http_status(answer.status)
        response.data = answer.body
        for name, value in answer.headers:
            response.set_header(name, value)

    on_head = on_get
    on_post = on_get
    on_put = on_get
    on_patch = on_get
    on_delete = on_get
    on_options = on_get

    async def _read(
        self, request: falcon.asgi.Request, caller: Caller, service: str
    ) -> PlainRequest | Refusal:
        rules = authorize_call(self._kernel, caller.client_account, service)
        if isinstance(rules, Refusal):
            return rules
        body = await read_body(request, self._settings)
        if isinstance(body, Refusal):
            return body
        raw_service, path = raw_service_and_path(request)
        if raw_service != service:
            detail = "the service's name must not be percent-encoded"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        if any(segment in DOT_SEGMENTS for segment in path.split("/")):
            return Refusal(
                Reason.BAD_REQUEST, True, None, "the path must not contain . or .. segments"
            )
        query = f"?{request.query_string}" if request.query_string else ""
        if caller.key in path or caller.key in query:
            detail = "the key must be sent in the Authorization header only"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        timeout_s = rules.timeout_s_by_service.get(service, self._settings.request_timeout_s)
        return PlainRequest(
            request_id=request.context.request_id,
            client_account=caller.client_account,
            service=service,
            method=request.method,
            path=path + query,
            body=body,
            headers=request_headers(request.headers.items(), caller.key),
            idempotent=rules.is_idempotent(service, request.method, path),
            deadline_s=min(timeout_s, self._settings.request_timeout_s),
            correlation_id=request.context.correlation_id,
            is_still_allowed=lambda: is_key_valid(self._kernel, caller),
        )

    async def _send(
        self, endpoint_request: PlainRequest, key: str | None
    ) -> CompleteAnswer | Refusal:
        if key is None:
            return await self._kernel.find("endpoints").call(endpoint_request)
        return await self._kernel.find("claims").call(endpoint_request, key)


def raw_service_and_path(request: falcon.asgi.Request) -> tuple[str, str]:
    """
    Return the service and the path below it as sent by the caller, still percent-encoded.

    :return: the service name, and the path with its leading slash.
    """
    raw_path = request.scope["raw_path"].decode("ascii")
    service, _, remainder = raw_path[len(PREFIX) :].partition("/")
    return service, "/" + remainder


__all__ = ["ServicesResource", "raw_service_and_path"]
