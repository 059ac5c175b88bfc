"""The thread in front of the disk."""

from __future__ import annotations

import asyncio

import pytest

from ibisspring_consensus.events import Persist
from ibisspring_consensus.messages import COMMAND, Entry
from ibisspring_consensus.storage import Storage
from ibisspring_consensus.writer import Writer


def persist(sequence: int) -> Persist:
    return Persist(sequence, entries=(Entry(sequence, 1, COMMAND, b"line"),))


@pytest.fixture
def storage(tmp_path):
    return Storage.from_folder(tmp_path / "consensus")


async def test_what_waits_is_synced_together_and_reported_once(storage, monkeypatch) -> None:
    records = []
    plain = storage.write_log
    monkeypatch.setattr(storage, "write_log", lambda changes: records.append(plain(changes)))
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
    An accepted write is gone although every control VM had answered that it was synced.

    The disk is full, or its sync fails once. Cause: going on after it; the system may say that the
    next sync went well although what the failed one held was dropped.
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
