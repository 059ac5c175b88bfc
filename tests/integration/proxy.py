"""A TCP proxy that injects network faults between processes."""

from __future__ import annotations

import asyncio
import enum
import socket

from fakes.resets import reset
from integration.processes import free_port

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """How the proxy treats the bytes of one direction of a connection."""

    PASS = "pass"
    # Bytes are read and discarded while the connection stays open, as when a device in the network
    # has dropped the state of the flow.
    SILENT = "silent"
    # Bytes are read and delivered when the mode changes back, as by TCP retransmission after a
    # partition heals.
    HOLD = "hold"


class Link:
    """A proxied connection."""

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
        # Whether the direction that last read bytes holds them back.
        self.holds = False

    async def set_modes(self, to_target: Mode, to_client: Mode) -> None:
        """Set the mode of both directions; held bytes are delivered if the new mode is PASS."""
        async with self.changed:
            self.mode_by_direction = {"to_target": to_target, "to_client": to_client}
            self.changed.notify_all()

    async def pump(self, direction: str, delay_s: float) -> None:
        """Forward the bytes of one direction until its end, each read delayed by `delay_s`."""
        reader = self.client[0] if direction == "to_target" else self.target[0]
        writer = self.target[1] if direction == "to_target" else self.client[1]
        while data := await reader.read(CHUNK_BYTES):
            if delay_s:
                await asyncio.sleep(delay_s)
            async with self.changed:
                self.holds = self.mode_by_direction[direction] is Mode.HOLD
                await self.changed.wait_for(
                    lambda: self.mode_by_direction[direction] is not Mode.HOLD
                )
            # A reset connection discards the sender's unacknowledged bytes, so they are not
            # retransmitted when the partition heals.
            if reader.exception() is not None:
                raise reader.exception()
            if self.mode_by_direction[direction] is Mode.SILENT:
                continue
            writer.write(data)
            await writer.drain()
        if self.mode_by_direction[direction] is Mode.PASS and writer.can_write_eof():
            writer.write_eof()

    def reset(self) -> None:
        """Close the connections to the client and the target with RST."""
        for _, writer in (self.client, self.target):
            reset(writer.transport)


class FaultProxy:
    """Listens on a free loopback port and forwards connections to one target."""

    def __init__(self, target: str, address: str = "") -> None:
        self.target = target
        self.address = address or f"127.0.0.1:{free_port()}"
        self.links: list[Link] = []
        self.delay_s = 0.0
        self.refuse_new = False
        self.accepted = 0
        self._modes = (Mode.PASS, Mode.PASS)
        self._server: asyncio.Server | None = None

    @classmethod
    async def in_front_of(cls, target: str, address: str = "") -> FaultProxy:
        """
        Start a proxy in front of a process.

        :param target: IP:port of the proxied process, which may start later.
        :param address: IP:port of the proxy; empty for a free port of 127.0.0.1.
        """
        proxy = cls(target, address)
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
        """
        Leave new connections unanswered until `reopen`.

        The kernel drops their SYN since the accept queue is full; TCP retransmits it until then.
        """
        self._server.close()
        host, port = self.address.split(":")
        self._blocked_socket = socket.socket()
        self._blocked_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blocked_socket.bind((host, int(port)))
        self._blocked_socket.listen(0)
        # An accept queue of length 0 holds one connection, so this connection fills it.
        self._queue_filler = socket.create_connection((host, int(port)))

    async def reopen(self) -> None:
        """Accept connections again, including those left unanswered since `shut`."""
        self._queue_filler.close()
        self._blocked_socket.setblocking(False)
        self._server = await asyncio.start_server(self._serve, sock=self._blocked_socket)

    async def set_modes(self, to_target: Mode, to_client: Mode) -> None:
        """Set the modes of all connections, both open and future ones."""
        self._modes = (to_target, to_client)
        await self.set_modes_of_open(to_target, to_client)

    async def set_modes_of_open(self, to_target: Mode, to_client: Mode) -> None:
        """Set the modes of the connections open now, but not of future ones."""
        for link in list(self.links):
            await link.set_modes(to_target, to_client)

    async def silence(self) -> None:
        """Partition both directions: connections stay open and all bytes are discarded."""
        await self.set_modes(Mode.SILENT, Mode.SILENT)

    async def heal(self) -> None:
        """
        End a partition.

        Links in mode SILENT are reset, since TCP can't recover bytes that the proxy discarded; all
        other links and new ones pass bytes again.
        """
        self._modes = (Mode.PASS, Mode.PASS)
        for link in list(self.links):
            if Mode.SILENT in link.mode_by_direction.values():
                link.reset()
                continue
            await link.set_modes(Mode.PASS, Mode.PASS)
        self.refuse_new = False

    def reset_open(self) -> None:
        """Reset all connections that are open now; new ones are accepted."""
        for link in list(self.links):
            link.reset()

    def cut(self) -> None:
        """Reset all connections and abort new ones."""
        self.refuse_new = True
        for link in list(self.links):
            link.reset()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for link in list(self.links):
            link.reset()
