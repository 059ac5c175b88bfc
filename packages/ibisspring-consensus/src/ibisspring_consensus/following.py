"""The follower's side of replication: receives log entries and snapshots from the leader."""

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


def _accept_leader(state: CoreState, sender: ReplicaId, term: int) -> bool:
    """
    Follow the sender as the leader of its term and restart the election timeout.

    :return: False if the sender's term is older than this replica's; nothing is changed then.
    """
    if term < state.hard_state.term:
        return False
    become_follower(state, term, sender, "another leader")
    state.leader_contact_at = state.now
    reset_election(state)
    return True


def on_append_request(state: CoreState, sender: ReplicaId, request: AppendRequest) -> None:
    """Process a heartbeat of the leader: append its entries and reply."""
    previous = request.previous_index
    if not _accept_leader(state, sender, request.term):
        send(state, sender, AppendReply(state.hard_state.term, False, 0, previous, request.round))
        return
    if previous > state.log.base_index and state.log.term_at(previous) != request.previous_term:
        hint = _last_possible_match(state, previous)
        send(state, sender, AppendReply(request.term, False, hint, previous, request.round))
        return
    _append_missing(state, request)
    match_index = previous + len(request.entries)
    commit_to(state, min(request.commit_index, match_index))
    # Acknowledge the heartbeat before its new entries are synced to disk: if the reply waited for a
    # slow sync, the leader's lease could expire.
    synced = min(match_index, state.synced_index)
    send(state, sender, AppendReply(request.term, True, synced, previous, request.round))
    if match_index > synced:
        reply = AppendReply(request.term, True, match_index, previous, request.round)
        send_after_sync(state, sender, reply)


def _last_possible_match(state: CoreState, previous: int) -> int:
    """
    Return the last index at or before `previous` that may match the leader's log.

    All entries of a conflicting term are skipped at once, so that the leader finds the end of a
    long conflicting tail with few messages.
    """
    if previous > state.log.last_index:
        return state.log.last_index
    conflicting_term = state.log.term_at(previous)
    index = previous
    while index > state.commit_index and state.log.term_at(index) == conflicting_term:
        index -= 1
    return index


def _append_missing(state: CoreState, request: AppendRequest) -> None:
    """
    Append the request's entries that this log lacks.

    The log is truncated only at an entry whose term conflicts with the request's entry.
    """
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
    """Collect the chunks of the leader's snapshot and install the snapshot once it is complete."""
    if not _accept_leader(state, sender, chunk.term):
        send(state, sender, SnapshotReply(state.hard_state.term, 0, 0, False, chunk.round))
        return
    meta = chunk.meta
    if meta.index <= state.commit_index:
        reply = SnapshotReply(chunk.term, state.commit_index, meta.size, True, chunk.round)
        send_after_sync(state, sender, reply)
        return
    if state.received_snapshot_index != meta.index or chunk.offset == 0:
        state.received_snapshot_data = bytearray()
        state.received_snapshot_index = meta.index
    if chunk.offset == len(state.received_snapshot_data):
        state.received_snapshot_data += chunk.data
    received_bytes = len(state.received_snapshot_data)
    if received_bytes < meta.size:
        reply = SnapshotReply(chunk.term, meta.index, received_bytes, False, chunk.round)
        send(state, sender, reply)
        return
    _install(state, sender, chunk)


def _install(state: CoreState, sender: ReplicaId, chunk: SnapshotChunk) -> None:
    meta = chunk.meta
    data = bytes(state.received_snapshot_data)
    state.received_snapshot_data = bytearray()
    state.received_snapshot_index = 0
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
