"""Simulated disks and daemons of a random run: state that survives a crash, and queued writes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ibisspring_consensus import events
from ibisspring_consensus.core import Core
from ibisspring_consensus.messages import Entry, HardState, ReplicaId, SnapshotMeta


@dataclass(frozen=True)
class StoreSnapshot:
    """
    Queued write of a snapshot that a replica took of its own state machine.

    :param base: log index after which log entries are kept.
    """

    meta: SnapshotMeta
    data: bytes
    base: int


@dataclass
class Disk:
    """The part of a replica's state that is synced to disk and survives a crash."""

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
    """
    One simulated daemon of a random run.

    :param rate: seconds on the daemon's clock per second of the run.
    :param core: the consensus core; None while the daemon's process does not run.
    :param jobs: queued writes, which a crash may lose.
    :param applied: index of the last log entry that the daemon applied.
    :param digest: checksum of all applied entries, which stands for the state machine's state.
    :param frozen: whether the process is suspended and receives neither ticks nor messages.
    :param ended_at: time of the run at which the previous process crashed; None for never.
    :param snapshot_index: log index of the newest snapshot in force, to detect a step back.
    """

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
