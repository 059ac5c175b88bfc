"""Builds the write job that stores a snapshot of a replica's state machine on disk."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from ibisspring_consensus.messages import SnapshotMeta
from ibisspring_consensus.storage import SegmentStart
from ibisspring_consensus.writer import StoreSnapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_consensus.log import Log

# Number of log entries before a snapshot that are kept. A follower that lacks at most this many
# entries before the snapshot is sent entries in place of the snapshot.
TAIL_ENTRIES = 256


def snapshot_job(
    log: Log, index: int, data: bytes, done: Callable[[SnapshotMeta, int], None]
) -> StoreSnapshot:
    """
    Build the write job that stores a snapshot and starts a new log segment.

    :param log: the replica's log, which holds the entry at `index`.
    :param index: index of the last log entry that the state machine applied.
    :param data: the state machine's encoded state.
    :param done: called once the snapshot is synced, with the snapshot's metadata and the index of
        the first log entry to keep.
    :return: the job, to be queued in the replica's `Writer`.
    """
    meta = SnapshotMeta(
        index, log.term_at(index), log.members_at(index), len(data), zlib.crc32(data)
    )
    base = max(log.base_index, index - TAIL_ENTRIES)
    start = SegmentStart(base, log.term_at(base))
    entries = log.slice(base + 1, log.last_index)
    return StoreSnapshot(meta, data, start, entries, lambda: done(meta, base + 1))


__all__ = ["TAIL_ENTRIES", "snapshot_job"]
