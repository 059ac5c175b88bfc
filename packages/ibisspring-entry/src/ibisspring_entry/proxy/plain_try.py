"""One try of a plain call: one request to one endpoint over one connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import yarl

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.http_sessions import ends_with_connection
from ibisspring_core.response_bodies import BodyTooLargeError
from ibisspring_entry.proxy.connections import CONNECT_FAILURES, request_timeout
from ibisspring_entry.proxy.messages import CompleteAnswer, PlainRequest
from ibisspring_entry.proxy.plain_wire import answer_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_core.messages.endpoints import EndpointRecord

    ReadBody = Callable[[aiohttp.ClientResponse], Awaitable[bytes]]

RETRY_AFTER_S = 1.0
"""Seconds after which the caller should retry a call that has not been run."""


async def send_try(
    session: aiohttp.ClientSession,
    record: EndpointRecord,
    request: PlainRequest,
    try_id: str,
    deadline: float,
    read_body: ReadBody,
) -> CompleteAnswer | Refusal:
    """
    Send a call to one endpoint once.

    :param session: the HTTP client session for all endpoints.
    :param record: the endpoint's record, which gives its address.
    :param request: the call of the plain service.
    :param try_id: the id of this try, which the endpoint must echo.
    :param deadline: boot-clock time at which the try ends as timed out.
    :param read_body: reads the body of the answer, up to its limits.
    :return: the complete answer, or a refusal whose `not_run` holds for this try only.
    """
    remaining_s = deadline - boot_now()
    try:
        async with (
            asyncio.timeout(remaining_s),
            session.request(
                request.method,
                yarl.URL(f"http://{record.address}{request.path}", encoded=True),
                data=request.body or None,
                headers=_headers(request, try_id),
                timeout=request_timeout(remaining_s),
                allow_redirects=False,
            ) as response,
        ):
            return await _read_answer(record, request, try_id, response, read_body)
    except CONNECT_FAILURES:
        return Refusal(
            Reason.ENDPOINT_FAILED, True, RETRY_AFTER_S, "could not connect to the endpoint"
        )
    except TimeoutError:
        return Refusal(
            Reason.TIMEOUT,
            False,
            None,
            "no complete answer before the deadline; the call may have run",
        )
    except (aiohttp.ClientError, OSError):
        return Refusal(
            Reason.ENDPOINT_FAILED,
            False,
            None,
            "the connection to the endpoint broke; the call may have run",
        )


def _headers(request: PlainRequest, try_id: str) -> list[tuple[str, str]]:
    return [
        *request.headers,
        ("X-Request-Id", try_id),
        ("X-Client-Account", request.client_account),
        ("X-Correlation-Id", request.correlation_id),
    ]


async def _read_answer(
    record: EndpointRecord,
    request: PlainRequest,
    try_id: str,
    response: aiohttp.ClientResponse,
    read_body: ReadBody,
) -> CompleteAnswer | Refusal:
    # The echoed id is checked before anything else in the answer is used, including a refusal: an
    # answer that belongs to another call says nothing about this one.
    if response.headers.get("X-Request-Id") != try_id:
        return Refusal(
            Reason.MISMATCHED_ANSWER, False, None, "the answer belongs to another request"
        )
    if response.status == 503 and response.headers.get("X-Not-Run") == "1":
        return Refusal(
            Reason.ENDPOINT_REFUSED,
            True,
            RETRY_AFTER_S,
            "the endpoint refused the call and did not run it",
        )
    if ends_with_connection(response):
        # Such a body also looks complete if the endpoint's process ended while it was sent.
        return Refusal(
            Reason.ENDPOINT_FAILED,
            False,
            None,
            "the answer has no Content-Length and is not chunked",
        )
    try:
        body = await read_body(response)
    except BodyTooLargeError:
        return Refusal(
            Reason.TOO_LARGE, False, None, "the endpoint's answer exceeds the size limit"
        )
    return CompleteAnswer(
        request.request_id,
        response.status,
        body,
        answer_headers(response.headers.items()),
        record.endpoint,
    )


__all__ = ["send_try"]
