"""An endpoint that answers each request with the bytes that a test gives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from fakes.resets import reset

RESET = "reset"
EXIT = "exit"


@dataclass
class ScriptedEndpoint:
    """
    A TCP server with scripted answers.

    :param script: returns the steps of an answer, given the head of its request: bytes to send, a
        pause in seconds as float, None to close the connection at once, RESET to reset it, or EXIT
        to stop listening and close it, as the end of a process does.
    :param request_heads: heads of the received requests, in order.
    :param opened: number of accepted connections.
    :param closed: number of connections that the client closed or reset.
    """

    script: Callable[[str], list[bytes | float | str | None]]
    request_heads: list[str] = field(default_factory=list)
    address: str = ""
    opened: int = 0
    closed: int = 0
    server: asyncio.Server | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.request_heads.append(head)
                length = [line for line in head.split("\r\n") if "content-length" in line.lower()]
                if length:
                    await reader.readexactly(int(length[0].split(":")[1]))
                for step in self.script(head):
                    if step is RESET:
                        reset(writer.transport)
                        return
                    if step is EXIT:
                        self.server.close()
                    if step is None or step is EXIT:
                        writer.transport.abort()
                        return
                    if isinstance(step, float):
                        await asyncio.sleep(step)
                        continue
                    writer.write(step)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


@asynccontextmanager
async def scripted(script: Callable[[str], list[bytes | float | str | None]]):
    """Run a `ScriptedEndpoint` on a free loopback port until the end of the block."""
    endpoint = ScriptedEndpoint(script)
    server = await asyncio.start_server(endpoint._serve, "127.0.0.1", 0)
    endpoint.server = server
    endpoint.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield endpoint
    finally:
        server.close()
