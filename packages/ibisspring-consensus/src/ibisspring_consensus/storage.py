"""
The files of one replica: hard state, log segment and snapshots under `data_folder/consensus`.

The hard state is the replica's term and vote; a log segment is a file with consecutive log entries.
All methods of `Storage` block; the replica's node calls them one at a time in a worker thread,
never on the event loop.
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
    Content of the file `hard_state`.

    :param disk_id: random id created at the first use of the folder; never changes.
    :param hard: the replica's term and vote.
    :param snapshot_index: log index of a snapshot that was written. A start that finds no snapshot
        with this or a later index reports damage.
    """

    disk_id: str
    hard: HardState
    snapshot_index: int = 0


@dataclass(frozen=True)
class SegmentStart:
    """
    First record of a log segment, which says where the segment starts.

    :param base_index: log index just before the segment's first entry.
    :param base_term: term of the entry at `base_index`.
    """

    base_index: int
    base_term: int


@dataclass(frozen=True)
class LogChange:
    """
    One change of the log: remove entries from its end, then append entries.

    :param truncate_from: index of the first log entry to remove; 0 removes none.
    :param entries: entries to append after the removal.
    """

    truncate_from: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class LogRecord:
    """One record of a log segment: all log changes that one sync writes (group commit)."""

    changes: tuple[LogChange, ...]


class Storage:
    """Reads and writes the files of one replica; the log segment is open for appending."""

    def __init__(self, folder: Path, disk_id: str, stored: StoredState, segment: Path) -> None:
        self.folder = folder
        self.disk_id = disk_id
        self.stored = stored
        self._segment = segment
        self._hard_state = stored.hard_state
        self._snapshot_index = stored.snapshot.index
        # The log segment stays open: with a new file descriptor for each write, an error of an
        # earlier sync could go undetected.
        self._descriptor = os.open(segment, os.O_WRONLY | os.O_APPEND)

    @classmethod
    def from_folder(cls, folder: Path) -> Storage | Damage:
        """
        Open the files of a replica, or create them at the first use of their folder.

        :param folder: folder of the replica's files, such as `data_folder/consensus`.
        :return: the opened storage, or the damage found in the files; raises `WriteRefused` if a
            file cannot be opened or written at present.
        """
        with as_write_refused():
            if not (folder / _HARD_STATE).exists():
                make_folder(folder)
            for temporary in folder.glob("*.tmp"):
                temporary.unlink()
            stored = _load_hard_state(folder)
            if isinstance(stored, Damage):
                return stored
            return _open(cls, folder, stored)

    def write_hard_state(self, hard_state: HardState) -> None:
        """Replace the stored term and vote; return once they are synced to disk."""
        self._hard_state = hard_state
        stored = StoredHardState(self.disk_id, hard_state, self._snapshot_index)
        replace_file(self.folder / _HARD_STATE, frame(encode(stored)))

    def write_log(self, changes: tuple[LogChange, ...]) -> None:
        """Append log changes to the log segment as one record, and sync the record to disk."""
        end = os.fstat(self._descriptor).st_size
        try:
            write_all(self._descriptor, frame(encode(LogRecord(changes))))
        except DiskFull:
            # A part of the record may have been written, and is removed. If a later record followed
            # this part, it would look like damage in the middle of the log, and the replica would
            # refuse to start.
            os.ftruncate(self._descriptor, end)
            raise
        os.fdatasync(self._descriptor)

    def write_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Write and sync a snapshot file; earlier snapshots stay until `compact`."""
        path = self.folder / f"snapshot-{meta.index:020d}"
        replace_file(path, frame(encode(meta)), header_of(data), data)

    def compact(
        self, snapshot: SnapshotMeta, base: SegmentStart, entries: tuple[Entry, ...]
    ) -> None:
        """
        Replace the log segment by a segment without the entries that a snapshot covers.

        The new segment may start some entries before the snapshot. It is synced under its final
        name before the old segment is removed. The two newest snapshots are kept: the snapshot
        before this one is removed only after the next one is synced.

        :param snapshot: metadata of a snapshot that was written.
        :param base: start of the new segment.
        :param entries: all log entries after `base`.
        """
        number = int(self._segment.name.removeprefix("log-")) + 1
        path = self.folder / f"log-{number:020d}"
        record = LogRecord((LogChange(0, entries),))
        replace_file(path, frame(encode(base)) + frame(encode(record)))
        with as_write_refused():
            new_descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        os.close(self._descriptor)
        self._descriptor = new_descriptor
        self._segment.unlink()
        self._segment = path
        self._snapshot_index = snapshot.index
        self.write_hard_state(self._hard_state)
        for old in sorted(self.folder.glob("snapshot-*"))[:-2]:
            old.unlink()
        sync_folder(self.folder)

    def read_snapshot(self, index: int, offset: int = 0, size: int = -1) -> bytes | None:
        """
        Read a part of the state machine's data in a stored snapshot.

        :param index: log index of the snapshot.
        :param offset: offset of the first byte in the state machine's data.
        :param size: maximum number of bytes to read; -1 for all.
        :return: the part of the data; None if the snapshot was removed.
        """
        path = self.folder / f"snapshot-{index:020d}"
        if not path.exists():
            return None
        with path.open("rb") as file:
            meta_size = HEADER.unpack(file.read(HEADER.size))[0]
            file.seek(HEADER.size + meta_size + HEADER.size + offset)
            return file.read(size)

    def close(self) -> None:
        """Close the log segment; all changes that were reported as synced are on disk already."""
        os.close(self._descriptor)


def _load_hard_state(folder: Path) -> StoredHardState | Damage:
    path = folder / _HARD_STATE
    segments = sorted(folder.glob("log-*"))
    if not path.exists():
        if any(folder.glob("snapshot-*")) or len(segments) > 1:
            return Damage(str(path), 0, "the file is missing although a log exists")
        return _create_files(folder)
    records = read_records(path)
    if isinstance(records, Damage):
        return records
    if len(records.payloads) != 1:
        return Damage(str(path), 0, "the record with term and vote is damaged")
    return decode(records.payloads[0], StoredHardState)


def _create_files(folder: Path) -> StoredHardState | Damage:
    """
    Create the hard state and an empty log segment in an empty folder.

    The log segment is created first, so a hard state without a log always means damage.
    """
    segment = folder / f"log-{1:020d}"
    if segment.exists():
        records = read_records(segment)
        if isinstance(records, Damage) or len(records.payloads) > 1:
            return Damage(str(folder / _HARD_STATE), 0, "the file is missing although a log exists")
    replace_file(segment, frame(encode(SegmentStart(0, 0))))
    stored = StoredHardState(secrets.token_hex(8), HardState())
    replace_file(folder / _HARD_STATE, frame(encode(stored)))
    return stored


def _open(cls: type[Storage], folder: Path, hard_state: StoredHardState) -> Storage | Damage:
    """
    Load the newest snapshot and the log segment after the hard state was loaded.

    If the log is older than the snapshot or conflicts with it, an empty log segment that starts at
    the snapshot replaces the log.
    """
    snapshot = _load_snapshot(folder, hard_state.snapshot_index)
    if isinstance(snapshot, Damage):
        return snapshot
    segments = sorted(folder.glob("log-*"))
    if not segments:
        return Damage(str(folder), 0, "no log segment found, although hard_state exists")
    # A segment gets its final name only after it is synced, so the newest segment is complete, and
    # older segments remained after a crash during log compaction.
    for old in segments[:-1]:
        old.unlink()
    segment = segments[-1]
    loaded = _load_segment(segment)
    if isinstance(loaded, Damage):
        return loaded
    start, entries = loaded
    if start.base_index > snapshot.index:
        return Damage(str(segment), 0, f"the snapshot at index {start.base_index} is missing")
    if _segment_matches_snapshot(snapshot, start, entries):
        stored = StoredState(hard_state.hard, snapshot, start.base_index, start.base_term, entries)
        return cls(folder, hard_state.disk_id, stored, segment)
    # A crash occurred after a snapshot received from the leader was written, and before the log
    # segment that starts at this snapshot was written: the entries in the log are older than the
    # snapshot or conflict with it.
    stored = StoredState(hard_state.hard, snapshot, snapshot.index, snapshot.term, ())
    storage = cls(folder, hard_state.disk_id, stored, segment)
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
            return Damage(str(path), records.end, "the snapshot's data does not match its checksum")
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
            return Damage(str(path), 0, f"expected entry {expected}, found entry {entry.index}")
    return start, tuple(entries)


def _truncate_file(path: Path, end: int) -> None:
    """
    Remove a torn last record from a log segment.

    The record was never synced, so no vote or acknowledgement depends on it.
    """
    with path.open("r+b") as file:
        file.truncate(end)
        os.fsync(file.fileno())


__all__ = ["LogChange", "SegmentStart", "Storage"]
