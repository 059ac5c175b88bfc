"""Removes one guard of the consensus core each, to show that a test fails without the guard."""

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
    """Let the leader count its own entries before they are synced."""
    original = replication.commit

    def commit(state):
        state.synced_index = state.log.last_index
        original(state)

    patch.setattr(replication, "commit", commit)


def vote_despite_leader_contact(patch: pytest.MonkeyPatch) -> None:
    """Let a follower that was just contacted by a leader vote for another candidate."""
    patch.setattr(election, "must_withhold_vote", lambda state: False)


def vote_right_after_restart(patch: pytest.MonkeyPatch) -> None:
    """Let a restarted voter vote at once, although it may have acknowledged a heartbeat before."""
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
    """Count the leader lease from the receipt of the replies."""
    original = replication.on_append_reply

    def on_append_reply(state, sender, reply):
        if reply.round in state.round_sent_at:
            state.round_sent_at[reply.round] = state.now
        original(state, sender, reply)

    patch.setitem(core._HANDLER_BY_MESSAGE_TYPE, core.AppendReply, on_append_reply)


def commit_older_terms(patch: pytest.MonkeyPatch) -> None:
    """Commit entries of earlier terms by counting replicas."""
    original = replication.commit

    def commit(state):
        hard_state = state.hard_state
        term_at = state.log.term_at
        state.log.term_at = lambda index: hard_state.term if term_at(index) is not None else None
        original(state)
        del state.log.term_at

    patch.setattr(replication, "commit", commit)


def answer_for_previous_disk(patch: pytest.MonkeyPatch) -> None:
    """Let a wiped replica answer messages for its previous disk, under that disk's id."""
    original = core.Core._on_received

    def receive(self, event):
        own = self.state.replica
        self.state.replica = event.target
        original(self, event)
        self.state.replica = own

    patch.setattr(core.Core, "_on_received", receive)


def promote_at_once(patch: pytest.MonkeyPatch) -> None:
    """Promote a learner before it holds all committed entries."""
    patch.setattr(membership, "is_caught_up", lambda state, replica: True)


def change_on_uncommitted(patch: pytest.MonkeyPatch) -> None:
    """Change the members while the previous change is not committed."""
    patch.setattr(membership, "may_change", lambda state: state.role == "leader")


def replace_without_joint_consensus(patch: pytest.MonkeyPatch) -> None:
    """
    Replace the old voter by the new one without majorities of both the old and the new voters.
    """
    original = membership.promote

    def promote(members, learner):
        joint = original(members, learner)
        return replace(joint, outgoing=())

    patch.setattr(membership, "promote", promote)


def read_without_quorum_round(patch: pytest.MonkeyPatch) -> None:
    """Confirm a read without asking a quorum."""
    patch.setattr(lease, "quorum_acked_round", lambda state: state.round)


def append_without_log_match(patch: pytest.MonkeyPatch) -> None:
    """Let a follower append entries after a gap or after conflicting entries."""

    def on_append_request(state, sender, request):
        term_at = state.log.term_at
        state.log.term_at = lambda index: (
            request.previous_term if index == request.previous_index else term_at(index)
        )
        following.on_append_request(state, sender, request)
        del state.log.term_at

    patch.setitem(core._HANDLER_BY_MESSAGE_TYPE, core.AppendRequest, on_append_request)
