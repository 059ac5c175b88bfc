"""The leader's side of replication: what is sent to whom, and what is committed."""

from __future__ import annotations

from ibisspring_consensus.events import ProposalRefused, Propose, Proposed
from ibisspring_consensus.lease import (
    begin_round,
    quorum_answered_at,
    settle_reads,
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
from ibisspring_consensus.quorum import counts, quorum_value
from ibisspring_consensus.state import (
    LEADER,
    CoreState,
    Progress,
    become_follower,
    commit_to,
    others,
    persist,
    send,
)


def on_tick(state: CoreState) -> None:
    """Send a heartbeat round, or step down where no quorum answers any more."""
    if state.role != LEADER:
        return
    answered = quorum_answered_at(state)
    silent_since = state.led_since if answered is None else answered
    # Two election timeouts: by then the others may have a new leader, and callers should look for
    # it.
    if state.now > silent_since + 2 * state.config.election_timeout_s:
        become_follower(state, state.hard.term, None, "no quorum answers")
        return
    started = state.round_sent_at.get(state.round)
    if started is None or state.now >= started + state.config.heartbeat_s:
        begin_round(state)
        broadcast(state)


def broadcast(state: CoreState) -> None:
    """Send the present round to all others, with the entries that they lack."""
    for other in others(state.log.members, state.replica):
        send_next(state, other, progress_of(state, other), heartbeat=True)


def progress_of(state: CoreState, other: ReplicaId) -> Progress:
    """Find the progress of another replica; a new one is first probed at the end of the log."""
    progress = state.progress_by_replica.get(other)
    if progress is None:
        progress = Progress(match_index=0, next_index=state.log.last_index + 1)
        state.progress_by_replica[other] = progress
    return progress


def send_next(
    state: CoreState, other: ReplicaId, progress: Progress, heartbeat: bool = False
) -> None:
    """Send what the other replica lacks, and a heartbeat in any case where one is due."""
    if progress.next_index <= state.log.base_index:
        _send_snapshot(state, other, progress, heartbeat)
        return
    sent = False
    window = 1 if progress.probing else state.config.max_in_flight
    next_index = progress.next_index
    while next_index <= state.log.last_index and progress.in_flight < window:
        entries = state.log.slice(next_index, state.log.last_index, state.config.max_append_bytes)
        _send_append(state, other, next_index - 1, entries)
        next_index += len(entries)
        progress.in_flight += 1
        sent = True
    # A probe that fails is answered with where to go on, so nothing is sent past it before.
    if not progress.probing:
        progress.next_index = next_index
    if heartbeat and not sent:
        _send_append(state, other, progress.next_index - 1, ())


def _send_append(
    state: CoreState, other: ReplicaId, previous: int, entries: tuple[Entry, ...]
) -> None:
    request = AppendRequest(
        term=state.hard.term,
        previous_index=previous,
        previous_term=state.log.term_at(previous) or 0,
        commit_index=state.commit_index,
        round=state.round,
        entries=entries,
    )
    send(state, other, request)


def _send_snapshot(state: CoreState, other: ReplicaId, progress: Progress, heartbeat: bool) -> None:
    meta = state.log.snapshot
    lost = state.now >= progress.sent_at + state.config.election_timeout_s
    if progress.snapshot_index != meta.index:
        progress.snapshot_index = meta.index
        progress.snapshot_offset = 0
        _send_chunk(state, other, progress)
    elif heartbeat and lost:
        _send_chunk(state, other, progress)
    elif heartbeat:
        # Keeps the follower from an election while a chunk is under way; its failure is ignored.
        _send_append(state, other, state.log.base_index, ())


def _send_chunk(state: CoreState, other: ReplicaId, progress: Progress) -> None:
    progress.sent_at = state.now
    chunk = SnapshotChunk(
        state.hard.term, state.log.snapshot, progress.snapshot_offset, state.round
    )
    send(state, other, chunk)


def on_propose(state: CoreState, event: Propose) -> None:
    """Append commands and send them on."""
    if state.role != LEADER:
        state.effects.extend(ProposalRefused(number) for number, _ in event.commands)
        return
    term = state.hard.term
    entries = []
    for number, data in event.commands:
        index = state.log.last_index + 1 + len(entries)
        entries.append(Entry(index, term, COMMAND, data))
        state.effects.append(Proposed(number, index, term))
    append(state, tuple(entries))


def append(state: CoreState, entries: tuple[Entry, ...]) -> None:
    """Append entries to the leader's own log and send them to all others."""
    for other in others(state.log.members, state.replica):
        progress_of(state, other)
    persist(state, entries=entries)
    for other in others(state.log.members, state.replica):
        send_next(state, other, progress_of(state, other))


def on_append_reply(state: CoreState, sender: ReplicaId, reply: AppendReply) -> None:
    """Take in a follower's answer."""
    progress = _answering(state, sender, reply)
    if progress is None:
        return
    if reply.success:
        _advance(progress, reply.match_index)
    elif progress.match_index < reply.previous_index:
        _go_back(progress, reply)
    commit(state)
    settle_reads(state)
    if state.role == LEADER:
        send_next(state, sender, progress)


def _go_back(progress: Progress, reply: AppendReply) -> None:
    """Probe further back; late failures of messages sent before the present probe are ignored."""
    if progress.probing and reply.previous_index != progress.next_index - 1:
        return
    progress.probing = True
    progress.in_flight = 0
    progress.next_index = max(reply.match_index, progress.match_index) + 1


def _answering(
    state: CoreState, sender: ReplicaId, reply: AppendReply | SnapshotReply
) -> Progress | None:
    """Take in what every answer tells; None where it counts for nothing here."""
    if reply.term > state.hard.term:
        become_follower(state, reply.term, None, "a newer term")
        return None
    if state.role != LEADER or reply.term != state.hard.term:
        return None
    # The key is the disk as well: answers of a wiped disk under an old name count for nothing.
    progress = state.progress_by_replica.get(sender)
    if progress is None:
        return None
    progress.answered_at = state.now
    progress.acked_round = max(progress.acked_round, reply.round)
    return progress


def _advance(progress: Progress, match_index: int) -> None:
    if match_index > progress.match_index:
        progress.match_index = match_index
        progress.in_flight = max(progress.in_flight - 1, 0)
        progress.probing = False
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.next_index == progress.match_index + 1:
        progress.in_flight = 0
        progress.probing = False


def on_snapshot_reply(state: CoreState, sender: ReplicaId, reply: SnapshotReply) -> None:
    """Send the next chunk, or go on with entries once the snapshot is in force there."""
    progress = _answering(state, sender, reply)
    if progress is None:
        return
    if reply.installed:
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = max(progress.match_index + 1, progress.next_index)
        progress.snapshot_index = 0
        send_next(state, sender, progress)
    elif _is_next_offset(state, progress, reply):
        progress.snapshot_offset = reply.offset
        _send_chunk(state, sender, progress)
    commit(state)
    settle_reads(state)


def _is_next_offset(state: CoreState, progress: Progress, reply: SnapshotReply) -> bool:
    current = reply.index == progress.snapshot_index == state.log.snapshot.index
    return current and reply.offset != progress.snapshot_offset


def commit(state: CoreState) -> None:
    """
    Commit what a quorum has synced.

    Only an entry of the leader's own term is counted. An older one on a majority can still be
    overwritten by a leader of a term in between, so it commits together with a later one of this
    term.
    """
    if state.role != LEADER:
        return

    def synced(voter: ReplicaId) -> int:
        if voter == state.replica:
            return state.synced_index
        progress = state.progress_by_replica.get(voter)
        return progress.match_index if progress else 0

    members = state.log.members
    index = quorum_value(members, synced)
    if index <= state.commit_index or state.log.term_at(index) != state.hard.term:
        return
    commit_to(state, index)
    if not counts(members, state.replica) and state.log.members_index <= index:
        become_follower(state, state.hard.term, None, "removed from the members")


def on_resign(state: CoreState) -> None:
    """
    Give up leadership and name a successor.

    The lease is gone before the successor is asked, so its election may pass over the followers'
    promise.
    """
    if state.role != LEADER:
        return
    best = None
    for voter in state.log.members.voters:
        progress = state.progress_by_replica.get(voter)
        if progress is None:
            continue
        if best is None or progress.match_index > state.progress_by_replica[best].match_index:
            best = voter
    become_follower(state, state.hard.term, None, "resigned")
    if best is not None:
        send(state, best, TimeoutNow(state.hard.term))


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
