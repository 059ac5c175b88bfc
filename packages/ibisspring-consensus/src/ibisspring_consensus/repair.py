"""
Replaces permanently lost voters of a replicated log without an operator.

A lost VM is replaced by an empty VM at another address. While the lost VM remains a voter, the
loss of one more VM can stop the log. A voter is removed only if another replica is available to
replace it, never for silence alone, so that a partition cannot shrink the majority.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_consensus.events import Replace
from ibisspring_consensus.membership import may_change
from ibisspring_consensus.quorum import all_replicas

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisspring_consensus.messages import ReplicaId
    from ibisspring_consensus.state import CoreState

# Seconds without a reply from a voter after which an available replica replaces the voter. Longer
# than the silence of a VM that is killed and restarted, or frozen for a moment: copying the log to
# another VM costs more than waiting for such a VM.
REPLACE_AFTER_SILENCE_S = 3.0


@dataclass(frozen=True)
class ReplacementCandidate:
    """
    A replica that responds, and is a member or can become one.

    :param replica: daemon and disk id of the replica.
    :param data_centre: data centre of the replica's VM.
    """

    replica: ReplicaId
    data_centre: str


def next_membership_change(
    state: CoreState,
    candidates: Sequence[ReplacementCandidate],
    leaving: Sequence[str],
    wanted_voters: int,
) -> Replace | None:
    """
    Return the next change of the log's members that restores the wanted number of live voters.

    :param state: state of the leader's consensus core.
    :param candidates: replicas that respond, including members, in order of preference.
    :param leaving: daemons that an operator is removing.
    :param wanted_voters: number of voters needed to tolerate the required number of losses.
    :return: the change to start; None if no change is needed or possible.
    """
    members = state.log.members
    # One membership change at a time: a learner must have caught up with the log and become a voter
    # before the next change starts.
    if not may_change(state) or members.learners or members.outgoing:
        return None
    member_daemons = {replica.daemon for replica in all_replicas(members)}
    non_members = [
        candidate
        for candidate in candidates
        if candidate.replica.daemon not in member_daemons
        and candidate.replica.daemon not in leaving
    ]
    if not non_members:
        return None
    if len(members.voters) < wanted_voters:
        return Replace(_from_least_used_data_centre(non_members, members.voters, candidates), None)
    for voter in members.voters:
        if voter == state.replica and voter.daemon not in leaving:
            continue
        if voter.daemon in leaving or time_since_reply_s(state, voter) > REPLACE_AFTER_SILENCE_S:
            remaining_voters = [other for other in members.voters if other != voter]
            return Replace(
                _from_least_used_data_centre(non_members, remaining_voters, candidates), voter
            )
    return None


def _from_least_used_data_centre(
    non_members: Sequence[ReplacementCandidate],
    voters: Sequence[ReplicaId],
    candidates: Sequence[ReplacementCandidate],
) -> ReplicaId:
    """
    Choose the new voter from the data centre that holds the fewest voters.

    If candidates were taken in their order alone, successive replacements could place a majority of
    the voters in one data centre, and the loss of that data centre would stop the log.

    :param non_members: replicas that may be added.
    :param voters: the voters that remain after the change.
    :param candidates: all replicas that respond; used to look up the voters' data centres.
    """
    data_centre_by_daemon = {
        candidate.replica.daemon: candidate.data_centre for candidate in candidates
    }
    voters_by_data_centre = Counter(data_centre_by_daemon.get(voter.daemon) for voter in voters)
    return min(
        non_members, key=lambda candidate: voters_by_data_centre[candidate.data_centre]
    ).replica


def time_since_reply_s(state: CoreState, replica: ReplicaId) -> float:
    """
    Return the time since a replica last replied to this leader.

    :return: time in seconds; at most the time since this leader's election.
    """
    if replica == state.replica:
        return 0.0
    progress = state.progress_by_replica.get(replica)
    replied_at = progress.replied_at if progress is not None else 0.0
    return state.now - max(replied_at, state.leader_since)


__all__ = [
    "REPLACE_AFTER_SILENCE_S",
    "ReplacementCandidate",
    "next_membership_change",
    "time_since_reply_s",
]
