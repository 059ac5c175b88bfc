"""Files with checksummed records, which detect damage, and atomic replacement of files."""

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

# Header of a record: length of the payload, CRC-32 of the payload, CRC-32 of these first eight
# bytes.
HEADER = struct.Struct("<III")
_LENGTH_AND_CHECKSUM = struct.Struct("<II")


class WriteRefused(Exception):
    """
    The system refused a file operation for a cause that can pass, such as a full disk.

    Everything that was synced before the operation is intact, so the operation can be retried.
    """


class DiskFull(WriteRefused):
    """
    The file system has no free space for a write.

    This error is not raised for a sync of the log that fails with ENOSPC: such a sync may have
    dropped data that was written before, and the content of the disk is unknown after it.
    """


class NoDescriptors(WriteRefused):
    """No file can be opened: the process or its VM has reached its limit of file descriptors."""


_REFUSAL_BY_ERRNO = {
    errno.ENOSPC: DiskFull,
    errno.EMFILE: NoDescriptors,
    errno.ENFILE: NoDescriptors,
}


@dataclass(frozen=True)
class Damage:
    """
    A file of the replica that is missing, or a part of one that differs from what was written.

    :param path: the damaged file, or the folder in which a file is missing.
    :param offset: byte offset of the first bad record.
    :param message: description of the damage for the operator.
    """

    path: str
    offset: int
    message: str

    def __str__(self) -> str:
        return f"{self.path}: offset {self.offset}: {self.message}"


@dataclass(frozen=True)
class Records:
    """
    The valid records of a file.

    :param payloads: payloads of the records, in file order.
    :param end: byte offset after the last valid record; a torn record may follow.
    """

    payloads: tuple[bytes, ...]
    end: int


def frame(payload: bytes) -> bytes:
    """
    Build a record from its payload.

    :param payload: content of the record.
    :return: the header, with length and checksums, followed by the payload.
    """
    return header_of(payload) + payload


def header_of(payload: bytes) -> bytes:
    """
    Build the header of a record, with the payload's length and the checksums.

    The caller can write a large payload after this header without copying it.

    :param payload: content of the record.
    """
    length_and_checksum = _LENGTH_AND_CHECKSUM.pack(len(payload), zlib.crc32(payload))
    return length_and_checksum + struct.pack("<I", zlib.crc32(length_and_checksum))


def _record_at(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER.size > len(data):
        return None
    length, payload_checksum, header_checksum = HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _LENGTH_AND_CHECKSUM.size]) != header_checksum:
        return None
    payload = data[offset + HEADER.size : offset + HEADER.size + length]
    if len(payload) != length or zlib.crc32(payload) != payload_checksum:
        return None
    return payload


def read_records(path: Path) -> Records | Damage:
    """
    Read all records of a file to which one record at a time was appended and synced.

    A crash can tear only the last record, since each record is synced before the next is written. A
    bad record before a valid one was therefore synced and damaged later. The replica may have sent
    votes or acknowledgements that depend on the lost record, so it must not continue without it.

    :param path: the file with the records.
    :return: the valid records, without a torn record at the end of the file; the damage if a bad
        record precedes a valid one.
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
    for later_offset in range(offset + 1, len(data) - HEADER.size + 1):
        if _record_at(data, later_offset):
            message = f"damaged record before a valid record at offset {later_offset}"
            return Damage(str(path), offset, message)
    return Records(tuple(payloads), offset)


def write_all(descriptor: int, data: bytes) -> None:
    """
    Write all bytes; raise `DiskFull` if there is no free space, possibly after a part was written.

    :param descriptor: file descriptor, open for writing.
    :param data: the bytes to write.
    """
    remaining = memoryview(data)
    with as_write_refused():
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]


@contextmanager
def as_write_refused() -> Iterator[None]:
    """
    Raise `WriteRefused` in place of an `OSError` whose cause can pass.

    Such causes are a lack of free space and a lack of free file descriptors.
    """
    try:
        yield
    except OSError as error:
        refusal = _REFUSAL_BY_ERRNO.get(error.errno)
        if refusal is None:
            raise
        raise refusal(str(error)) from error


def sync_folder(folder: Path) -> None:
    """
    Sync the names of files that were created, renamed or removed in a folder.

    Raises `WriteRefused` if the folder cannot be opened at present; a failed sync raises `OSError`.
    """
    with as_write_refused():
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(path: Path) -> None:
    """
    Create a folder and sync its name; raise `WriteRefused` if it cannot be created at present.

    If the name of a folder is not synced, a power loss removes the folder with everything that was
    synced in it. The names of the folder and its parent are synced even if both exist, because a
    previous process may have ended after it created them and before it synced their names.

    :param path: the folder, which may exist already.
    """
    unsynced_names = {path, path.parent}
    unsynced_names.update(folder for folder in path.parents if not folder.exists())
    with as_write_refused():
        path.mkdir(parents=True, exist_ok=True)
        for parent in {folder.parent for folder in unsynced_names}:
            # In a folder without write permission this process cannot have created names, so there
            # is nothing to sync.
            if os.access(parent, os.W_OK):
                sync_folder(parent)


def replace_file(path: Path, *pieces: bytes) -> None:
    """
    Replace a file atomically; raise `WriteRefused` if it cannot be written at present.

    After a crash either the old or the new file exists: the new file is synced under a temporary
    name and renamed, and then the folder is synced.

    :param path: final path of the file.
    :param pieces: parts of the new content, which are written one after another.
    """
    temporary = path.with_name(path.name + ".tmp")
    # A full disk can also refuse to create the temporary file, or report the lack of space when the
    # temporary file is synced. The old file is intact in both cases, and the next attempt writes
    # the new file from its start.
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
