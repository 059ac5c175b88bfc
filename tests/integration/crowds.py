"""Clients that use more of an entry's memory, connections or time than their requests need."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path
from urllib.parse import urlsplit

from integration.platform_system import headers_of

KIB = 1024
MIB = 1024 * KIB
# Seconds for which a crowd may go on with sending until the entry is measured.
CROWD_S = 8.0
SAMPLE_S = 0.1
SLOW_READ_BYTES = 512
SLOW_READ_PAUSE_S = 0.2
RECEIVE_BUFFER_BYTES = 4 * KIB
# Bytes of an answer that a client holds before it stops to read; at least those of the head.
HEAD_LIMIT_BYTES = 4 * KIB
# State of an established connection in /proc/net/tcp.
ESTABLISHED = "01"


def head(method: str, path: str, attempt: str, *lines: str, key: str = "k1") -> bytes:
    """Return the line and the headers of a request, without a deadline."""
    headers = {**headers_of(attempt, key), "Deadline-Ms": "60000"}
    text = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*text, *lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Client:
    """A connection of a client whose requests are written by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, url: str, receive_bytes: int | None = None) -> Client:
        """
        Connect to the base URL of an entry.

        :param receive_bytes: size of the receive buffer; None for that of the system.
        """
        address = urlsplit(url)
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await asyncio.get_running_loop().sock_connect(sock, (address.hostname, address.port))
        return cls(*await asyncio.open_connection(sock=sock, limit=HEAD_LIMIT_BYTES))

    async def send(self, *parts: bytes) -> None:
        """Write parts of requests until the entry has taken them."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()

    async def status(self) -> int:
        """Read the status and the headers of an answer, and return the status."""
        lines = await self.reader.readuntil(b"\r\n\r\n")
        return int(lines.split(b" ", 2)[1])

    async def read_slowly(self) -> None:
        """Read some bytes at a time until the connection ends."""
        while await self.reader.read(SLOW_READ_BYTES):
            await asyncio.sleep(SLOW_READ_PAUSE_S)


class Crowd:
    """Many clients of one entry, with what the entry's process used at most meanwhile."""

    def __init__(self, url: str, pid: int) -> None:
        self._url = url
        self._pid = pid
        self._clients: list[Client] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.unread_bytes = 0
        self.sockets = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def of(cls, url: str, pid: int) -> AsyncIterator[Crowd]:
        """Measure the process while the context is open; at its end all clients leave."""
        crowd = cls(url, pid)
        sampling = asyncio.create_task(crowd._sample())
        try:
            yield crowd
        finally:
            tasks = [sampling, *crowd._tasks]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for client in crowd._clients:
                client.writer.transport.abort()

    async def connect(self, receive_bytes: int | None = None) -> Client:
        """Connect one client, which stays connected until the crowd leaves."""
        client = await Client.connect(self._url, receive_bytes)
        self._clients.append(client)
        return client

    async def add(
        self,
        count: int,
        behave: Callable[[Client, int], Awaitable[None]],
        receive_bytes: int | None = None,
    ) -> None:
        """
        Connect clients and let them behave at the same time, for CROWD_S at most.

        :param behave: what a client with a number does; its connection may be ended meanwhile.
        """
        tasks = {asyncio.create_task(self._run(n, behave, receive_bytes)) for n in range(count)}
        self._tasks |= tasks
        await asyncio.wait(tasks, timeout=CROWD_S)

    async def _run(
        self,
        number: int,
        behave: Callable[[Client, int], Awaitable[None]],
        receive_bytes: int | None,
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            await behave(await self.connect(receive_bytes), number)

    async def _sample(self) -> None:
        address = urlsplit(self._url)
        while True:
            unread = _unread_bytes(address.hostname, address.port)
            self.unread_bytes = max(self.unread_bytes, unread)
            self.sockets = max(self.sockets, _open_sockets(self._pid))
            await asyncio.sleep(SAMPLE_S)


def peak_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB
    raise AssertionError(f"process {pid} has no VmHWM")


def _open_sockets(pid: int) -> int:
    folder = f"/proc/{pid}/fd"
    targets = (_target(f"{folder}/{name}") for name in os.listdir(folder))
    return sum(target.startswith(("socket:", "pipe:", "anon_inode:")) for target in targets)


def _target(link: str) -> str:
    try:
        return os.readlink(link)
    except FileNotFoundError:
        return ""


def _unread_bytes(ip: str, port: int) -> int:
    """Return the bytes that have arrived at a listener's connections and were not read."""
    local = f"{socket.inet_aton(ip)[::-1].hex().upper()}:{port:04X}"
    return sum(unread for address, unread in _receive_queues() if address == local)


def _receive_queues() -> Iterator[tuple[str, int]]:
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] == ESTABLISHED:
            yield fields[1], int(fields[4].partition(":")[2], 16)
