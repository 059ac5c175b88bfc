"""
Reads the bodies of HTTP responses, each up to a limit and all of a process up to a common one.

A faulty endpoint may send bytes without end. All bodies are therefore read here; a body that
exceeds a limit ends with an error, like one whose connection broke, and its connection is closed.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import aiohttp

from ibisspring_decisions.client_load import BASE_MEMORY_MB

if TYPE_CHECKING:
    from collections.abc import Iterator

# Largest answer about the state of an endpoint, to an order, to a report, or with scores, in bytes.
METADATA_BYTES = 1024 * 1024
# Most bytes of all bodies that a process of unknown size reads at the same time.
DEFAULT_TOTAL_BYTES = 64 * 1024 * 1024
# Part of the memory of a process of known size that these bodies may take, and part of what is left
# beyond the memory of a process at rest.
TOTAL_SHARE = 0.25
FREE_SHARE = 0.4


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body exceeds its limit, or was dropped as the largest one when all together did."""


class BodyReading:
    """
    A body that is being read.

    :param response: the response, which is closed if the body is dropped.
    :param max_bytes: limit of this body.
    :param size: bytes that were read.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, max_bytes: int, memory: ResponseMemory
    ) -> None:
        self.response = response
        self.size = 0
        self._max_bytes = max_bytes
        self._memory = memory
        self._is_dropped = False

    def grow(self, count: int) -> None:
        """
        Record that a number of bytes was read.

        :raises BodyTooLargeError: if the body exceeds a limit.
        """
        self.size += count
        self._memory.grew(count)
        if self.size > self._max_bytes:
            self.drop()
        self.check()

    def drop(self) -> None:
        """Close the connection; the reader gets an error."""
        self._is_dropped = True
        self.response.close()

    def check(self) -> None:
        """
        Check that the body was not dropped, which may look like its end.

        :raises BodyTooLargeError: if it was.
        """
        if self._is_dropped:
            raise BodyTooLargeError(f"the body was dropped after {self.size} bytes")


class ResponseMemory:
    """
    The bodies that a process reads at the same time.

    If they exceed the limit together, the largest one is dropped: it is the one that may have no
    end, and small answers are not lost because of it.

    :param total_bytes: limit of all bodies together.
    """

    def __init__(self, total_bytes: int = DEFAULT_TOTAL_BYTES) -> None:
        self.total_bytes = total_bytes
        self._used_bytes = 0
        self._readings: set[BodyReading] = set()

    @classmethod
    def from_memory_mb(cls, memory_mb: float) -> ResponseMemory:
        """
        Build the memory of a process of known size.

        :param memory_mb: memory of the process in megabytes; 0 if unknown.
        """
        if not memory_mb:
            return cls()
        free_mb = memory_mb - BASE_MEMORY_MB
        total_mb = min(TOTAL_SHARE * memory_mb, FREE_SHARE * free_mb)
        return cls(max(2 * METADATA_BYTES, int(total_mb * 1024 * 1024)))

    @contextmanager
    def reading(self, response: aiohttp.ClientResponse, max_bytes: int) -> Iterator[BodyReading]:
        """Count a body while the context is open."""
        reading = BodyReading(response, max_bytes, self)
        self._readings.add(reading)
        try:
            yield reading
        finally:
            self._readings.discard(reading)
            self._used_bytes -= reading.size

    def grew(self, count: int) -> None:
        """Record that a body grew; drop the largest one if all together exceed the limit."""
        self._used_bytes += count
        if self._used_bytes > self.total_bytes:
            max(self._readings, key=lambda reading: reading.size).drop()


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int = METADATA_BYTES,
    memory: ResponseMemory | None = None,
) -> bytes | bytearray:
    """
    Read a body to its end, into one buffer.

    :param max_bytes: limit of this body.
    :param memory: the bodies of this process; None for a body that is not counted among them.
    :raises BodyTooLargeError: if the body exceeds a limit; the connection is closed.
    """
    body = bytearray()
    with (memory or ResponseMemory()).reading(response, max_bytes) as reading:
        try:
            async for chunk in response.content.iter_any():
                reading.grow(len(chunk))
                body += chunk
            reading.check()
        except BaseException as error:
            # The response keeps the error, and the error this frame, until the next collection of
            # cycles; the buffer must not stay in memory with them.
            body.clear()
            if isinstance(error, aiohttp.ClientError):
                reading.check()
            raise
        return body


__all__ = [
    "METADATA_BYTES",
    "BodyReading",
    "BodyTooLargeError",
    "ResponseMemory",
    "read_body",
]
