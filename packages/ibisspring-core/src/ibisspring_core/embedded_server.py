"""The uvicorn HTTP server, embedded into a daemon that handles signals itself."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; `listening` is set when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to listen, then set `listening`."""
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """No-op: the daemon handles signals."""
        yield


__all__ = ["EmbeddedServer"]
