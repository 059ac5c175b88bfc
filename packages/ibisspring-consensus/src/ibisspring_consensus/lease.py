"""
Heartbeat rounds, the leader lease and reads confirmed by a quorum (read index).

In a heartbeat round the leader sends a numbered heartbeat to all other replicas. Once a quorum has
acknowledged the round, the leader's lease counts from the round's start, and reads requested before
that start are confirmed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_consensus.events import ConfirmRead, ReadConfirmed, ReadRefused
from ibisspring_consensus.quorum import is_quorum, quorum_value
from ibisspring_consensus.state import LEADER, CoreState, PendingRead

if TYPE_CHECKING:
    from ibisspring_consensus.messages import ReplicaId


def begin_round(state: CoreState) -> None:
    """
    Record the start of a new heartbeat round; the caller sends its messages.

    The start time is recorded before any message of the round is sent. If the lease were counted
    from the receipt of a reply, it would be longer by the travel time of the reply and could
    outlast the time for which the followers withhold their votes: two leaders could hold a lease at
    once.
    """
    state.round += 1
    state.round_sent_at[state.round] = state.now
    oldest = quorum_acked_round(state)
    for number in [number for number in state.round_sent_at if number < oldest]:
        del state.round_sent_at[number]


def quorum_acked_round(state: CoreState) -> int:
    """
    Return the newest heartbeat round that a quorum acknowledged.

    :return: number of the round; 0 if no round was acknowledged.
    """

    def acked_round_of(voter: ReplicaId) -> int:
        if voter == state.replica:
            return state.round
        progress = state.progress_by_replica.get(voter)
        return progress.acked_round if progress else 0

    return quorum_value(state.log.members, acked_round_of)


def quorum_acked_at(state: CoreState) -> float | None:
    """
    Return the start time of the newest heartbeat round that a quorum acknowledged.

    :return: seconds on the lease clock; None before a quorum has acknowledged the first round.
    """
    if is_quorum(state.log.members, {state.replica}):
        return state.now
    return state.round_sent_at.get(quorum_acked_round(state))


def lease_until(state: CoreState) -> float:
    """
    Return the end of the leader lease.

    :return: seconds on the lease clock; 0.0 if this replica is not the leader or has no lease.
    """
    if state.role != LEADER:
        return 0.0
    acked_at = quorum_acked_at(state)
    return 0.0 if acked_at is None else acked_at + state.config.leader_lease_s


def begin_read(state: CoreState, event: ConfirmRead) -> bool:
    """
    Register a read and start the heartbeat round that has to confirm it.

    :param event: request for the read; refused at once if this replica is not the leader.
    :return: whether a heartbeat round was started, whose messages the caller then has to send.
    """
    if state.role != LEADER:
        state.effects.append(ReadRefused(event.read))
        return False
    begin_round(state)
    # A new leader does not know which entries of earlier terms are committed until an entry of its
    # own term is committed, so the read waits for the leader's no-op entry.
    index = max(state.commit_index, state.noop_index)
    state.reads.append(PendingRead(event.read, state.round, index))
    return True


def complete_reads(state: CoreState) -> None:
    """
    Confirm the pending reads whose heartbeat round a quorum acknowledged and whose index is
    committed and applied.
    """
    if not state.reads:
        return
    acked_round = quorum_acked_round(state)
    still_pending = []
    for read in state.reads:
        if read.round > acked_round or read.index > state.commit_index:
            still_pending.append(read)
            continue
        state.effects.append(ReadConfirmed(read.read, state.commit_index))
    state.reads = still_pending


__all__ = [
    "begin_read",
    "begin_round",
    "lease_until",
    "quorum_acked_at",
    "quorum_acked_round",
    "complete_reads",
]
