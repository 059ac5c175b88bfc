"""State that a replica's storage loads after a crash, a full disk or damage to its files."""

from __future__ import annotations

import errno
import os
import tracemalloc
import zlib
from pathlib import Path

import pytest

from ibisspring_consensus import files
from ibisspring_consensus.files import HEADER, Damage
from ibisspring_consensus.messages import (
    COMMAND,
    Entry,
    HardState,
    Members,
    ReplicaId,
    SnapshotMeta,
)
from ibisspring_consensus.storage import LogChange, SegmentStart, Storage

VOTED = HardState(3, ReplicaId("c2", "d2"))


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(index, term, COMMAND, f"line {index}".encode()) for index in range(first, last + 1)
    )


def meta(index: int, data: bytes = b"state") -> SnapshotMeta:
    return SnapshotMeta(index, 1, Members(), len(data), zlib.crc32(data))


def open_storage(folder) -> Storage:
    storage = Storage.from_folder(folder)
    assert isinstance(storage, Storage), storage
    return storage


@pytest.fixture
def folder(tmp_path):
    """Folder of a replica that has a vote and a log of ten entries, one record each."""
    storage = open_storage(tmp_path / "consensus")
    storage.write_hard_state(VOTED)
    for entry in entries(1, 10):
        storage.write_log((LogChange(0, (entry,)),))
    storage.close()
    return tmp_path / "consensus"


@pytest.fixture
def synced(monkeypatch) -> list[Path]:
    """Paths of synced files and folders, in order."""
    paths = []
    original = os.fsync

    def fsync(descriptor: int) -> None:
        paths.append(Path(os.readlink(f"/proc/self/fd/{descriptor}")))
        original(descriptor)

    monkeypatch.setattr(os, "fsync", fsync)
    return paths


def segment_of(folder):
    return sorted(folder.glob("log-*"))[-1]


def test_everything_written_is_read_back(folder) -> None:
    storage = open_storage(folder)
    disk_id = storage.disk_id
    storage.write_log((LogChange(8, entries(8, 9, term=2)),))
    storage.close()
    reopened = open_storage(folder)
    assert reopened.disk_id == disk_id
    assert reopened.stored.hard_state == VOTED
    assert reopened.stored.entries == entries(1, 7) + entries(8, 9, term=2)


@pytest.mark.parametrize("cut", [1, 5, 13])
def test_a_torn_last_record_is_cut_off(folder, cut) -> None:
    """
    A VM loses power during a write of the log, and has to start again without an operator.

    The last record is on disk only in part. It was never synced, so nothing in it was acknowledged,
    and the replica must remove this part and start.
    """
    segment = segment_of(folder)
    segment.write_bytes(segment.read_bytes()[:-cut])
    storage = open_storage(folder)
    assert storage.stored.entries == entries(1, 9)
    storage.write_log((LogChange(0, entries(10, 11)),))
    storage.close()
    assert open_storage(folder).stored.entries == entries(1, 11)


def test_a_record_of_zeros_at_the_end_is_cut_off(folder) -> None:
    """
    At a power loss, the file system extended the log file but lost the data of the last write.

    The zeros at the end of the file must be removed like a torn record.
    """
    segment = segment_of(folder)
    segment.write_bytes(segment.read_bytes() + bytes(100))
    assert open_storage(folder).stored.entries == entries(1, 10)


def test_a_corrupt_byte_before_the_last_record_prevents_the_start(folder) -> None:
    """
    A disk returns one wrong byte in the middle of the log.

    If the log were truncated at this byte, the replica would forget entries that it acknowledged,
    and the loss of a second VM could lose these entries. The replica has to refuse to start and to
    report file and offset, so that the operator can wipe the disk.
    """
    segment = segment_of(folder)
    good = segment.read_bytes()
    last_record = good.rindex(b"line 10") - 60
    records = files.read_records(segment)
    offsets = [0]
    for payload in records.payloads[:-1]:
        offsets.append(offsets[-1] + HEADER.size + len(payload))
    for position in range(min(last_record, offsets[-1])):
        broken = bytearray(good)
        broken[position] ^= 0x10
        segment.write_bytes(bytes(broken))
        damage = Storage.from_folder(folder)
        assert isinstance(damage, Damage), f"the change of byte {position} was not detected"
        assert damage.path == str(segment)
        assert damage.offset == max(offset for offset in offsets if offset <= position)


def test_missing_files_prevent_the_start(folder) -> None:
    (folder / "hard_state").rename(folder / "elsewhere")
    assert isinstance(Storage.from_folder(folder), Damage)
    (folder / "elsewhere").rename(folder / "hard_state")
    segment_of(folder).unlink()
    assert isinstance(Storage.from_folder(folder), Damage)


class PowerLost(Exception):
    """Raised by a patched call to simulate a crash at this call."""


@pytest.mark.parametrize("step", range(12))
def test_a_crash_at_any_step_of_a_snapshot_loses_nothing(folder, monkeypatch, step) -> None:
    """
    A VM crashes while it stores a snapshot and compacts the log.

    After a crash at any step, the files must give the state machine's data and all log entries,
    with term and vote.
    """
    storage = open_storage(folder)
    storage.write_snapshot(meta(4), b"state")
    storage.compact(meta(4), SegmentStart(2, 1), entries(3, 10))
    remaining_calls = [step]
    for name in ("replace_file", "sync_folder"):
        original = getattr(files, name)

        def counted(*arguments, original=original):
            if remaining_calls[0] == 0:
                raise PowerLost
            remaining_calls[0] -= 1
            return original(*arguments)

        monkeypatch.setattr(f"ibisspring_consensus.storage.{name}", counted)
    crashed = _snapshot_until_crash(storage)
    monkeypatch.undo()
    reopened = open_storage(folder)
    stored = reopened.stored
    assert reopened.disk_id == storage.disk_id
    assert stored.hard_state == VOTED
    assert stored.snapshot.index in ((4, 8) if crashed else (8,))
    assert stored.base_index + len(stored.entries) == 10
    assert stored.base_index <= stored.snapshot.index
    assert reopened.read_snapshot(stored.snapshot.index) == b"state"


def _snapshot_until_crash(storage: Storage) -> bool:
    try:
        storage.write_snapshot(meta(8), b"state")
        storage.compact(meta(8), SegmentStart(6, 1), entries(7, 10))
    except PowerLost:
        return True
    return False


def test_a_large_snapshot_is_written_without_a_copy(folder) -> None:
    # The complete state of a store is written every thousand commands. Two more copies of the
    # encoded state, besides the state and its encoding, would be a large part of the store's peak
    # memory.
    storage = open_storage(folder)
    data = bytes(8_000_000)
    tracemalloc.start()

    storage.write_snapshot(meta(10, data), data)

    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < len(data) / 8
    storage.compact(meta(10, data), SegmentStart(10, 1), ())
    assert open_storage(folder).read_snapshot(10) == data


def test_received_snapshot_without_its_segment_is_loaded(folder) -> None:
    """
    A follower crashes after it wrote the leader's snapshot and before it wrote a new log segment.

    At its restart the log is older than the snapshot; the replica must start from the snapshot.
    """
    storage = open_storage(folder)
    storage.write_snapshot(meta(50), b"state")
    storage.close()
    reopened = open_storage(folder)
    assert reopened.stored.snapshot.index == 50
    assert (reopened.stored.base_index, reopened.stored.entries) == (50, ())
    reopened.write_log((LogChange(0, entries(51, 52)),))
    reopened.close()
    assert open_storage(folder).stored.entries == entries(51, 52)


def test_new_folder_names_are_synced_before_term_and_vote_are_written(tmp_path, synced) -> None:
    # All VMs lose power after their first start. If the names of the new folders were not synced
    # before term and vote, each VM could restart without its data folder.
    open_storage(tmp_path / "data" / "control" / "consensus").close()

    term_and_vote = synced.index(tmp_path / "data" / "control" / "consensus" / "hard_state.tmp")
    for parent in (tmp_path, tmp_path / "data", tmp_path / "data" / "control"):
        assert parent in synced[:term_and_vote]


def test_folder_names_created_by_a_killed_process_are_synced(tmp_path, synced) -> None:
    # All VMs lose power after their first start, and the first process on a VM was killed after it
    # created its folders and before it synced their names. If the second process did not sync the
    # names of existing folders, the VM could restart without its data folder.
    folder = tmp_path / "control" / "consensus"
    folder.mkdir(parents=True)
    open_storage(folder).close()

    assert {tmp_path, tmp_path / "control"} <= set(synced)


def test_refused_start_leaks_no_descriptor(folder, monkeypatch) -> None:
    # A replica waits for free space at its start and retries to open its storage. If a failed
    # attempt did not close the log segment, each attempt would leak a file descriptor.
    data = b"state"
    storage = open_storage(folder)
    storage.write_snapshot(meta(30, data), data)
    storage.close()

    def without_free_space(*arguments) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    before = len(os.listdir("/proc/self/fd"))
    monkeypatch.setattr(files.os, "write", without_free_space)
    with pytest.raises(files.DiskFull):
        Storage.from_folder(folder)
    monkeypatch.undo()

    assert len(os.listdir("/proc/self/fd")) == before
    assert open_storage(folder).stored.snapshot == meta(30, data)
