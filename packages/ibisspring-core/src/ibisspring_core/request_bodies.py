"""Reads the bodies of clients' requests within the limits of a request and of all together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ibisspring_core.client_protocol import CLIENT_EXTENSION, RETRY_AFTER_S
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# First reservation in bytes for a body whose length is not stated; it doubles as the body grows.
FIRST_RESERVATION_BYTES = 64 * 1024
HEAD_TYPE = "http.response.start"
BODY_TYPE = "http.response.body"


class RequestMemory(Protocol):
    """Where the memory of a request is reserved: the connection of its client."""

    def reserve_body(self, total_bytes: int) -> bool:
        """Reserve what the request takes until it is answered; return whether it is granted."""


class _Unlimited:
    """The memory of a request to a server without limits."""

    def reserve_body(self, total_bytes: int) -> bool:
        return True


_UNLIMITED = _Unlimited()


def memory_of(scope: dict[str, Any]) -> RequestMemory:
    """Return where the memory of an ASGI request is reserved."""
    return scope.get("extensions", {}).get(CLIENT_EXTENSION, _UNLIMITED)


async def read_body(
    scope: dict[str, Any],
    receive: Callable[[], Awaitable[Any]],
    max_bytes: int,
    copies: int = 1,
) -> bytes | bytearray | Refusal | None:
    """
    Read the body of a request to its end.

    The memory is reserved before a body of known length is received, so that a client is told at
    once that there is none.

    :param scope: scope of the ASGI request.
    :param max_bytes: limit of the body.
    :param copies: how often the body is in memory while the request is answered.
    :return: the body; a refusal, in which case the request was not run; None if the client
        disconnects before the end.
    """
    memory = memory_of(scope)
    stated = stated_length(scope)
    if (stated or 0) > max_bytes:
        return _too_large(max_bytes)
    if stated and not memory.reserve_body(stated * copies):
        return _short_of_memory()
    reserved = stated or 0
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        part = event.get("body", b"")
        if not body and not event.get("more_body", False):
            # Most bodies arrive at once, and need no buffer that grows.
            return part if len(part) <= max_bytes else _too_large(max_bytes)
        if len(body) + len(part) > max_bytes:
            return _too_large(max_bytes)
        if len(body) + len(part) > reserved:
            reserved = min(max_bytes, max(FIRST_RESERVATION_BYTES, 2 * (len(body) + len(part))))
            if not memory.reserve_body(reserved * copies):
                return _short_of_memory()
        body += part
        if not event.get("more_body", False):
            return body


def stated_length(scope: dict[str, Any]) -> int | None:
    """Return the length in bytes that a request states for its body; None if it is in chunks."""
    length = 0
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit():
            length = int(value)
        if name == b"transfer-encoding":
            return None
    return length


def with_whole_bodies(application: Callable, max_bytes: int) -> Callable:
    """
    Wrap an application so that it gets each body whole, in one event.

    A request whose body is too large, or finds no memory, is refused before it reaches the
    application.

    :param application: an ASGI application for HTTP requests.
    :param max_bytes: limit of a body.
    """

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(scope, receive, max_bytes)
        if body is None:
            return
        if isinstance(body, Refusal):
            await _send_refusal(send, body)
            return
        events = iter(({"type": "http.request", "body": bytes(body), "more_body": False},))

        async def receive_whole() -> Any:
            event = next(events, None)
            return event if event is not None else await receive()

        await application(scope, receive_whole, send)

    return serve


async def _send_refusal(send: Callable, refusal: Refusal) -> None:
    headers = [(b"content-length", b"0")]
    status = 413
    if refusal.retry_after_s is not None:
        status = 503
        headers.append((b"retry-after", f"{refusal.retry_after_s:g}".encode()))
    await send({"type": HEAD_TYPE, "status": status, "headers": headers})
    await send({"type": BODY_TYPE, "body": b""})


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(Reason.TOO_LARGE, True, None, f"the body is larger than {max_bytes} bytes")


def _short_of_memory() -> Refusal:
    detail = "other requests use the memory for bodies"
    return Refusal(Reason.SHORT_OF_MEMORY, True, RETRY_AFTER_S, detail)


__all__ = ["RequestMemory", "memory_of", "read_body", "stated_length", "with_whole_bodies"]
