"""Ends a request's work when its caller leaves or takes nothing any more."""

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


def end_with_caller(application: Application, silence_s: float) -> Application:
    """
    Wrap an application so that a request is cancelled when its caller leaves.

    The framework alone goes on iterating a stream whose reader is gone: the engine would work for
    nobody. Cancelling reaches the stream's own clean-up, which cancels the engine's work.

    :param application: the ASGI application.
    :param silence_s: longest time that a caller may take nothing of its answer; its connection may
        have been forgotten by something in between, and the work for it would go on and be billed.
    :return: the wrapped application.
    """

    async def serve(scope: Event, receive: Receive, send: Send) -> None:
        if scope["type"] != HTTP:
            await application(scope, receive, send)
            return
        body = _Body(receive)

        async def send_in_time(event: Event) -> None:
            async with asyncio.timeout(silence_s):
                await send(event)

        work = asyncio.ensure_future(application(scope, body.receive, send_in_time))
        leaving = asyncio.ensure_future(body.wait_gone())
        try:
            await asyncio.wait({work, leaving}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            leaving.cancel()
            work.cancel()
        try:
            await work
        except asyncio.CancelledError:
            # Nobody is left who could read an answer.
            return

    return serve


class _Body:
    """Passes the body's events on, then waits for the caller to leave."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._read = asyncio.Event()
        self._gone = asyncio.Event()

    async def receive(self) -> Event:
        if self._read.is_set():
            await self._gone.wait()
            return {"type": DISCONNECT}
        event = await self._receive()
        if event["type"] == DISCONNECT:
            self._gone.set()
            self._read.set()
        elif not event.get("more_body", False):
            self._read.set()
        return event

    async def wait_gone(self) -> None:
        await self._read.wait()
        while not self._gone.is_set():
            event = await self._receive()
            if event["type"] == DISCONNECT:
                self._gone.set()


__all__ = ["Application", "end_with_caller"]
