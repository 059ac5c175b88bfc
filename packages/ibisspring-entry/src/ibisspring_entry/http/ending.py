"""What a caller gets whose request is ended in its course by its key or the lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.errors import Refusal
from ibisspring_entry.http.callers import identify
from ibisspring_entry.http.refusals import refuse

if TYPE_CHECKING:
    from collections.abc import Awaitable

    import falcon.asgi

    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel
    from ibisspring_entry.http.callers import Caller


def admit(kernel: Kernel, request: falcon.asgi.Request) -> Caller | Refusal:
    """
    Let a caller's request in: its key is good, and its client account is within its rate.

    :param kernel: the daemon's kernel.
    :param request: the request; from here on it ends with its key.
    :return: the caller, or why it is not served.
    """
    caller = identify(kernel, request)
    if isinstance(caller, Refusal):
        return caller
    refused = kernel.find("admission").ask(caller.client_account)
    if refused is not None:
        return refused
    opened = kernel.find("http").open_work.enter(caller.key, caller.client_account)
    request.context.opened = opened
    return caller


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


def key_holds(kernel: Kernel, caller: Caller) -> bool:
    """
    Check that a caller's key still belongs to its client account.

    :param kernel: the daemon's kernel.
    :param caller: from `admit`, maybe some time ago.
    :return: False also while the lease is lapsed.
    """
    return kernel.find("lease").client_account_of(caller.key) == caller.client_account


def ended(request: falcon.asgi.Request) -> Refusal | None:
    """
    Find out why a request was cancelled, and take the cancellation back.

    :param request: the request.
    :return: what its caller is told; None where the caller itself left.
    """
    opened = getattr(request.context, "opened", None)
    return None if opened is None else opened.take_end()


__all__ = ["admit", "ended", "key_holds", "serve_until_ended"]
