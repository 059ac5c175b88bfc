"""Ways to take one guard out of the consensus core, to show that the random run misses it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ibisspring_consensus import core, election, following, lease, membership, replication
from ibisspring_consensus.state import send

if TYPE_CHECKING:
    import pytest


def answer_before_sync(patch: pytest.MonkeyPatch) -> None:
    """Votes and acknowledgements leave before what they promise is synced."""
    for module in (election, following):
        patch.setattr(module, "send_after_sync", send)


def commit_leader_unsynced(patch: pytest.MonkeyPatch) -> None:
    """The leader counts its own entries before they are synced."""
    plain = replication.commit

    def commit(state):
        state.synced_index = state.log.last_index
        plain(state)

    patch.setattr(replication, "commit", commit)


def vote_despite_leader_contact(patch: pytest.MonkeyPatch) -> None:
    """A follower that heard a leader a moment ago votes for another."""
    patch.setattr(election, "must_withhold_vote", lambda state: False)


def vote_right_after_restart(patch: pytest.MonkeyPatch) -> None:
    """A voter that restarted forgets that it answered a heartbeat and votes at once."""
    plain = election.must_withhold_vote

    def must_withhold_vote(state):
        started, state.started_at = state.started_at, -1000.0
        withheld = plain(state)
        state.started_at = started
        return withheld

    patch.setattr(election, "must_withhold_vote", must_withhold_vote)


def vote_for_any_log(patch: pytest.MonkeyPatch) -> None:
    """A vote goes to a candidate that lacks what the voter holds."""
    patch.setattr(election, "log_is_current", lambda state, request: True)


def lease_from_reply_receipt(patch: pytest.MonkeyPatch) -> None:
    """The lease is counted from the receipt of the answers."""
    plain = replication.on_append_reply

    def on_append_reply(state, sender, reply):
        if reply.round in state.round_sent_at:
            state.round_sent_at[reply.round] = state.now
        plain(state, sender, reply)

    patch.setitem(core._HANDLER_BY_MESSAGE_TYPE, core.AppendReply, on_append_reply)


def commit_older_terms(patch: pytest.MonkeyPatch) -> None:
    """Entries of earlier terms are committed by counting."""
    plain = replication.commit

    def commit(state):
        hard = state.hard
        term_at = state.log.term_at
        state.log.term_at = lambda index: hard.term if term_at(index) is not None else None
        plain(state)
        del state.log.term_at

    patch.setattr(replication, "commit", commit)


def answer_for_previous_disk(patch: pytest.MonkeyPatch) -> None:
    """A wiped replica answers what was meant for its old disk, under the old disk's name."""
    plain = core.Core._on_received

    def receive(self, event):
        own = self.state.replica
        self.state.replica = event.target
        plain(self, event)
        self.state.replica = own

    patch.setattr(core.Core, "_on_received", receive)


def promote_at_once(patch: pytest.MonkeyPatch) -> None:
    """A learner counts before it holds what is committed."""
    patch.setattr(membership, "is_caught_up", lambda state, replica: True)


def change_on_uncommitted(patch: pytest.MonkeyPatch) -> None:
    """Members change on top of a change that is not committed."""
    patch.setattr(membership, "may_change", lambda state: state.role == "leader")


def replace_without_joint_consensus(patch: pytest.MonkeyPatch) -> None:
    """The new voter takes the old one's place without a majority of both."""
    plain = membership.promote

    def promote(members, learner):
        joint = plain(members, learner)
        return replace(joint, outgoing=())

    patch.setattr(membership, "promote", promote)


def read_without_quorum_round(patch: pytest.MonkeyPatch) -> None:
    """A read is answered without asking a quorum."""
    patch.setattr(lease, "quorum_acked_round", lambda state: state.round)


def append_without_log_match(patch: pytest.MonkeyPatch) -> None:
    """A follower takes entries after a gap or after entries that differ."""

    def on_append_request(state, sender, request):
        term_at = state.log.term_at
        state.log.term_at = lambda index: (
            request.previous_term if index == request.previous_index else term_at(index)
        )
        following.on_append_request(state, sender, request)
        del state.log.term_at

    patch.setitem(core._HANDLER_BY_MESSAGE_TYPE, core.AppendRequest, on_append_request)
