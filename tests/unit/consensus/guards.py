"""
Functions that each remove one guard (safety check) of the consensus core.

The tests run with and without a guard, to show that they detect the failure which it prevents.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ibisspring_consensus import core, election, following, lease, membership, replication
from ibisspring_consensus.state import send

if TYPE_CHECKING:
    import pytest


def answer_before_sync(patch: pytest.MonkeyPatch) -> None:
    """Send votes and acknowledgements before the state that they depend on is synced."""
    for module in (election, following):
        patch.setattr(module, "send_after_sync", send)


def commit_leader_unsynced(patch: pytest.MonkeyPatch) -> None:
    """Let the leader count itself towards the quorum of entries that it has not yet synced."""
    original = replication.commit

    def commit(state):
        state.synced_index = state.log.last_index
        original(state)

    patch.setattr(replication, "commit", commit)


def vote_despite_leader_contact(patch: pytest.MonkeyPatch) -> None:
    """Let a follower vote for another candidate although a leader has just contacted it."""
    patch.setattr(election, "must_withhold_vote", lambda state: False)


def vote_right_after_restart(patch: pytest.MonkeyPatch) -> None:
    """Let a restarted voter vote at once, although it may just have acknowledged a heartbeat."""
    original = election.must_withhold_vote

    def must_withhold_vote(state):
        started_at, state.started_at = state.started_at, -1000.0
        withheld = original(state)
        state.started_at = started_at
        return withheld

    patch.setattr(election, "must_withhold_vote", must_withhold_vote)


def vote_for_any_log(patch: pytest.MonkeyPatch) -> None:
    """Grant votes to candidates whose log lacks entries that the voter holds."""
    patch.setattr(election, "log_is_current", lambda state, request: True)


def lease_from_reply_receipt(patch: pytest.MonkeyPatch) -> None:
    """Count the leader lease from the receipt of heartbeat replies, not from the round's start."""
    original = replication.on_append_reply

    def on_append_reply(state, sender, reply):
        if reply.round in state.round_sent_at:
            state.round_sent_at[reply.round] = state.now
        original(state, sender, reply)

    patch.setitem(core._HANDLER_BY_MESSAGE_TYPE, core.AppendReply, on_append_reply)


def commit_older_terms(patch: pytest.MonkeyPatch) -> None:
    """Let a leader commit entries of earlier terms by counting the replicas that hold them."""
    original = replication.commit

    def commit(state):
        hard_state = state.hard_state
        term_at = state.log.term_at
        state.log.term_at = lambda index: hard_state.term if term_at(index) is not None else None
        original(state)
        del state.log.term_at

    patch.setattr(replication, "commit", commit)


def answer_for_previous_disk(patch: pytest.MonkeyPatch) -> None:
    """Let a replica whose disk was wiped answer messages to the previous disk, under its id."""
    original = core.Core._on_received

    def receive(self, event):
        own = self.state.replica
        self.state.replica = event.target
        original(self, event)
        self.state.replica = own

    patch.setattr(core.Core, "_on_received", receive)


def promote_at_once(patch: pytest.MonkeyPatch) -> None:
    """Make a learner a voter before it holds all committed entries."""
    patch.setattr(membership, "is_caught_up", lambda state, replica: True)


def change_on_uncommitted(patch: pytest.MonkeyPatch) -> None:
    """Start a membership change while the previous membership change is not committed."""
    patch.setattr(membership, "may_change", lambda state: state.role == "leader")


def replace_without_joint_consensus(patch: pytest.MonkeyPatch) -> None:
    """
    Replace a voter in one step, without the phase that needs majorities of old and new voters.
    """
    original = membership.promote

    def promote(members, learner):
        joint = original(members, learner)
        return replace(joint, outgoing=())

    patch.setattr(membership, "promote", promote)


def read_without_quorum_round(patch: pytest.MonkeyPatch) -> None:
    """Confirm a read without a quorum that acknowledged a heartbeat round after the read began."""
    patch.setattr(lease, "quorum_acked_round", lambda state: state.round)


def append_without_log_match(patch: pytest.MonkeyPatch) -> None:
    """Let a follower append entries after a gap in its log or after conflicting entries."""

    def on_append_request(state, sender, request):
        term_at = state.log.term_at
        state.log.term_at = lambda index: (
            request.previous_term if index == request.previous_index else term_at(index)
        )
        following.on_append_request(state, sender, request)
        del state.log.term_at

    patch.setitem(core._HANDLER_BY_MESSAGE_TYPE, core.AppendRequest, on_append_request)
