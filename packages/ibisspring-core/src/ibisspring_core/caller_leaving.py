"""Cancels a request when its caller disconnects or stops reading the response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Event = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Event]]
Send = Callable[[Event], Awaitable[None]]
Application = Callable[[Event, Receive, Send], Awaitable[None]]

HTTP = "http"
DISCONNECT = "http.disconnect"


def cancel_on_disconnect(application: Application, read_timeout_s: float | None) -> Application:
    """
    Wrap an application so that a request is cancelled when its caller disconnects.

    Without this wrapper, the framework would go on iterating a stream after its reader has
    disconnected, and the engine would generate tokens that no caller receives. Cancellation runs
    the stream's clean-up, which cancels the request at the engine.

    :param application: the ASGI application that answers the requests.
    :param read_timeout_s: seconds after which a send to a caller that reads nothing is cancelled.
        A firewall on the path may have lost the connection's state; without this limit the request
        would continue and be billed. None if the server itself disconnects such callers.
    :return: the ASGI application that the server calls instead.
    """

    async def serve(scope: Event, receive: Receive, send: Send) -> None:
        if scope["type"] != HTTP:
            await application(scope, receive, send)
            return
        body = _Body(receive)

        async def send_with_timeout(event: Event) -> None:
            async with asyncio.timeout(read_timeout_s):
                await send(event)

        request_task = asyncio.ensure_future(application(scope, body.receive, send_with_timeout))
        disconnect_task = asyncio.ensure_future(body.wait_disconnected())
        try:
            await asyncio.wait({request_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnect_task.cancel()
            request_task.cancel()
        try:
            await request_task
        except asyncio.CancelledError:
            # The caller has disconnected, so no response is sent.
            return

    return serve


class _Body:
    """Forwards the events of the request body, then waits for the caller to disconnect."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._complete = asyncio.Event()
        self._disconnected = asyncio.Event()

    async def receive(self) -> Event:
        if self._complete.is_set():
            await self._disconnected.wait()
            return {"type": DISCONNECT}
        event = await self._receive()
        if event["type"] == DISCONNECT:
            self._disconnected.set()
            self._complete.set()
        elif not event.get("more_body", False):
            self._complete.set()
        return event

    async def wait_disconnected(self) -> None:
        await self._complete.wait()
        while not self._disconnected.is_set():
            event = await self._receive()
            if event["type"] == DISCONNECT:
                self._disconnected.set()


__all__ = ["Application", "cancel_on_disconnect"]
