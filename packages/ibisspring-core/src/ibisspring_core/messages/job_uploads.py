"""
Messages by which an entry submits a job that is too large for one message, in chunks.

The items of the job are encoded one after the other, each behind its length, and this stream is cut
into chunks: also a single item can be larger than a chunk.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.jobs import Job

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ibisspring_core.messages.jobs import JobItem

# Size of a chunk in bytes. While one is replicated and synced, the log entries behind it wait.
CHUNK_BYTES = 128 * 1024
# Encoded length of an item, before its bytes.
ITEM_LENGTH = struct.Struct("<I")


@dataclass(frozen=True)
class UploadChunk:
    """
    Asks the jobs' leader to store a chunk of a job's items.

    :param job: id of the job.
    :param client_account: account that submits the job.
    :param upload: id of the upload, as of `upload_id`.
    :param number: number of the chunk, from 0.
    :param data: bytes of the chunk, as `chunks_of` cuts them.
    """

    job: str
    client_account: str
    upload: str
    number: int
    data: bytes


@dataclass(frozen=True)
class ChunksStored:
    """
    Answer to `UploadChunk`, and to a `SubmitUpload` whose chunks are not complete.

    :param count: number of the upload's chunks that a majority of the stores holds.
    """

    count: int


@dataclass(frozen=True)
class SubmitUpload:
    """
    Asks the jobs' leader to accept a job whose chunks are stored; answered as `SubmitJob`.

    :param job: the job without its items.
    :param upload: id of the upload.
    :param items: number of the job's items.
    """

    job: Job
    upload: str
    items: int


def chunks_of(items: Iterable[JobItem], chunk_bytes: int = CHUNK_BYTES) -> Iterator[bytes]:
    """
    Yield the encoded items in chunks, of which only the last may be smaller than `chunk_bytes`.

    :param items: the items of a job.
    :param chunk_bytes: size of a chunk.
    """
    buffer = bytearray()
    for item in items:
        encoded = encode(item)
        for part in (ITEM_LENGTH.pack(len(encoded)), encoded):
            start = 0
            while len(buffer) + len(part) - start >= chunk_bytes:
                end = start + chunk_bytes - len(buffer)
                yield bytes(buffer) + part[start:end]
                buffer.clear()
                start = end
            buffer += part[start:]
    if buffer:
        yield bytes(buffer)


def upload_id(job: Job) -> str:
    """
    Return an id that is the same for the same job, at whichever entry it is submitted.

    A submission that is repeated at another entry goes on after the chunks that are stored.
    """
    digest = xxhash.xxh3_128()
    for item in job.items:
        digest.update(encode(item))
    return f"{job.client_account}:{job.job}:{digest.hexdigest()}"


__all__ = [
    "CHUNK_BYTES",
    "ITEM_LENGTH",
    "ChunksStored",
    "SubmitUpload",
    "UploadChunk",
    "chunks_of",
    "upload_id",
]
