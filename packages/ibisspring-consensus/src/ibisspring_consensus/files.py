"""Checksummed records, and files that are replaced atomically."""

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

# Length of the payload, CRC-32 of the payload, CRC-32 of these first eight bytes.
HEADER = struct.Struct("<III")
_LENGTH_AND_CHECKSUM = struct.Struct("<II")


class WriteRefused(Exception):
    """
    The system refused an operation for a cause that can pass; everything synced before is intact.
    """


class DiskFull(WriteRefused):
    """
    The file system has no free space for a write.

    Not used for a log sync that fails with ENOSPC: such a sync may have dropped data written
    before, and the content of the disk is unknown after it.
    """


class NoDescriptors(WriteRefused):
    """The process or its VM has reached its limit of open files."""


_REFUSAL_BY_ERRNO = {
    errno.ENOSPC: DiskFull,
    errno.EMFILE: NoDescriptors,
    errno.ENFILE: NoDescriptors,
}


@dataclass(frozen=True)
class Damage:
    """
    A part of a file that differs from what was written.

    :param path: the file, or the folder that lacks it.
    :param offset: byte offset of the first bad record.
    :param message: what is wrong.
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

    :param payloads: payloads of the valid records, in order.
    :param end: offset after the last valid record.
    """

    payloads: tuple[bytes, ...]
    end: int


def frame(payload: bytes) -> bytes:
    """
    Prepend the header to a record.

    :param payload: the record's bytes.
    :return: header and payload.
    """
    return header_of(payload) + payload


def header_of(payload: bytes) -> bytes:
    """
    Build the header of a record.

    :param payload: the record's bytes. With a separate header, a large payload is written without a
        copy.
    :return: the header.
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
    bad record before a valid one was therefore synced and is lost now. The replica may have sent
    votes or acknowledgements that depend on it, so it must not continue without it.

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
    for later_offset in range(offset + 1, len(data) - HEADER.size + 1):
        if _record_at(data, later_offset):
            message = f"damaged record before a valid record at offset {later_offset}"
            return Damage(str(path), offset, message)
    return Records(tuple(payloads), offset)


def write_all(descriptor: int, data: bytes) -> None:
    """
    Write all bytes; raise `DiskFull` if there is no free space, possibly after a part was written.

    :param descriptor: an open file.
    :param data: the bytes.
    """
    remaining = memoryview(data)
    with as_write_refused():
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]


@contextmanager
def as_write_refused() -> Iterator[None]:
    """
    Raise `WriteRefused` in place of an `OSError` whose cause can pass: no free space or descriptor.
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
    Sync the names that were created, renamed or removed in a folder.

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

    :param path: the folder; it may exist.
    """
    unsynced_names = {path, path.parent}
    unsynced_names.update(folder for folder in path.parents if not folder.exists())
    with as_write_refused():
        path.mkdir(parents=True, exist_ok=True)
        for parent in {folder.parent for folder in unsynced_names}:
            # This process cannot have created anything in a folder that it may not write to.
            if os.access(parent, os.W_OK):
                sync_folder(parent)


def replace_file(path: Path, *pieces: bytes) -> None:
    """
    Write a file atomically; raise `WriteRefused` if it cannot be written at present.

    After a crash the old or the new file exists: the new one is synced under a temporary name,
    renamed, and then the folder is synced.

    :param path: the file.
    :param pieces: the new content, in order.
    """
    temporary = path.with_name(path.name + ".tmp")
    # A full disk can also refuse to create the temporary file, or report the lack of space at its
    # sync. The old file is intact then, and the next attempt writes the new file from its start.
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
