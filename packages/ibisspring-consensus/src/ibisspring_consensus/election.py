"""Elections: pre-votes, votes and who may give them."""

from __future__ import annotations

from ibisspring_consensus.events import BecameLeader
from ibisspring_consensus.lease import begin_round
from ibisspring_consensus.messages import (
    NOOP,
    Entry,
    HardState,
    ReplicaId,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from ibisspring_consensus.quorum import counts, is_quorum
from ibisspring_consensus.state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    CoreState,
    Progress,
    become_follower,
    others,
    persist,
    reset_election,
    send,
    send_after_sync,
)


def on_tick(state: CoreState) -> None:
    """Campaign where the leader was silent for too long."""
    if state.role == LEADER or state.now < state.election_at:
        return
    reset_election(state)
    if not counts(state.log.members, state.replica):
        return
    if state.role == CANDIDATE:
        become_follower(state, state.hard.term, None, "no majority")
    state.leader = None
    begin_pre_vote(state)


def begin_pre_vote(state: CoreState) -> None:
    """
    Ask whether a candidacy would succeed, without a new term.

    A VM that comes back from a long cut would otherwise bring a term that rose with each vain
    candidacy, and the healthy leader would have to step down for it.
    """
    state.pre_votes = {state.replica}
    if is_quorum(state.log.members, state.pre_votes):
        campaign(state, transferred=False)
        return
    _ask(state, state.hard.term + 1, pre=True)


def campaign(state: CoreState, transferred: bool) -> None:
    """
    Become a candidate in a new term.

    :param transferred: the old leader gave up its lease in favour of this replica.
    """
    state.role = CANDIDATE
    state.leader = None
    state.votes = set()
    state.pre_votes = set()
    reset_election(state)
    term = state.hard.term + 1
    persist(state, HardState(term=term, voted_for=state.replica))
    # The own vote counts once it is synced, like any other.
    own = VoteReply(term=term, request_term=term, granted=True)
    send_after_sync(state, state.replica, own)
    _ask(state, term, pre=False, transferred=transferred)


def _ask(state: CoreState, term: int, pre: bool, transferred: bool = False) -> None:
    request = VoteRequest(term, state.log.last_index, state.log.last_term, pre, transferred)
    for voter in others(state.log.members, state.replica):
        if not counts(state.log.members, voter):
            continue
        send_after_sync(state, voter, request)


def heard_lately(state: CoreState) -> bool:
    """
    Tell whether this replica's answer to a leader may still carry that leader's lease.

    A follower that answered a heartbeat helps no other candidate for one election timeout, which is
    longer than the lease. A replica that restarted forgot whether it answered one, so it waits the
    same time from its start.
    """
    if state.role == LEADER:
        return True
    timeout = state.config.election_timeout_s
    if state.now < state.started_at + timeout:
        return True
    return state.heard_leader_at is not None and state.now < state.heard_leader_at + timeout


def log_is_current(state: CoreState, request: VoteRequest) -> bool:
    """Tell whether the candidate's log holds all that this replica's may have committed."""
    return (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)


def on_vote_request(state: CoreState, sender: ReplicaId, request: VoteRequest) -> None:
    """Answer a request for a vote or a pre-vote."""
    sticky = heard_lately(state) and not request.transfer
    if request.pre:
        granted = not sticky and request.term > state.hard.term and log_is_current(state, request)
        send(state, sender, VoteReply(state.hard.term, request.term, granted, pre=True))
        return
    # The term is left alone as well: taking it over would end the leader's term in mid-lease.
    if sticky or request.term < state.hard.term:
        send(state, sender, VoteReply(state.hard.term, request.term, granted=False))
        return
    if request.term > state.hard.term:
        become_follower(state, request.term, None, "a newer term")
    free = state.hard.voted_for in (None, sender)
    granted = free and state.role == FOLLOWER and log_is_current(state, request)
    if granted and state.hard.voted_for is None:
        persist(state, HardState(state.hard.term, sender))
        reset_election(state)
    send_after_sync(state, sender, VoteReply(state.hard.term, request.term, granted))


def on_vote_reply(state: CoreState, sender: ReplicaId, reply: VoteReply) -> None:
    """Count a vote or a pre-vote."""
    if reply.term > state.hard.term and not reply.granted:
        become_follower(state, reply.term, None, "a newer term")
        return
    if not reply.granted or not counts(state.log.members, sender):
        return
    if reply.pre:
        _count_pre_vote(state, sender, reply)
        return
    if state.role != CANDIDATE or reply.request_term != state.hard.term:
        return
    state.votes.add(sender)
    if is_quorum(state.log.members, state.votes):
        _lead(state)


def _count_pre_vote(state: CoreState, sender: ReplicaId, reply: VoteReply) -> None:
    waiting = state.role == FOLLOWER and bool(state.pre_votes)
    if not waiting or reply.request_term != state.hard.term + 1:
        return
    state.pre_votes.add(sender)
    if is_quorum(state.log.members, state.pre_votes):
        campaign(state, transferred=False)


def _lead(state: CoreState) -> None:
    state.role = LEADER
    state.leader = state.replica
    state.led_since = state.now
    state.round = 0
    state.round_sent_at = {}
    state.reads = []
    state.effects.append(BecameLeader(state.hard.term))
    next_index = state.log.last_index + 1
    state.progress_by_replica = {
        other: Progress(match_index=0, next_index=next_index)
        for other in others(state.log.members, state.replica)
    }
    # Entries of earlier terms commit only under one of its own, so a leader appends one at once.
    state.noop_index = next_index
    persist(state, entries=(Entry(next_index, state.hard.term, NOOP),))
    begin_round(state)


def on_timeout_now(state: CoreState, sender: ReplicaId, message: TimeoutNow) -> None:
    """Campaign at once: the leader of this term gave up its lease."""
    current = message.term == state.hard.term and sender == state.leader
    if not current or not counts(state.log.members, state.replica):
        return
    campaign(state, transferred=True)


__all__ = [
    "begin_pre_vote",
    "campaign",
    "heard_lately",
    "log_is_current",
    "on_tick",
    "on_timeout_now",
    "on_vote_reply",
    "on_vote_request",
]
