"""The uvicorn HTTP server, embedded into a daemon that handles signals itself."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

# Connections that wait in the kernel until they are accepted.
LISTEN_BACKLOG = 1024
# Connections that are accepted in one step of the event loop. Each takes a descriptor before the
# server can decide whether it may stay.
ACCEPT_BATCH = 4


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; `listening` is set when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """
        Start to listen, then set `listening`.

        asyncio accepts as many connections at a time as it lets wait, so the number that may wait
        is set afterwards.
        """
        if sockets is None:
            family = socket.AF_INET6 if ":" in self.config.host else socket.AF_INET
            address = (self.config.host, self.config.port)
            sockets = [socket.create_server(address, family=family)]
        self.config.backlog = ACCEPT_BATCH
        await super().startup(sockets)
        for listener in sockets:
            listener.listen(LISTEN_BACKLOG)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """No-op: the daemon handles signals."""
        yield


__all__ = ["EmbeddedServer"]
