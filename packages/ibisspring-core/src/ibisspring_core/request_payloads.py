"""Sends large bodies of requests in parts, without copies of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.payload import Payload

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

# Bytes that are handed to the transport at a time. A body of at most this many bytes is sent with
# the headers.
PART_BYTES = 64 * 1024
CONTENT_TYPE = "application/octet-stream"


class LargeBody(Payload):
    """
    A body that is written as fast as the connection takes it.

    Written in one step, what the connection does not take at once is copied several times: by the
    HTTP client, by the transport when it sends the first bytes, and into the transport's buffer.

    :param data: the body, which must not change until it is sent.
    """

    def __init__(self, data: bytes | bytearray) -> None:
        super().__init__(data, content_type=CONTENT_TYPE)
        self._size = len(data)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body part by part, each when the connection has taken most of the last one."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """
        Write the begin of the body, as `write`.

        :param content_length: number of bytes; None for all.
        """
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), PART_BYTES):
            await writer.write(view[start : start + PART_BYTES])


def payload_of(body: bytes | bytearray) -> LargeBody | bytes | bytearray | None:
    """Return what the HTTP client sends as the body of a request; None for no body."""
    if len(body) > PART_BYTES:
        return LargeBody(body)
    return body or None


__all__ = ["LargeBody", "payload_of"]
