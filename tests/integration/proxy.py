"""A small TCP proxy that injects faults between real processes."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

from integration.processes import free_port

CHUNK = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to bytes in one direction of a connection."""

    PASS = "pass"
    # Bytes are taken and thrown away, the connection stays open: a flow that the network has lost
    # track of.
    SILENT = "silent"
    # Bytes are taken and delivered when the mode changes back: TCP that retransmits after a
    # partition heals.
    HOLD = "hold"


class Link:
    """One proxied connection."""

    def __init__(
        self,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        to_target: Mode,
        to_client: Mode,
    ) -> None:
        self.client = client
        self.target = target
        self.mode_by_direction = {"to_target": to_target, "to_client": to_client}
        self.changed = asyncio.Condition()
        # Whether bytes are held in one direction.
        self.holds = False

    async def set_modes(self, to_target: Mode, to_client: Mode) -> None:
        """Change both directions; what was held goes on if its direction passes again."""
        async with self.changed:
            self.mode_by_direction = {"to_target": to_target, "to_client": to_client}
            self.changed.notify_all()

    async def pump(self, direction: str, delay_s: float) -> None:
        """Carry one direction until its end."""
        reader = self.client[0] if direction == "to_target" else self.target[0]
        writer = self.target[1] if direction == "to_target" else self.client[1]
        while data := await reader.read(CHUNK):
            if delay_s:
                await asyncio.sleep(delay_s)
            async with self.changed:
                self.holds = self.mode_by_direction[direction] is Mode.HOLD
                await self.changed.wait_for(
                    lambda: self.mode_by_direction[direction] is not Mode.HOLD
                )
            # A sender that reset its connection has thrown its bytes away: its TCP has nothing to
            # retransmit when the partition heals.
            if reader.exception() is not None:
                raise reader.exception()
            if self.mode_by_direction[direction] is Mode.SILENT:
                continue
            writer.write(data)
            await writer.drain()
        if self.mode_by_direction[direction] is Mode.PASS and writer.can_write_eof():
            writer.write_eof()

    def reset(self) -> None:
        """End both sides with RST."""
        for _, writer in (self.client, self.target):
            connection = writer.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class FaultProxy:
    """Listens on a free loopback port and carries connections to one target."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f"127.0.0.1:{free_port()}"
        self.links: list[Link] = []
        self.delay_s = 0.0
        self.refuse_new = False
        self.accepted = 0
        self._modes = (Mode.PASS, Mode.PASS)
        self._server: asyncio.Server | None = None

    @classmethod
    async def before(cls, target: str) -> FaultProxy:
        """
        Start a proxy.

        :param target: IP:port that the proxied process listens on; it may start later.
        """
        proxy = cls(target)
        host, port = proxy.address.split(":")
        proxy._server = await asyncio.start_server(proxy._serve, host, int(port))
        return proxy

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        if self.refuse_new:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = Link((reader, writer), target, *self._modes)
        self.links.append(link)
        try:
            await asyncio.gather(
                link.pump("to_target", self.delay_s), link.pump("to_client", self.delay_s)
            )
        except OSError:
            link.reset()
        finally:
            self.links.remove(link)
            writer.close()
            target[1].close()

    async def shut(self) -> None:
        """Let new connections hang: their SYN is dropped until `reopen`, then sent again by TCP."""
        self._server.close()
        host, port = self.address.split(":")
        self._shut = socket.socket()
        self._shut.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._shut.bind((host, int(port)))
        self._shut.listen(0)
        # A queue of length 0 holds one connection.
        self._filler = socket.create_connection((host, int(port)))

    async def reopen(self) -> None:
        """Take the connections that hang."""
        self._filler.close()
        self._shut.setblocking(False)
        self._server = await asyncio.start_server(self._serve, sock=self._shut)

    async def set_modes(self, to_target: Mode, to_client: Mode) -> None:
        """Change what happens to all connections, open ones and those to come."""
        self._modes = (to_target, to_client)
        await self.set_modes_of_open(to_target, to_client)

    async def set_modes_of_open(self, to_target: Mode, to_client: Mode) -> None:
        """Change what happens to the connections open now; new ones are not touched."""
        for link in list(self.links):
            await link.set_modes(to_target, to_client)

    async def silence(self) -> None:
        """A partition both ways: everything stays open and nothing arrives."""
        await self.set_modes(Mode.SILENT, Mode.SILENT)

    async def heal(self) -> None:
        """
        End a partition: links that lost bytes are reset, as their TCP would be, and new ones pass.
        """
        self._modes = (Mode.PASS, Mode.PASS)
        for link in list(self.links):
            if Mode.SILENT in link.mode_by_direction.values():
                link.reset()
                continue
            await link.set_modes(Mode.PASS, Mode.PASS)
        self.refuse_new = False

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        self.refuse_new = True
        for link in list(self.links):
            link.reset()

    async def stop(self) -> None:
        """End the proxy."""
        self._server.close()
        for link in list(self.links):
            link.reset()
