"""Disks and daemons of a random run: synced state, queued writes and the state after a crash."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ibisspring_consensus import events
from ibisspring_consensus.core import Core
from ibisspring_consensus.messages import Entry, HardState, ReplicaId, SnapshotMeta


@dataclass(frozen=True)
class StoreSnapshot:
    """A snapshot that a replica took itself and that is not yet written."""

    meta: SnapshotMeta
    data: bytes
    base: int


@dataclass
class Disk:
    """The synced state of a replica, which survives a crash."""

    disk_id: str
    synced_hard_state: HardState = field(default_factory=HardState)
    snapshot: SnapshotMeta = field(default_factory=SnapshotMeta)
    data_by_index: dict[int, bytes] = field(default_factory=dict)
    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    def write(self, job: events.Persist | events.InstallSnapshot | StoreSnapshot) -> None:
        match job:
            case events.Persist():
                self.synced_hard_state = job.hard_state or self.synced_hard_state
                if job.truncate_from:
                    del self.entries[job.truncate_from - self.base_index - 1 :]
                self.entries.extend(job.entries)
            case events.InstallSnapshot():
                self._set_snapshot(job.meta, job.data, job.meta.index, job.meta.term, job.entries)
            case StoreSnapshot():
                base = max(job.base, self.base_index)
                kept = self.entries[base - self.base_index :]
                term = self.base_term
                if base > self.base_index:
                    term = self.entries[base - self.base_index - 1].term
                self._set_snapshot(job.meta, job.data, base, term, tuple(kept))

    def _set_snapshot(
        self, meta: SnapshotMeta, data: bytes, base: int, term: int, entries: tuple[Entry, ...]
    ) -> None:
        self.snapshot = meta
        self.data_by_index[meta.index] = data
        self.base_index, self.base_term, self.entries = base, term, list(entries)


@dataclass
class Node:
    """One daemon of the run, with its clock rate and its queued writes."""

    daemon: str
    disk: Disk
    rate: float
    core: Core | None = None
    jobs: deque = field(default_factory=deque)
    applied: int = 0
    digest: bytes = b""
    frozen: bool = False
    ended_at: float | None = None
    snapshot_index: int = 0

    @property
    def replica(self) -> ReplicaId:
        return ReplicaId(self.daemon, self.disk.disk_id)


__all__ = ["Disk", "Node", "StoreSnapshot"]
