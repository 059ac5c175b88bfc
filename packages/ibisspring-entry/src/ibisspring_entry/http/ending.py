"""What a caller gets whose request is ended in its course by its key or the lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_entry.http.refusals import refuse

if TYPE_CHECKING:
    from collections.abc import Awaitable

    import falcon.asgi

    from ibisspring_core.counters import Counters
    from ibisspring_core.errors import Refusal


async def serve_until_ended(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    counters: Counters,
    work: Awaitable[None],
) -> None:
    """
    Serve a request and tell its caller when it is ended in its course.

    :param work: fills the response.
    """
    try:
        await work
    except asyncio.CancelledError:
        refusal = ended(request)
        if refusal is None:
            raise
        refuse(response, refusal, request.context.request_id, counters)


def ended(request: falcon.asgi.Request) -> Refusal | None:
    """
    Find out why a request was cancelled, and take the cancellation back.

    :param request: the request.
    :return: what its caller is told; None where the caller itself left.
    """
    opened = getattr(request.context, "opened", None)
    return None if opened is None else opened.take_end()


__all__ = ["ended", "serve_until_ended"]
