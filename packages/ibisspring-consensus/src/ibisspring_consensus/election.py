"""
Leader elections: pre-votes (trial votes), votes and the rules for granting them.

A restarted replica grants no vote for one election timeout, since it may have supported a leader's
lease before. After the end of all processes nobody holds a lease, and this wait alone would keep
the system without a leader. A restarted replica therefore probes all voters. If each of them says
that it is an idle follower in the same term, no replica leads: a leader would say so, and a replica
can become leader only in a later term, for which a majority would have to vote first. The voter
with the most current log then campaigns at once.
"""

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
from ibisspring_consensus.quorum import is_quorum, is_voter
from ibisspring_consensus.state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    CoreState,
    Progress,
    become_follower,
    other_replicas,
    persist,
    reset_election,
    send,
    send_after_sync,
)

# Seconds between two probes for a leader after a restart.
PROBE_INTERVAL_S = 0.1


def on_tick(state: CoreState) -> None:
    """Start a pre-vote when the election timeout has passed without contact from a leader."""
    if state.role == LEADER:
        return
    if state.now < state.election_due_at:
        _probe_after_restart(state)
        return
    reset_election(state)
    if not is_voter(state.log.members, state.replica):
        return
    if state.role == CANDIDATE:
        become_follower(state, state.hard_state.term, None, "no majority")
    state.leader = None
    begin_pre_vote(state)


def _probe_after_restart(state: CoreState) -> None:
    """Ask all voters whether they follow a leader, until one contacts this replica."""
    if state.leader_contact_at is not None or state.role != FOLLOWER:
        return
    if state.now < state.probe_due_at or not is_voter(state.log.members, state.replica):
        return
    state.probe_due_at = state.now + PROBE_INTERVAL_S
    _request_votes(state, state.hard_state.term + 1, pre=True)


def begin_pre_vote(state: CoreState) -> None:
    """
    Ask the voters whether an election would succeed, without starting a new term.

    Without pre-votes, a VM that reconnects after a long partition would send a term that rose with
    each of its failed candidacies, and the healthy leader would have to step down because of this
    newer term.
    """
    state.pre_votes = {state.replica}
    if is_quorum(state.log.members, state.pre_votes):
        campaign(state, transferred=False)
        return
    _request_votes(state, state.hard_state.term + 1, pre=True)


def campaign(state: CoreState, transferred: bool) -> None:
    """
    Become a candidate in a new term and request votes.

    :param transferred: whether the previous leader resigned its lease in favour of this replica.
    """
    state.role = CANDIDATE
    state.leader = None
    state.votes = set()
    state.pre_votes = set()
    reset_election(state)
    term = state.hard_state.term + 1
    persist(state, HardState(term=term, voted_for=state.replica))
    # Like any other vote, the candidate's own vote is counted only after it is synced to disk.
    own_vote = VoteReply(term=term, request_term=term, granted=True)
    send_after_sync(state, state.replica, own_vote)
    _request_votes(state, term, pre=False, transferred=transferred)


def _request_votes(state: CoreState, term: int, pre: bool, transferred: bool = False) -> None:
    request = VoteRequest(term, state.log.last_index, state.log.last_term, pre, transferred)
    for voter in other_replicas(state.log.members, state.replica):
        if not is_voter(state.log.members, voter):
            continue
        send_after_sync(state, voter, request)


def must_withhold_vote(state: CoreState) -> bool:
    """
    Return whether this replica must not vote because it may still support a leader's lease.

    A follower that acknowledged a leader's heartbeat grants no vote to another candidate for one
    election timeout, which is longer than the leader's lease. A restarted replica does not know
    whether it acknowledged a heartbeat before the restart, so it grants no vote for one election
    timeout after its start.
    """
    if state.role == LEADER:
        return True
    timeout = state.config.election_timeout_s
    if state.now < state.started_at + timeout:
        return True
    return _heard_recently(state)


def _heard_recently(state: CoreState) -> bool:
    """Return whether a leader contacted this replica within one election timeout."""
    timeout = state.config.election_timeout_s
    return state.leader_contact_at is not None and state.now < state.leader_contact_at + timeout


def log_is_current(state: CoreState, request: VoteRequest) -> bool:
    """
    Return whether the candidate's log is at least as up to date as this replica's log.

    A candidate with such a log holds every entry of this replica's log that may be committed.
    """
    return (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)


def on_vote_request(state: CoreState, sender: ReplicaId, request: VoteRequest) -> None:
    """Answer a vote request or a pre-vote request."""
    must_withhold = must_withhold_vote(state) and not request.transfer
    if request.pre:
        is_idle = state.role == FOLLOWER and not _heard_recently(state)
        granted = (
            not must_withhold
            and request.term > state.hard_state.term
            and log_is_current(state, request)
        )
        reply = VoteReply(
            state.hard_state.term,
            request.term,
            granted,
            pre=True,
            is_idle=is_idle,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
        )
        send(state, sender, reply)
        return
    # A replica that withholds its vote must not adopt the candidate's newer term either: that would
    # end the current leader's term while the leader's lease is valid.
    if must_withhold or request.term < state.hard_state.term:
        send(state, sender, VoteReply(state.hard_state.term, request.term, granted=False))
        return
    if request.term > state.hard_state.term:
        become_follower(state, request.term, None, "a newer term")
    vote_available = state.hard_state.voted_for in (None, sender)
    granted = vote_available and state.role == FOLLOWER and log_is_current(state, request)
    if granted and state.hard_state.voted_for is None:
        persist(state, HardState(state.hard_state.term, sender))
        reset_election(state)
    send_after_sync(state, sender, VoteReply(state.hard_state.term, request.term, granted))


def on_vote_reply(state: CoreState, sender: ReplicaId, reply: VoteReply) -> None:
    """Count a granted pre-vote or vote; with a majority, campaign or become leader respectively."""
    if reply.term > state.hard_state.term and not reply.granted:
        become_follower(state, reply.term, None, "a newer term")
        return
    if reply.pre and _count_idle_reply(state, sender, reply):
        campaign(state, transferred=True)
        return
    if not reply.granted or not is_voter(state.log.members, sender):
        return
    if reply.pre:
        _count_pre_vote(state, sender, reply)
        return
    if state.role != CANDIDATE or reply.request_term != state.hard_state.term:
        return
    state.votes.add(sender)
    if is_quorum(state.log.members, state.votes):
        _become_leader(state)


def _count_idle_reply(state: CoreState, sender: ReplicaId, reply: VoteReply) -> bool:
    """
    Record that a voter is idle.

    The replies stay true while this replica's term is the same: a voter that was a follower in this
    term can lead only in a later one.

    :return: whether all voters are idle and this replica is the one that campaigns.
    """
    if state.role != FOLLOWER or state.leader_contact_at is not None:
        return False
    term = state.hard_state.term
    state.idle_replies = {
        voter: known for voter, known in state.idle_replies.items() if known.term == term
    }
    if not reply.is_idle or reply.term != term:
        state.idle_replies.pop(sender, None)
        return False
    state.idle_replies[sender] = reply
    members = state.log.members
    others = {*members.voters, *members.outgoing} - {state.replica}
    if not is_voter(members, state.replica) or not others <= set(state.idle_replies):
        return False
    # One voter campaigns, so that the votes are not split: the one with the most current log, and
    # among equal logs the first by its id.
    own = (state.log.last_term, state.log.last_index)
    for other in others:
        known = state.idle_replies[other]
        log = (known.last_term, known.last_index)
        if log > own or (log == own and other < state.replica):
            return False
    return True


def _count_pre_vote(state: CoreState, sender: ReplicaId, reply: VoteReply) -> None:
    pre_vote_pending = state.role == FOLLOWER and bool(state.pre_votes)
    if not pre_vote_pending or reply.request_term != state.hard_state.term + 1:
        return
    state.pre_votes.add(sender)
    if is_quorum(state.log.members, state.pre_votes):
        campaign(state, transferred=False)


def _become_leader(state: CoreState) -> None:
    state.role = LEADER
    state.leader = state.replica
    state.leader_since = state.now
    state.round = 0
    state.round_sent_at = {}
    state.reads = []
    state.effects.append(BecameLeader(state.hard_state.term))
    next_index = state.log.last_index + 1
    state.progress_by_replica = {
        other: Progress(match_index=0, next_index=next_index)
        for other in other_replicas(state.log.members, state.replica)
    }
    # A leader can commit entries of earlier terms only together with an entry of its own term, so
    # it appends a no-op entry at once.
    state.noop_index = next_index
    persist(state, entries=(Entry(next_index, state.hard_state.term, NOOP),))
    begin_round(state)


def on_timeout_now(state: CoreState, sender: ReplicaId, message: TimeoutNow) -> None:
    """
    Campaign without waiting for the election timeout, because the leader of this term resigned.
    """
    is_from_leader = message.term == state.hard_state.term and sender == state.leader
    if not is_from_leader or not is_voter(state.log.members, state.replica):
        return
    campaign(state, transferred=True)


__all__ = [
    "begin_pre_vote",
    "campaign",
    "must_withhold_vote",
    "log_is_current",
    "on_tick",
    "on_timeout_now",
    "on_vote_reply",
    "on_vote_request",
]
