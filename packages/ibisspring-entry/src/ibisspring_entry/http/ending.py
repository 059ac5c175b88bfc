"""Responds to a caller whose running request is cancelled by this entry.

A request is cancelled when its key is withdrawn, the lease has lapsed or the daemon stops.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_entry.http.refusals import refuse

if TYPE_CHECKING:
    from collections.abc import Awaitable

    import falcon.asgi

    from ibisspring_core.counters import Counters
    from ibisspring_core.errors import Refusal


async def serve_cancellable(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    counters: Counters,
    work: Awaitable[None],
) -> None:
    """
    Serve a request; respond with a refusal if this entry cancels it.

    A cancellation because the caller closed its connection is raised again.

    :param work: serves the request and fills the response.
    """
    try:
        await work
    except asyncio.CancelledError:
        refusal = take_cancellation(request)
        if refusal is None:
            raise
        refuse(response, refusal, request.context.request_id, counters)


def take_cancellation(request: falcon.asgi.Request) -> Refusal | None:
    """
    Revert the cancellation of a request's task, so that a refusal can be sent.

    :return: the refusal with the reason of the cancellation; None if the caller closed the
        connection, in which case the cancellation is not reverted.
    """
    open_request = getattr(request.context, "open_request", None)
    return None if open_request is None else open_request.take_refusal()


__all__ = ["serve_cancellable", "take_cancellation"]
