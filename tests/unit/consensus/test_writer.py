"""The writer of a replica's files: retries, disk errors, and one sync for many writes."""

from __future__ import annotations

import asyncio
import errno
import zlib
from pathlib import Path

import pytest
from unit.consensus.refusing import RefusedCalls

from ibisspring_consensus import files
from ibisspring_consensus import writer as writer_module
from ibisspring_consensus.events import Persist
from ibisspring_consensus.files import DiskFull, NoDescriptors
from ibisspring_consensus.messages import COMMAND, Entry, HardState, Members, SnapshotMeta
from ibisspring_consensus.storage import LogChange, SegmentStart, Storage
from ibisspring_consensus.writer import StoreSnapshot, Writer


def persist(sequence: int) -> Persist:
    return Persist(sequence, entries=(Entry(sequence, 1, COMMAND, b"line"),))


@pytest.fixture
def storage(tmp_path):
    return Storage.from_folder(tmp_path / "consensus")


async def test_queued_writes_share_one_sync_and_one_report(storage, monkeypatch) -> None:
    records = []
    original = storage.write_log
    monkeypatch.setattr(storage, "write_log", lambda changes: records.append(original(changes)))
    synced = asyncio.Queue()
    writer = Writer(storage, synced.put_nowait, lambda: None)
    for sequence in range(1, 9):
        writer.add(persist(sequence))
    writer.start()
    assert await synced.get() == 8
    await writer.stop()
    assert len(records) == 1


async def test_a_failed_sync_is_never_reported_as_synced(storage, monkeypatch) -> None:
    """
    The sync of a log write fails once, for example because the disk is full.

    If the replica continued after the failed sync, the next sync could succeed although the data of
    the failed one was dropped. An accepted write would be lost although every control VM reported
    it as synced.
    """

    def write_log(changes):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(storage, "write_log", write_log)
    synced, failed = [], asyncio.Event()
    writer = Writer(storage, synced.append, failed.set)
    writer.start()
    writer.add(persist(1))
    await failed.wait()
    monkeypatch.undo()
    writer.add(persist(2))
    await asyncio.sleep(0.05)
    await writer.stop()
    assert synced == []


async def test_a_log_write_is_retried_while_the_disk_is_full(tmp_path, monkeypatch) -> None:
    """
    A store's disk is full for some seconds, and a log write is written only in part.

    If a write without free space were handled like a failed sync, the store's daemon would end, and
    would end again at each later start. Nothing of such a write is acknowledged, so it can be
    retried. Its written part is removed, so that the log is read completely after a restart.
    """
    monkeypatch.setattr(writer_module, "WRITE_RETRY_S", 0.01)
    storage = Storage.from_folder(tmp_path / "consensus")
    space_available = asyncio.Event()
    attempted = asyncio.Event()
    loop = asyncio.get_running_loop()
    original = files.os.write

    def write(descriptor: int, data: bytes) -> int:
        if space_available.is_set():
            return original(descriptor, data)
        original(descriptor, data[:5])
        loop.call_soon_threadsafe(attempted.set)
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(files.os, "write", write)
    synced = asyncio.Queue()
    writer = Writer(storage, synced.put_nowait, lambda: None)
    writer.start()
    writer.add(persist(1))
    await attempted.wait()
    assert synced.empty()
    space_available.set()
    assert await synced.get() == 1
    await writer.stop()
    monkeypatch.undo()

    reopened = Storage.from_folder(tmp_path / "consensus")
    assert [entry.index for entry in reopened.stored.entries] == [1]


async def test_refused_hard_state_write_keeps_the_previous_one(storage, monkeypatch) -> None:
    def write(descriptor: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(files.os, "write", write)
    with pytest.raises(DiskFull):
        storage.write_hard_state(HardState(term=9))
    monkeypatch.undo()

    assert Storage.from_folder(storage.folder).stored.hard_state.term == 0


@pytest.mark.parametrize("refused", ["open", "fsync", "replace"])
async def test_writing_a_new_term_is_retried_while_the_disk_is_full(
    storage, monkeypatch, refused
) -> None:
    # A leader is elected while the disk of a follower is full, so the temporary file for term and
    # vote cannot be created, synced or renamed. If the write were not retried, the control daemon
    # would end.
    monkeypatch.setattr(writer_module, "WRITE_RETRY_S", 0.01)
    owner = {"open": Path, "fsync": files.os, "replace": Path}[refused]
    disk = RefusedCalls(monkeypatch, errno.ENOSPC, (owner, refused))
    synced, failed = asyncio.Queue(), asyncio.Event()
    writer = Writer(storage, synced.put_nowait, failed.set)
    writer.start()
    writer.add(Persist(1, hard_state=HardState(term=9)))
    async with asyncio.timeout(5.0):
        await disk.attempted.wait()
        disk.allowed.set()
        assert await synced.get() == 1
    await writer.stop()
    monkeypatch.undo()

    assert not failed.is_set()
    assert Storage.from_folder(storage.folder).stored.hard_state.term == 9


async def fails_without_descriptors(storage, monkeypatch, job) -> bool:
    """Return whether the writer fails on a job because no file can be opened at first."""
    monkeypatch.setattr(writer_module, "WRITE_RETRY_S", 0.01)
    disk = RefusedCalls(monkeypatch, errno.EMFILE, (files.os, "open"), (Path, "open"))
    synced, failed = asyncio.Queue(), asyncio.Event()
    writer = Writer(storage, synced.put_nowait, failed.set)
    writer.start()
    writer.add(job)
    writer.add(persist(1))
    async with asyncio.timeout(5.0):
        failure = asyncio.create_task(failed.wait())
        await disk.attempted.wait()
        disk.allowed.set()
        written = asyncio.create_task(synced.get())
        await asyncio.wait((failure, written), return_when=asyncio.FIRST_COMPLETED)
    await writer.stop()
    monkeypatch.undo()
    return failed.is_set()


async def test_writing_a_new_term_is_retried_while_no_descriptor_is_free(
    storage, monkeypatch
) -> None:
    # The leader changes while a store has no free file descriptor for a moment. If the write of the
    # new term were not retried, the store would end.
    job = Persist(1, hard_state=HardState(term=9))
    assert not await fails_without_descriptors(storage, monkeypatch, job)
    assert Storage.from_folder(storage.folder).stored.hard_state.term == 9


async def test_writing_a_snapshot_is_retried_while_no_descriptor_is_free(
    storage, monkeypatch
) -> None:
    # A store has no free file descriptor for a moment when it takes a snapshot. If the write of the
    # snapshot were not retried, the store would end.
    meta = SnapshotMeta(1, 1, Members(), 5, zlib.crc32(b"state"))
    job = StoreSnapshot(meta, b"state", SegmentStart(0, 0), (), lambda: None)
    assert not await fails_without_descriptors(storage, monkeypatch, job)
    assert Storage.from_folder(storage.folder).stored.snapshot == meta


def test_a_log_segment_that_cannot_be_opened_leaves_the_previous_one_open(
    storage, monkeypatch
) -> None:
    # A replica has no free file descriptor when it opens the new log segment of a snapshot. If the
    # old segment were closed first, the replica would write to a closed file afterwards.
    original = files.os.open

    def without_descriptors(path, *arguments):
        if str(path).rpartition("/")[2].startswith("log-"):
            raise OSError(errno.EMFILE, "Too many open files")
        return original(path, *arguments)

    monkeypatch.setattr(files.os, "open", without_descriptors)
    meta = SnapshotMeta(0, 0, Members(), 0, 0)
    with pytest.raises(NoDescriptors):
        storage.compact(meta, SegmentStart(0, 0), ())
    monkeypatch.undo()

    storage.write_log((LogChange(0, (Entry(1, 1, COMMAND, b"line"),)),))
    storage.compact(meta, SegmentStart(0, 0), (Entry(1, 1, COMMAND, b"line"),))
    assert [entry.index for entry in Storage.from_folder(storage.folder).stored.entries] == [1]


async def test_a_folder_sync_is_retried_while_no_descriptor_is_free(storage, monkeypatch) -> None:
    # A replica has no free file descriptor between the rename of its hard state file (term and
    # vote) and the sync of the folder. If the sync were not retried, the replica would end.
    original = files.os.open
    refused = []

    def without_descriptors(path, *arguments):
        if Path(path).is_dir() and not refused:
            refused.append(path)
            raise OSError(errno.EMFILE, "Too many open files")
        return original(path, *arguments)

    monkeypatch.setattr(writer_module, "WRITE_RETRY_S", 0.01)
    monkeypatch.setattr(files.os, "open", without_descriptors)
    synced, failed = asyncio.Queue(), asyncio.Event()
    writer = Writer(storage, synced.put_nowait, failed.set)
    writer.start()
    writer.add(Persist(1, hard_state=HardState(term=9)))
    async with asyncio.timeout(5.0):
        failure = asyncio.create_task(failed.wait())
        written = asyncio.create_task(synced.get())
        await asyncio.wait((failure, written), return_when=asyncio.FIRST_COMPLETED)
    await writer.stop()

    assert refused
    assert not failed.is_set()
