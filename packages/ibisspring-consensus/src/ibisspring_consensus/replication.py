"""The leader's side of replication: sends log entries and snapshots, and commits entries."""

from __future__ import annotations

from ibisspring_consensus.events import ProposalRefused, Propose, Proposed
from ibisspring_consensus.lease import (
    begin_round,
    complete_reads,
    quorum_acked_at,
)
from ibisspring_consensus.messages import (
    COMMAND,
    AppendReply,
    AppendRequest,
    Entry,
    ReplicaId,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
from ibisspring_consensus.quorum import is_voter, quorum_value
from ibisspring_consensus.state import (
    LEADER,
    CoreState,
    Progress,
    become_follower,
    commit_to,
    other_replicas,
    persist,
    send,
)


def on_tick(state: CoreState) -> None:
    """Send a heartbeat round when due, or step down if no quorum replies any more."""
    if state.role != LEADER:
        return
    acked_at = quorum_acked_at(state)
    silent_since = state.leader_since if acked_at is None else acked_at
    # After two election timeouts the other replicas may have elected a new leader. Stepping down
    # makes callers look for that leader.
    if state.now > silent_since + 2 * state.config.election_timeout_s:
        become_follower(state, state.hard_state.term, None, "no quorum answers")
        return
    round_started_at = state.round_sent_at.get(state.round)
    if round_started_at is None or state.now >= round_started_at + state.config.heartbeat_s:
        begin_round(state)
        broadcast(state)


def broadcast(state: CoreState) -> None:
    """
    Send a heartbeat of the current round to all other replicas, each with the entries it lacks.
    """
    for other in other_replicas(state.log.members, state.replica):
        send_next(state, other, progress_of(state, other), heartbeat=True)


def progress_of(state: CoreState, other: ReplicaId) -> Progress:
    """
    Return the leader's record of another replica's log; create the record if there is none.

    A replica without a record is first probed at the end of the leader's log.
    """
    progress = state.progress_by_replica.get(other)
    if progress is None:
        progress = Progress(match_index=0, next_index=state.log.last_index + 1, added_at=state.now)
        state.progress_by_replica[other] = progress
    return progress


def send_next(
    state: CoreState, other: ReplicaId, progress: Progress, heartbeat: bool = False
) -> None:
    """
    Send the entries that a replica lacks, or the snapshot if the log no longer holds them.

    :param heartbeat: whether to send an empty append request if there is nothing to send.
    """
    if progress.next_index <= state.log.base_index:
        _send_snapshot(state, other, progress, heartbeat)
        return
    sent = False
    in_flight_limit = 1 if progress.probing else state.config.max_in_flight
    next_index = progress.next_index
    while next_index <= state.log.last_index and progress.in_flight < in_flight_limit:
        entries = state.log.slice(next_index, state.log.last_index, state.config.max_append_bytes)
        _send_append(state, other, next_index - 1, entries)
        next_index += len(entries)
        progress.in_flight += 1
        sent = True
    # While the replica's match index is not known, one message is sent as a probe. The reply to a
    # failed probe says at which index to continue, so `next_index` is not advanced before that
    # reply.
    if not progress.probing:
        progress.next_index = next_index
    if heartbeat and not sent:
        _send_append(state, other, progress.next_index - 1, ())


def _send_append(
    state: CoreState, other: ReplicaId, previous: int, entries: tuple[Entry, ...]
) -> None:
    request = AppendRequest(
        term=state.hard_state.term,
        previous_index=previous,
        previous_term=state.log.term_at(previous) or 0,
        commit_index=state.commit_index,
        round=state.round,
        entries=entries,
    )
    send(state, other, request)


def _send_snapshot(state: CoreState, other: ReplicaId, progress: Progress, heartbeat: bool) -> None:
    meta = state.log.snapshot
    chunk_timed_out = state.now >= progress.chunk_sent_at + state.config.election_timeout_s
    if progress.snapshot_index != meta.index:
        progress.snapshot_index = meta.index
        progress.snapshot_offset = 0
        _send_chunk(state, other, progress)
    elif heartbeat and chunk_timed_out:
        _send_chunk(state, other, progress)
    elif heartbeat:
        # This heartbeat keeps the follower from starting an election while a snapshot chunk is in
        # transit. The follower's reply may report a log mismatch, which is ignored.
        _send_append(state, other, state.log.base_index, ())


def _send_chunk(state: CoreState, other: ReplicaId, progress: Progress) -> None:
    progress.chunk_sent_at = state.now
    chunk = SnapshotChunk(
        state.hard_state.term, state.log.snapshot, progress.snapshot_offset, state.round
    )
    send(state, other, chunk)


def on_propose(state: CoreState, event: Propose) -> None:
    """Append proposed commands to the log and send them; only the leader accepts commands."""
    if state.role != LEADER:
        state.effects.extend(ProposalRefused(number) for number, _ in event.commands)
        return
    term = state.hard_state.term
    entries = []
    for number, data in event.commands:
        index = state.log.last_index + 1 + len(entries)
        entries.append(Entry(index, term, COMMAND, data))
        state.effects.append(Proposed(number, index, term))
    append(state, tuple(entries))


def append(state: CoreState, entries: tuple[Entry, ...]) -> None:
    """Append entries to the leader's log and send them to all other replicas."""
    for other in other_replicas(state.log.members, state.replica):
        progress_of(state, other)
    persist(state, entries=entries)
    for other in other_replicas(state.log.members, state.replica):
        send_next(state, other, progress_of(state, other))


def on_append_reply(state: CoreState, sender: ReplicaId, reply: AppendReply) -> None:
    """Process a follower's reply to an append request."""
    progress = _record_reply(state, sender, reply)
    if progress is None:
        return
    if reply.success:
        _advance_match(state, progress, reply.match_index)
    elif progress.match_index < reply.previous_index:
        _probe_earlier(progress, reply)
    commit(state)
    complete_reads(state)
    if state.role == LEADER:
        send_next(state, sender, progress)


def _probe_earlier(progress: Progress, reply: AppendReply) -> None:
    """
    Continue probing for the follower's match index at an earlier index.

    A failure reply to a message that was sent before the current probe is ignored.
    """
    if progress.probing and reply.previous_index != progress.next_index - 1:
        return
    progress.probing = True
    progress.in_flight = 0
    progress.next_index = max(reply.match_index, progress.match_index) + 1


def _record_reply(
    state: CoreState, sender: ReplicaId, reply: AppendReply | SnapshotReply
) -> Progress | None:
    """
    Record the reply's time and heartbeat round; step down if its term is newer.

    :return: the leader's record of the sender's log; None if the reply is of another term, this
        replica is not the leader or the sender is not a known replica.
    """
    if reply.term > state.hard_state.term:
        become_follower(state, reply.term, None, "a newer term")
        return None
    if state.role != LEADER or reply.term != state.hard_state.term:
        return None
    # The sender's key includes its disk id, so replies from a known daemon whose disk was wiped are
    # ignored.
    progress = state.progress_by_replica.get(sender)
    if progress is None:
        return None
    progress.replied_at = state.now
    progress.acked_round = max(progress.acked_round, reply.round)
    return progress


def _advance_match(state: CoreState, progress: Progress, match_index: int) -> None:
    if match_index > progress.match_index:
        progress.match_index = match_index
        progress.advanced_at = state.now
        progress.in_flight = max(progress.in_flight - 1, 0)
        progress.probing = False
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.next_index == progress.match_index + 1:
        progress.in_flight = 0
        progress.probing = False


def on_snapshot_reply(state: CoreState, sender: ReplicaId, reply: SnapshotReply) -> None:
    """Send the next chunk of the snapshot, or log entries once the snapshot is installed."""
    progress = _record_reply(state, sender, reply)
    if progress is None:
        return
    if reply.installed:
        progress.match_index = max(progress.match_index, reply.index)
        progress.advanced_at = state.now
        progress.next_index = max(progress.match_index + 1, progress.next_index)
        progress.snapshot_index = 0
        send_next(state, sender, progress)
    elif _is_next_offset(state, progress, reply):
        progress.snapshot_offset = reply.offset
        progress.advanced_at = state.now
        _send_chunk(state, sender, progress)
    commit(state)
    complete_reads(state)


def _is_next_offset(state: CoreState, progress: Progress, reply: SnapshotReply) -> bool:
    is_same_snapshot = reply.index == progress.snapshot_index == state.log.snapshot.index
    return is_same_snapshot and reply.offset != progress.snapshot_offset


def commit(state: CoreState) -> None:
    """
    Commit the entries that a quorum has synced; no-op unless this replica is the leader.

    Only entries of the leader's own term are committed by counting replicas. An entry of an earlier
    term that a majority holds can still be overwritten by a leader of a term in between, so it is
    committed together with a later entry of the leader's own term.
    """
    if state.role != LEADER:
        return

    def synced_index_of(voter: ReplicaId) -> int:
        if voter == state.replica:
            return state.synced_index
        progress = state.progress_by_replica.get(voter)
        return progress.match_index if progress else 0

    members = state.log.members
    index = quorum_value(members, synced_index_of)
    if index <= state.commit_index or state.log.term_at(index) != state.hard_state.term:
        return
    commit_to(state, index)
    if not is_voter(members, state.replica) and state.log.members_index <= index:
        become_follower(state, state.hard_state.term, None, "removed from the members")


def on_resign(state: CoreState) -> None:
    """
    Step down and ask the voter with the highest match index to campaign.

    This leader's lease ends before that voter is asked, so the followers may vote for the voter
    although they acknowledged a heartbeat within the last election timeout.
    """
    if state.role != LEADER:
        return
    successor = None
    for voter in state.log.members.voters:
        progress = state.progress_by_replica.get(voter)
        if progress is None:
            continue
        if (
            successor is None
            or progress.match_index > state.progress_by_replica[successor].match_index
        ):
            successor = voter
    become_follower(state, state.hard_state.term, None, "resigned")
    if successor is not None:
        send(state, successor, TimeoutNow(state.hard_state.term))


__all__ = [
    "append",
    "broadcast",
    "commit",
    "on_append_reply",
    "on_propose",
    "on_resign",
    "on_snapshot_reply",
    "on_tick",
    "progress_of",
    "send_next",
]
