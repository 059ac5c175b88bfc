"""HTTP/1.1 on plain sockets, so that stand-ins control each byte and each end of a connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

# SO_LINGER switched on with 0 s: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_HEAD_BYTES = 65_536

COMPLETE = "complete"
CUT = "cut"
REFUSED = "refused"
RESET = "reset"
TIMEOUT = "timeout"


@dataclass(frozen=True)
class Message:
    """
    A request or an answer.

    :param start: the parts of the first line.
    :param headers: values by lower-case name.
    """

    start: tuple[str, ...]
    headers: dict[str, str]
    body: bytes = b""


@dataclass(frozen=True)
class Answer:
    """
    What a client received.

    :param end: COMPLETE, or how the exchange ended without a complete answer.
    :param status: HTTP status; 0 without one.
    """

    end: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers; raises `IncompleteReadError` at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(tuple(first.split(" ", 2)), headers)


async def read_body(reader: asyncio.StreamReader, head: Message, until_end: bool) -> bytes:
    """
    Read the body that follows a head.

    :param until_end: a message without a length ends with its connection.
    """
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    if "content-length" in head.headers:
        return await reader.readexactly(int(head.headers["content-length"]))
    return await reader.read() if until_end else b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def encode(start: str, headers: dict[str, str], body: bytes | None) -> bytes:
    """Encode a message; with None as body, no length is stated."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Make one call on a new connection."""
    host, _, port = address.rpartition(":")
    writer = None
    status, received = 0, {}
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
            sent = {"Host": address, **(headers or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", sent, body))
            await writer.drain()
            head = await read_head(reader)
            status, received = int(head.start[1]), head.headers
            answer_body = await read_body(reader, head, until_end=True)
            return Answer(COMPLETE, status, received, answer_body)
    except TimeoutError:
        return Answer(TIMEOUT, status, received)
    except ConnectionRefusedError:
        return Answer(REFUSED)
    except asyncio.IncompleteReadError:
        return Answer(CUT, status, received)
    except OSError:
        return Answer(RESET, status, received)
    finally:
        if writer is not None:
            writer.close()
