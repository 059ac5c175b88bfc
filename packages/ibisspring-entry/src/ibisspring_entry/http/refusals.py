"""Encodes refusals as HTTP responses (docs/API.md, docs/reference/api-errors.md)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import falcon
import falcon.asgi
import msgspec

from ibisspring_core.errors import Reason

if TYPE_CHECKING:

    from ibisspring_core.counters import Counters
    from ibisspring_core.errors import Refusal

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NO_ENDPOINT: 503,
    Reason.RATE_LIMITED: 429,
    Reason.QUEUE_FULL: 503,
    Reason.CANNOT_FINISH: 503,
    Reason.LEASE_LAPSED: 503,
    Reason.STOPPING: 503,
    Reason.NO_LEADER: 503,
    Reason.CONFLICT: 409,
    Reason.IN_PROGRESS: 409,
    Reason.MAY_HAVE_RUN: 409,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ENDPOINT_REFUSED: 503,
    Reason.ENDPOINT_SILENT: 504,
    Reason.CRASH_SUSPECT: 503,
    Reason.MISMATCHED_ANSWER: 502,
    Reason.TOO_LARGE: 413,
    Reason.STALE: 409,
    Reason.OWNER_LOST: 409,
    Reason.TIMEOUT: 504,
    Reason.INTERNAL: 500,
}

UNREAD_BODY_REASONS = (Reason.TOO_LARGE, Reason.TIMEOUT)
"""
Reasons of refusals after which the remaining bytes of a request body may still arrive.

The connection is closed after such a refusal, since an open one would wait for these bytes.
"""


def error_body(refusal: Refusal, request_id: str) -> dict[str, object]:
    """
    Build the JSON body of the response to a refused request.

    :param refusal: why the request is refused, and whether it may have run.
    :param request_id: id of the request, as in the header `X-Request-Id`.
    :return: the object `{"error": …}`.
    """
    return {
        "error": {
            "reason": refusal.reason.value,
            "message": refusal.detail or refusal.reason.value.replace("_", " "),
            "not_run": refusal.not_run,
            "retry_after_s": refusal.retry_after_s,
            "request_id": request_id,
        }
    }


def refuse(
    response: falcon.asgi.Response, refusal: Refusal, request_id: str, counters: Counters
) -> None:
    """
    Write a refusal into a response and count it.

    :param response: the response to fill.
    :param refusal: why the request is refused, and whether it may have run.
    :param request_id: id of the request, which the body repeats.
    :param counters: counts the refusals by reason.
    """
    counters.refused(refusal.reason)
    response.status = falcon.code_to_http_status(STATUS_BY_REASON[refusal.reason])
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(error_body(refusal, request_id))
    if refusal.reason in UNREAD_BODY_REASONS:
        response.set_header("Connection", "close")
    if refusal.retry_after_s is not None:
        response.set_header("Retry-After", str(max(1, math.ceil(refusal.retry_after_s))))


__all__ = ["STATUS_BY_REASON", "error_body", "refuse"]
