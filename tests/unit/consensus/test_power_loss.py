from __future__ import annotations

import os
import shutil
import zlib
from pathlib import Path

import pytest
from unit.consensus.power_loss import Recorder, survivors

from ibisspring_consensus.files import Damage
from ibisspring_consensus.messages import COMMAND, Entry, HardState, Members, SnapshotMeta
from ibisspring_consensus.storage import LogChange, SegmentStart, Storage

SNAPSHOT = b"what the state machine held at 3"


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, COMMAND, b"command %d.%d" % (term, index))


def write_replica_history(folder: Path, recorder: Recorder) -> None:
    """
    Write what a replica writes: terms, entries, a conflicting tail, a snapshot and more entries.

    After each write, the acknowledged state is recorded: the term and the entries, by index, that
    the replica has acknowledged to others by then.
    """
    storage = Storage.from_folder(folder)
    recorder.acknowledge((0, {}))
    storage.write_hard_state(HardState(1))
    recorder.acknowledge((1, {}))
    entries = {index: entry(index) for index in (1, 2, 3, 4)}
    storage.write_log((LogChange(0, tuple(entries.values())[:2]),))
    recorder.acknowledge((1, {index: entries[index] for index in (1, 2)}))
    storage.write_log((LogChange(0, tuple(entries.values())[2:]),))
    recorder.acknowledge((1, dict(entries)))
    storage.write_hard_state(HardState(2))
    # The next leader holds another entry 4, so the old entry 4 need not survive any more.
    del entries[4]
    recorder.acknowledge((2, dict(entries)))
    storage.write_log((LogChange(4, (entry(4, 2), entry(5, 2))),))
    entries |= {4: entry(4, 2), 5: entry(5, 2)}
    recorder.acknowledge((2, dict(entries)))
    meta = SnapshotMeta(3, 1, Members(), len(SNAPSHOT), zlib.crc32(SNAPSHOT))
    storage.write_snapshot(meta, SNAPSHOT)
    storage.compact(meta, SegmentStart(3, 1), (entries[4], entries[5]))
    recorder.acknowledge((2, dict(entries)))
    storage.write_log((LogChange(0, (entry(6, 2),)),))
    entries[6] = entry(6, 2)
    recorder.acknowledge((2, dict(entries)))
    storage.close()


def find_losses(tmp_path: Path, recorder: Recorder) -> list[str]:
    """
    Open the storage on each disk state that may survive a power loss.

    :return: a description of each acknowledged state that is missing after the recovery.
    """
    found = []
    recovered_folder = tmp_path / "again"
    seen = set()
    for acknowledged, content_by_name in survivors(recorder.steps):
        state = (repr(acknowledged), tuple(sorted(content_by_name.items())))
        if acknowledged is None or state in seen:
            continue
        seen.add(state)
        recovered_folder.mkdir()
        for name, content in content_by_name.items():
            (recovered_folder / name).write_bytes(content)
        loss = describe_loss(Storage.from_folder(recovered_folder), *acknowledged)
        if loss:
            found.append(f"{loss}: {sorted(content_by_name)}")
        shutil.rmtree(recovered_folder)
    assert len(seen) > 30
    return found


def describe_loss(storage: Storage | Damage, term: int, entries: dict[int, Entry]) -> str:
    """Describe the acknowledged state that a recovered replica lacks; empty for nothing."""
    if isinstance(storage, Damage):
        return f"does not start: {storage.message}"
    try:
        stored = storage.stored
        if stored.hard_state.term < term:
            return f"term {stored.hard_state.term} after {term}"
        by_index = {one.index: one for one in stored.entries}
        for index, one in entries.items():
            if index > stored.snapshot.index and by_index.get(index) != one:
                return f"entry {index}"
        if stored.snapshot.index and storage.read_snapshot(stored.snapshot.index) != SNAPSHOT:
            return "the snapshot"
    finally:
        storage.close()
    return ""


@pytest.fixture
def record(tmp_path, monkeypatch):
    def run(skip_sync=lambda name: False) -> Recorder:
        folder = tmp_path / "consensus"
        recorder = Recorder(folder, skip_sync)
        with monkeypatch.context() as patched:
            recorder.patch(patched)
            write_replica_history(folder, recorder)
        return recorder

    return run


def test_power_loss_between_any_two_calls_loses_no_acknowledged_state(tmp_path, record) -> None:
    # A control VM loses power between any two file system calls of its storage. If it did not hold
    # all that it acknowledged after its restart, a change that was confirmed to an operator could
    # be lost.
    assert find_losses(tmp_path, record()) == []


@pytest.mark.parametrize(
    "name",
    [
        "hard_state.tmp",
        "log-00000000000000000001",
        "log-00000000000000000002.tmp",
        "snapshot-00000000000000000003.tmp",
        "sync_folder",
    ],
)
def test_omitting_any_sync_loses_state(tmp_path, record, name) -> None:
    # Shows that the test above detects a missing sync: without any one of these syncs, some
    # acknowledged state is lost.
    assert find_losses(tmp_path, record(lambda synced: synced == name))


def test_model_includes_unsynced_writes(tmp_path, monkeypatch) -> None:
    recorder = Recorder(tmp_path)
    with monkeypatch.context() as patched:
        recorder.patch(patched)
        with (tmp_path / "file").open("wb", buffering=0) as file:
            os.write(file.fileno(), b"synced")
            os.fsync(file.fileno())
            os.write(file.fileno(), b"later")
    contents = {content.get("file") for _, content in survivors(recorder.steps)}

    assert {b"synced", b"syncedla", b"syncedlater"} <= contents
