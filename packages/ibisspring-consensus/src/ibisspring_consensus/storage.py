"""
The disk of one replica: hard state, log segment and snapshots under `data_folder/consensus`.

All methods block; the node calls them one at a time from a thread of their own, never from the
event loop.
"""

from __future__ import annotations

import os
import secrets
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_consensus.core import StoredState
from ibisspring_consensus.files import (
    HEADER,
    Damage,
    DiskFull,
    WriteRefused,
    as_write_refused,
    frame,
    header_of,
    make_folder,
    read_records,
    replace_file,
    sync_folder,
    write_all,
)
from ibisspring_consensus.messages import Entry, HardState, SnapshotMeta
from ibisspring_core.messages.codec import decode, encode

if TYPE_CHECKING:
    from pathlib import Path

_HARD_STATE = "hard_state"


@dataclass(frozen=True)
class StoredHardState:
    """
    The file `hard_state`.

    :param disk_id: made at the first use of the folder, never changed.
    :param snapshot_index: a snapshot at least this new was written.
    """

    disk_id: str
    hard: HardState
    snapshot_index: int = 0


@dataclass(frozen=True)
class SegmentStart:
    """First record of a segment: entries come after this index."""

    base_index: int
    base_term: int


@dataclass(frozen=True)
class LogChange:
    """One change of the log: drop a tail, then append."""

    truncate_from: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class LogRecord:
    """One record of a segment: what one sync made last (group commit)."""

    changes: tuple[LogChange, ...]


class Storage:
    """Open files of one replica."""

    def __init__(self, folder: Path, disk_id: str, stored: StoredState, segment: Path) -> None:
        self.folder = folder
        self.disk_id = disk_id
        self.stored = stored
        self._segment = segment
        self._hard = stored.hard
        self._snapshot_index = stored.snapshot.index
        # One descriptor stays open: opened anew per write, an error of an earlier sync could go
        # unseen.
        self._descriptor = os.open(segment, os.O_WRONLY | os.O_APPEND)

    @classmethod
    def from_folder(cls, folder: Path) -> Storage | Damage:
        """
        Open the folder, or lay it out at its first use.

        :param folder: `data_folder/consensus`.
        :return: the storage, or where its files are damaged; raises `WriteRefused` where a file
            can't be opened or written now.
        """
        with as_write_refused():
            if not (folder / _HARD_STATE).exists():
                make_folder(folder)
            for leftover in folder.glob("*.tmp"):
                leftover.unlink()
            hard = _load_hard_state(folder)
            if isinstance(hard, Damage):
                return hard
            return _open(cls, folder, hard)

    def write_hard_state(self, hard: HardState) -> None:
        """Replace term and vote, synced."""
        self._hard = hard
        stored = StoredHardState(self.disk_id, hard, self._snapshot_index)
        replace_file(self.folder / _HARD_STATE, frame(encode(stored)))

    def write_log(self, changes: tuple[LogChange, ...]) -> None:
        """Append changes as one record with one sync."""
        end = os.fstat(self._descriptor).st_size
        try:
            write_all(self._descriptor, frame(encode(LogRecord(changes))))
        except DiskFull:
            # A part of the record may stand there. Left in place, a later record behind it would
            # look like damage in the middle of the log, and the replica would not start.
            os.ftruncate(self._descriptor, end)
            raise
        os.fdatasync(self._descriptor)

    def write_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Write a snapshot, synced under its name; earlier ones stay until `compact`."""
        path = self.folder / f"snapshot-{meta.index:020d}"
        replace_file(path, frame(encode(meta)), header_of(data), data)

    def compact(
        self, snapshot: SnapshotMeta, base: SegmentStart, entries: tuple[Entry, ...]
    ) -> None:
        """
        Begin a segment that holds only what the snapshot lacks and a tail before it.

        The new segment is synced under its name before the old one goes. The snapshot before stays
        as well: it goes when the next one has been synced.

        :param snapshot: a snapshot that was written.
        :param base: start of the segment.
        :param entries: all entries after it.
        """
        number = int(self._segment.name.removeprefix("log-")) + 1
        path = self.folder / f"log-{number:020d}"
        record = LogRecord((LogChange(0, entries),))
        replace_file(path, frame(encode(base)) + frame(encode(record)))
        with as_write_refused():
            opened = os.open(path, os.O_WRONLY | os.O_APPEND)
        os.close(self._descriptor)
        self._descriptor = opened
        self._segment.unlink()
        self._segment = path
        self._snapshot_index = snapshot.index
        self.write_hard_state(self._hard)
        for old in sorted(self.folder.glob("snapshot-*"))[:-2]:
            old.unlink()
        sync_folder(self.folder)

    def read_snapshot(self, index: int, offset: int = 0, size: int = -1) -> bytes | None:
        """
        Read from the state machine's part of a snapshot.

        :param index: its last log index.
        :param offset: first byte.
        :param size: most bytes; -1 for all.
        :return: the bytes; None where the snapshot went.
        """
        path = self.folder / f"snapshot-{index:020d}"
        if not path.exists():
            return None
        with path.open("rb") as file:
            meta_size = HEADER.unpack(file.read(HEADER.size))[0]
            file.seek(HEADER.size + meta_size + HEADER.size + offset)
            return file.read(size)

    def close(self) -> None:
        """Close the segment; all that was promised is synced already."""
        os.close(self._descriptor)


def _load_hard_state(folder: Path) -> StoredHardState | Damage:
    path = folder / _HARD_STATE
    segments = sorted(folder.glob("log-*"))
    if not path.exists():
        if any(folder.glob("snapshot-*")) or len(segments) > 1:
            return Damage(str(path), 0, "term and vote are missing beside a log")
        return _create_files(folder)
    records = read_records(path)
    if isinstance(records, Damage):
        return records
    if len(records.payloads) != 1:
        return Damage(str(path), 0, "term and vote are damaged")
    return decode(records.payloads[0], StoredHardState)


def _create_files(folder: Path) -> StoredHardState | Damage:
    """Lay out an empty folder; the segment comes first, so that term and vote never lack a log."""
    segment = folder / f"log-{1:020d}"
    if segment.exists():
        records = read_records(segment)
        if isinstance(records, Damage) or len(records.payloads) > 1:
            return Damage(str(folder / _HARD_STATE), 0, "term and vote are missing beside a log")
    replace_file(segment, frame(encode(SegmentStart(0, 0))))
    stored = StoredHardState(secrets.token_hex(8), HardState())
    replace_file(folder / _HARD_STATE, frame(encode(stored)))
    return stored


def _open(cls: type[Storage], folder: Path, hard: StoredHardState) -> Storage | Damage:
    snapshot = _load_snapshot(folder, hard.snapshot_index)
    if isinstance(snapshot, Damage):
        return snapshot
    segments = sorted(folder.glob("log-*"))
    if not segments:
        return Damage(str(folder), 0, "the log is missing beside term and vote")
    # A segment gets its name once it is synced, so the newest is whole and older ones are left over
    # from a crash.
    for old in segments[:-1]:
        old.unlink()
    segment = segments[-1]
    loaded = _load_segment(segment)
    if isinstance(loaded, Damage):
        return loaded
    start, entries = loaded
    if start.base_index > snapshot.index:
        return Damage(str(segment), 0, f"the snapshot that ends at {start.base_index} is missing")
    if _segment_matches_snapshot(snapshot, start, entries):
        stored = StoredState(hard.hard, snapshot, start.base_index, start.base_term, entries)
        return cls(folder, hard.disk_id, stored, segment)
    # A crash came between a received snapshot and its segment: what the log holds is older or was
    # overwritten.
    stored = StoredState(hard.hard, snapshot, snapshot.index, snapshot.term, ())
    storage = cls(folder, hard.disk_id, stored, segment)
    try:
        storage.compact(snapshot, SegmentStart(snapshot.index, snapshot.term), ())
    except WriteRefused:
        storage.close()
        raise
    return storage


def _segment_matches_snapshot(
    snapshot: SnapshotMeta, start: SegmentStart, entries: tuple[Entry, ...]
) -> bool:
    if snapshot.index == start.base_index:
        return snapshot.term == start.base_term
    position = snapshot.index - start.base_index - 1
    return position < len(entries) and entries[position].term == snapshot.term


def _load_snapshot(folder: Path, index: int) -> SnapshotMeta | Damage:
    newest = SnapshotMeta()
    for path in sorted(folder.glob("snapshot-*")):
        records = read_records(path)
        if isinstance(records, Damage):
            return records
        if len(records.payloads) != 2:
            return Damage(str(path), records.end, "the snapshot is damaged")
        meta = decode(records.payloads[0], SnapshotMeta)
        if zlib.crc32(records.payloads[1]) != meta.checksum:
            return Damage(str(path), records.end, "the snapshot is not the one it says it is")
        newest = meta
    if newest.index < index:
        return Damage(str(folder), 0, f"the snapshot at index {index} is missing")
    return newest


def _load_segment(path: Path) -> tuple[SegmentStart, tuple[Entry, ...]] | Damage:
    records = read_records(path)
    if isinstance(records, Damage):
        return records
    if not records.payloads:
        return Damage(str(path), 0, "the segment's first record is damaged")
    if records.end < path.stat().st_size:
        _truncate_file(path, records.end)
    start = decode(records.payloads[0], SegmentStart)
    entries: list[Entry] = []
    for payload in records.payloads[1:]:
        for change in decode(payload, LogRecord).changes:
            if change.truncate_from:
                del entries[change.truncate_from - start.base_index - 1 :]
            entries.extend(change.entries)
    for position, entry in enumerate(entries):
        expected = start.base_index + position + 1
        if entry.index != expected:
            return Damage(str(path), 0, f"entry {expected} is missing, {entry.index} stands there")
    return start, tuple(entries)


def _truncate_file(path: Path, end: int) -> None:
    """Cut off a torn last record; it was never synced, so nothing was promised about it."""
    with path.open("r+b") as file:
        file.truncate(end)
        os.fsync(file.fileno())


__all__ = ["LogChange", "SegmentStart", "Storage"]
