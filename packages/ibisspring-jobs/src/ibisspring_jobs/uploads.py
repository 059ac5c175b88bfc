"""
The committed chunks of jobs that are too large for one entry of the jobs' log.

Such a job exists only once the command that follows its last chunk is applied. Entries of other
jobs are committed between its chunks.
"""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.codec import decode
from ibisspring_core.messages.job_uploads import ITEM_LENGTH
from ibisspring_core.messages.jobs import JobItem


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
        with memoryview(self._rest) as view:
            while start + ITEM_LENGTH.size <= len(view):
                end = start + ITEM_LENGTH.size + ITEM_LENGTH.unpack_from(view, start)[0]
                if end > len(view):
                    break
                with view[start + ITEM_LENGTH.size : end] as encoded:
                    self.items.append(decode(encoded, JobItem))
                start = end
        del self._rest[:start]

    def is_complete(self, items: int) -> bool:
        """Whether the chunks contain this number of items and nothing else."""
        return len(self.items) == items and not self._rest


__all__ = ["StoredUpload", "Upload"]
