"""uvicorn inside a daemon that has its own life cycle."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator


class EmbeddedServer(uvicorn.Server):
    """A server that leaves the signals to the daemon and tells when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, then say so."""
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


__all__ = ["EmbeddedServer"]
