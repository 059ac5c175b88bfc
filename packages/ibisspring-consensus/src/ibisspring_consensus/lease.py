"""Heartbeat rounds, the leader's lease and reads that a quorum confirms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_consensus.events import ConfirmRead, ReadConfirmed, ReadRefused
from ibisspring_consensus.quorum import is_quorum, quorum_value
from ibisspring_consensus.state import LEADER, CoreState, PendingRead

if TYPE_CHECKING:
    from ibisspring_consensus.messages import ReplicaId


def begin_round(state: CoreState) -> None:
    """
    Begin a heartbeat round at the present time.

    The time is taken before any message of the round is sent. Counted from the receipt of an
    answer, a lease would outlast the followers' promise by the time that the answer was on its way:
    two leaders in charge at once.
    """
    state.round += 1
    state.round_sent_at[state.round] = state.now
    oldest = quorum_round(state)
    for number in [number for number in state.round_sent_at if number < oldest]:
        del state.round_sent_at[number]


def quorum_round(state: CoreState) -> int:
    """
    Find the newest round that a quorum answered.

    :return: its number; 0 for none.
    """

    def answered(voter: ReplicaId) -> int:
        if voter == state.replica:
            return state.round
        progress = state.progress_by_replica.get(voter)
        return progress.acked_round if progress else 0

    return quorum_value(state.log.members, answered)


def quorum_answered_at(state: CoreState) -> float | None:
    """
    Find when the newest round that a quorum answered was begun.

    :return: its start; None before the first.
    """
    if is_quorum(state.log.members, {state.replica}):
        return state.now
    return state.round_sent_at.get(quorum_round(state))


def lease_until(state: CoreState) -> float:
    """
    Find the end of the leader's lease.

    :return: end on the lease clock; 0.0 for a replica that does not lead.
    """
    if state.role != LEADER:
        return 0.0
    answered = quorum_answered_at(state)
    return 0.0 if answered is None else answered + state.config.leader_lease_s


def begin_read(state: CoreState, event: ConfirmRead) -> bool:
    """
    Begin a confirmed read.

    :return: whether a round was begun and has to be sent.
    """
    if state.role != LEADER:
        state.effects.append(ReadRefused(event.read))
        return False
    begin_round(state)
    # Before the first entry of its own term commits, a leader may not know all that is committed.
    index = max(state.commit_index, state.noop_index)
    state.reads.append(PendingRead(event.read, state.round, index))
    return True


def settle_reads(state: CoreState) -> None:
    """Answer the reads whose round a quorum answered and whose index is applied."""
    if not state.reads:
        return
    confirmed = quorum_round(state)
    waiting = []
    for read in state.reads:
        if read.round > confirmed or read.index > state.commit_index:
            waiting.append(read)
            continue
        state.effects.append(ReadConfirmed(read.read, state.commit_index))
    state.reads = waiting


__all__ = [
    "begin_read",
    "begin_round",
    "lease_until",
    "quorum_answered_at",
    "quorum_round",
    "settle_reads",
]
