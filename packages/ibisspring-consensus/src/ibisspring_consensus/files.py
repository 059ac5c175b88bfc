"""Checksummed records and files that are replaced whole."""

from __future__ import annotations

import errno
import os
import struct
import zlib
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

# Length of the payload, CRC-32 of the payload, CRC-32 of the eight bytes before.
HEADER = struct.Struct("<III")
_LENGTH_AND_SUM = struct.Struct("<II")


class WriteRefused(Exception):
    """The system refuses a write for now, and nothing that was synced before is in doubt."""


class DiskFull(WriteRefused):
    """
    There is no room.

    The sync of a log that finds no room is not meant: it may have dropped what was written before,
    and after it nobody knows what the disk holds.
    """


class NoDescriptors(WriteRefused):
    """The process or its VM has no descriptor left for a file."""


_REFUSAL_BY_ERRNO = {
    errno.ENOSPC: DiskFull,
    errno.EMFILE: NoDescriptors,
    errno.ENFILE: NoDescriptors,
}


@dataclass(frozen=True)
class Damage:
    """
    A place in a file that is not what was written.

    :param offset: byte offset of the first bad record.
    """

    path: str
    offset: int
    message: str

    def __str__(self) -> str:
        return f"{self.path}: offset {self.offset}: {self.message}"


@dataclass(frozen=True)
class Records:
    """
    Records of a file.

    :param payloads: the good records in order.
    :param end: offset after the last good record.
    """

    payloads: tuple[bytes, ...]
    end: int


def frame(payload: bytes) -> bytes:
    """
    Frame a record.

    :param payload: its bytes.
    :return: header and payload.
    """
    return header_of(payload) + payload


def header_of(payload: bytes) -> bytes:
    """
    Make the header of a record.

    :param payload: the record's bytes; a long one is written after its header without a copy.
    :return: the header.
    """
    start = _LENGTH_AND_SUM.pack(len(payload), zlib.crc32(payload))
    return start + struct.pack("<I", zlib.crc32(start))


def _record_at(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER.size > len(data):
        return None
    length, payload_sum, header_sum = HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _LENGTH_AND_SUM.size]) != header_sum:
        return None
    payload = data[offset + HEADER.size : offset + HEADER.size + length]
    if len(payload) != length or zlib.crc32(payload) != payload_sum:
        return None
    return payload


def read_records(path: Path) -> Records | Damage:
    """
    Read all records of a file that one record at a time was synced to.

    A crash can only tear the last record, since each is synced before the next is written. A bad
    record with a good one behind it was good once, and what it promised is lost: the replica must
    not go on as if it had never been.

    :param path: the file.
    :return: the records before a torn end, or the damage.
    """
    data = path.read_bytes()
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _record_at(data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    for later in range(offset + 1, len(data) - HEADER.size + 1):
        if _record_at(data, later):
            message = f"a damaged record stands before a good one at offset {later}"
            return Damage(str(path), offset, message)
    return Records(tuple(payloads), offset)


def write_all(descriptor: int, data: bytes) -> None:
    """
    Write all bytes; `DiskFull` where there is no room, with a part of them written.

    :param descriptor: an open file.
    """
    left = memoryview(data)
    with as_write_refused():
        while left:
            left = left[os.write(descriptor, left) :]


@contextmanager
def as_write_refused() -> Iterator[None]:
    """Raise `WriteRefused` where what is done within is refused for now."""
    try:
        yield
    except OSError as error:
        refusal = _REFUSAL_BY_ERRNO.get(error.errno)
        if refusal is None:
            raise
        raise refusal(str(error)) from error


def sync_folder(folder: Path) -> None:
    """
    Make created, renamed and removed names in a folder last.

    Raises `WriteRefused` where the folder can't be opened now; a sync that fails is another matter.
    """
    with as_write_refused():
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(path: Path) -> None:
    """
    Make a folder whose name lasts; `WriteRefused` where it can't be made now.

    Without its name a folder is gone after a power loss, with all that was synced in it. The folder
    and the data folder that holds it may be left by a process that ended before it synced them.

    :param path: the folder; it may exist.
    """
    named = {path, path.parent}
    named.update(folder for folder in path.parents if not folder.exists())
    with as_write_refused():
        path.mkdir(parents=True, exist_ok=True)
        for holder in {folder.parent for folder in named}:
            # Nothing of ours can have been made in a folder that is not ours to write to.
            if os.access(holder, os.W_OK):
                sync_folder(holder)


def replace_file(path: Path, *pieces: bytes) -> None:
    """
    Write a file whole or not at all; `WriteRefused` where it can't be written now.

    A crash leaves the old file or the new one: the new one is synced under another name before it
    takes the place, and the folder is synced after.

    :param path: where it stands.
    :param pieces: its new content, one after the other.
    """
    temporary = path.with_name(path.name + ".tmp")
    # A full disk refuses the new name as well, or says so at the sync: the old file stands, and the
    # next try writes the new one whole.
    with as_write_refused():
        with temporary.open("wb", buffering=0) as file:
            for piece in pieces:
                write_all(file.fileno(), piece)
            os.fsync(file.fileno())
        temporary.replace(path)
    sync_folder(path.parent)


__all__ = [
    "HEADER",
    "Damage",
    "DiskFull",
    "NoDescriptors",
    "WriteRefused",
    "Records",
    "frame",
    "header_of",
    "make_folder",
    "read_records",
    "as_write_refused",
    "replace_file",
    "sync_folder",
    "write_all",
]
