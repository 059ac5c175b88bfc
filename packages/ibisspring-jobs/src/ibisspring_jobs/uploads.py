"""
Jobs that are too large for one entry of the jobs' log, and are committed in chunks before.

The items of such a job are encoded one after the other, each behind its length, and this stream is
cut into chunks: also a single item can be larger than an entry. The job exists only once the
command that follows its last chunk is applied. Entries of other jobs are committed between chunks.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.jobs import JobItem

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Size of a chunk in bytes. While one is replicated and synced, the entries behind it wait.
CHUNK_BYTES = 256 * 1024
# Encoded length of an item, before its bytes.
_LENGTH = struct.Struct("<I")


@dataclass(frozen=True)
class StoredUpload:
    """
    An upload as it is encoded in a snapshot.

    :param upload: id of the upload.
    :param chunks: number of chunks that were committed.
    :param items: the items that these chunks contain completely.
    :param rest: the begin of the next item.
    """

    upload: str
    chunks: int
    items: tuple[JobItem, ...]
    rest: bytes


class Upload:
    """
    The committed chunks of a job that is not yet accepted.

    :param chunks: number of chunks that were committed.
    :param items: the items that these chunks contain completely.
    """

    def __init__(self) -> None:
        self.chunks = 0
        self.items: list[JobItem] = []
        self._rest = bytearray()

    @classmethod
    def from_stored(cls, stored: StoredUpload) -> Upload:
        """Restore an upload from a snapshot."""
        upload = cls()
        upload.chunks = stored.chunks
        upload.items = list(stored.items)
        upload._rest = bytearray(stored.rest)
        return upload

    def to_stored(self, upload: str) -> StoredUpload:
        """Return the upload as it is written to a snapshot."""
        return StoredUpload(upload, self.chunks, tuple(self.items), bytes(self._rest))

    def add(self, number: int, data: bytes) -> None:
        """Append a chunk; one that does not follow the last chunk is ignored."""
        if number != self.chunks:
            return
        self.chunks += 1
        self._rest += data
        start = 0
        while start + _LENGTH.size <= len(self._rest):
            end = start + _LENGTH.size + _LENGTH.unpack_from(self._rest, start)[0]
            if end > len(self._rest):
                break
            self.items.append(decode(self._rest[start + _LENGTH.size : end], JobItem))
            start = end
        del self._rest[:start]

    def is_complete(self, items: int) -> bool:
        """Whether the chunks contain this number of items and nothing else."""
        return len(self.items) == items and not self._rest


def chunks_of(items: Iterable[JobItem], chunk_bytes: int = CHUNK_BYTES) -> Iterator[bytes]:
    """
    Yield the encoded items in chunks, of which only the last may be smaller than `chunk_bytes`.

    :param items: the items of a job.
    :param chunk_bytes: size of a chunk.
    """
    buffer = bytearray()
    for item in items:
        encoded = encode(item)
        buffer += _LENGTH.pack(len(encoded))
        buffer += encoded
        while len(buffer) >= chunk_bytes:
            yield bytes(buffer[:chunk_bytes])
            del buffer[:chunk_bytes]
    if buffer:
        yield bytes(buffer)


__all__ = ["CHUNK_BYTES", "StoredUpload", "Upload", "chunks_of"]
