"""The follower's side of replication: entries and snapshots from the leader."""

from __future__ import annotations

import zlib

from ibisspring_consensus.events import InstallSnapshot
from ibisspring_consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    ReplicaId,
    SnapshotChunk,
    SnapshotReply,
)
from ibisspring_consensus.state import (
    CoreState,
    PendingPersist,
    become_follower,
    commit_to,
    persist,
    reset_election,
    send,
    send_after_sync,
)


def _hear_leader(state: CoreState, sender: ReplicaId, term: int) -> bool:
    """Note that the leader of this or a newer term was heard; an older one is not."""
    if term < state.hard.term:
        return False
    become_follower(state, term, sender, "another leader")
    state.heard_leader_at = state.now
    reset_election(state)
    return True


def on_append_request(state: CoreState, sender: ReplicaId, request: AppendRequest) -> None:
    """Take in a heartbeat and the entries with it."""
    previous = request.previous_index
    if not _hear_leader(state, sender, request.term):
        send(state, sender, AppendReply(state.hard.term, False, 0, previous, request.round))
        return
    if previous > state.log.base_index and state.log.term_at(previous) != request.previous_term:
        hint = _last_possible_match(state, previous)
        send(state, sender, AppendReply(request.term, False, hint, previous, request.round))
        return
    _store(state, request)
    match = previous + len(request.entries)
    commit_to(state, min(request.commit_index, match))
    # The heartbeat itself is answered at once: behind a slow sync the leader's lease would lapse.
    synced = min(match, state.synced_index)
    send(state, sender, AppendReply(request.term, True, synced, previous, request.round))
    if match > synced:
        reply = AppendReply(request.term, True, match, previous, request.round)
        send_after_sync(state, sender, reply)


def _last_possible_match(state: CoreState, previous: int) -> int:
    """Skip a whole term that differs, so that a long wrong tail costs few messages."""
    if previous > state.log.last_index:
        return state.log.last_index
    wrong = state.log.term_at(previous)
    index = previous
    while index > state.commit_index and state.log.term_at(index) == wrong:
        index -= 1
    return index


def _store(state: CoreState, request: AppendRequest) -> None:
    """Append what is new; drop the own tail only where it differs from the leader's."""
    for position, entry in enumerate(request.entries):
        if entry.index <= state.log.base_index:
            continue
        term = state.log.term_at(entry.index)
        if term == entry.term:
            continue
        truncate_from = entry.index if term is not None else 0
        persist(state, truncate_from=truncate_from, entries=request.entries[position:])
        return


def on_snapshot_chunk(state: CoreState, sender: ReplicaId, chunk: SnapshotChunk) -> None:
    """Gather a snapshot and put it in force once it is whole."""
    if not _hear_leader(state, sender, chunk.term):
        send(state, sender, SnapshotReply(state.hard.term, 0, 0, False, chunk.round))
        return
    meta = chunk.meta
    if meta.index <= state.commit_index:
        reply = SnapshotReply(chunk.term, state.commit_index, meta.size, True, chunk.round)
        send_after_sync(state, sender, reply)
        return
    if state.incoming_index != meta.index or chunk.offset == 0:
        state.incoming = bytearray()
        state.incoming_index = meta.index
    if chunk.offset == len(state.incoming):
        state.incoming += chunk.data
    received = len(state.incoming)
    if received < meta.size:
        reply = SnapshotReply(chunk.term, meta.index, received, False, chunk.round)
        send(state, sender, reply)
        return
    _install(state, sender, chunk)


def _install(state: CoreState, sender: ReplicaId, chunk: SnapshotChunk) -> None:
    meta = chunk.meta
    data = bytes(state.incoming)
    state.incoming = bytearray()
    state.incoming_index = 0
    if zlib.crc32(data) != meta.checksum:
        send(state, sender, SnapshotReply(chunk.term, meta.index, 0, False, chunk.round))
        return
    state.log.install(meta)
    state.commit_index = meta.index
    state.sequence += 1
    entries: tuple[Entry, ...] = state.log.slice(meta.index + 1, state.log.last_index)
    state.pending.append(PendingPersist(state.sequence, state.log.last_index))
    state.synced_index = min(state.synced_index, state.log.last_index)
    state.effects.append(InstallSnapshot(state.sequence, meta, data, entries))
    reply = SnapshotReply(chunk.term, meta.index, meta.size, True, chunk.round)
    send_after_sync(state, sender, reply)


__all__ = ["on_append_request", "on_snapshot_chunk"]
