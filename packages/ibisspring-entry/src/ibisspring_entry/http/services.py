"""Calls of plain services: any method of `/v1/services/{service}/{path}`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon
import falcon.asgi

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.access import allowed_rules
from ibisspring_entry.http.bodies import read_body
from ibisspring_entry.http.callers import Caller, admit, key_holds
from ibisspring_entry.http.ending import serve_until_ended
from ibisspring_entry.http.refusals import refuse
from ibisspring_entry.http.usage import bill
from ibisspring_entry.proxy.messages import PlainAnswer, PlainRequest
from ibisspring_entry.proxy.plain_wire import request_headers

if TYPE_CHECKING:

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings

PREFIX = "/v1/services/"
DOT_SEGMENTS = (".", "..")


class ServicesResource:
    """Calls of plain services for callers."""

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._counters = kernel.find("counters")

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, service: str, path: str
    ) -> None:
        """Send one call."""
        work = self._serve(request, response, service)
        await serve_until_ended(request, response, self._counters, work)

    async def _serve(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, service: str
    ) -> None:
        caller = admit(self._kernel, request)
        wanted = caller
        if isinstance(caller, Caller):
            wanted = await self._read(request, caller, service)
        if isinstance(wanted, Refusal):
            refuse(response, wanted, request.context.request_id, self._counters)
            return
        answer = await self._send(wanted, request.get_header("Idempotency-Key"))
        if isinstance(answer, Refusal):
            refuse(response, answer, request.context.request_id, self._counters)
            return
        # A stored answer is the one of an earlier call, which was billed then.
        if not answer.replayed:
            bill(
                self._kernel,
                wanted.client_account,
                wanted.service,
                0,
                answer.endpoint_s,
                wanted.request_id,
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
        rules = allowed_rules(self._kernel, caller.client_account, service)
        if isinstance(rules, Refusal):
            return rules
        body = await read_body(request, self._settings)
        if isinstance(body, Refusal):
            return body
        named, path = raw_parts(request)
        if named != service:
            detail = "the service's name must not be percent-encoded"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        if any(segment in DOT_SEGMENTS for segment in path.split("/")):
            return Refusal(Reason.BAD_REQUEST, True, None, "the path must not have dot segments")
        query = f"?{request.query_string}" if request.query_string else ""
        if caller.key in path or caller.key in query:
            detail = "the key belongs into the Authorization header only"
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
            may_start=lambda: key_holds(self._kernel, caller),
        )

    async def _send(self, wanted: PlainRequest, key: str | None) -> PlainAnswer | Refusal:
        if key is None:
            return await self._kernel.find("endpoints").call(wanted)
        return await self._kernel.find("claims").call(wanted, key)


def raw_parts(request: falcon.asgi.Request) -> tuple[str, str]:
    """
    Read the service and the path below it as the caller wrote them, percent-encoding included.

    :param request: the request.
    :return: the service, and the path with its leading slash.
    """
    whole = request.scope["raw_path"].decode("ascii")
    service, _, below = whole[len(PREFIX) :].partition("/")
    return service, "/" + below


__all__ = ["ServicesResource", "raw_parts"]
