"""
Decides which replica takes the place of another, without an operator.

VMs are lost for good and replaced by empty ones at other addresses. While such a VM stays a voter,
the next loss ends the log. A replica leaves only for one that takes its place, never for silence
alone: a partition shrinks no majority.
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

# Longer than the silence of a VM that is only killed and started again or frozen for a moment;
# copying the log to another one costs more than waiting for it.
REPLACE_AFTER_SILENCE_S = 3.0


@dataclass(frozen=True)
class Candidate:
    """
    A replica in touch, which is a member or may become one.

    :param data_centre: where it stands.
    """

    replica: ReplicaId
    data_centre: str


def next_change(
    state: CoreState,
    candidates: Sequence[Candidate],
    leaving: Sequence[str],
    wanted_voters: int,
) -> Replace | None:
    """
    Choose the next change of the members.

    :param state: the leader's core.
    :param candidates: replicas in touch, members among them, in order of preference.
    :param leaving: daemons that an operator takes away.
    :param wanted_voters: voters that bear the losses that must be borne.
    :return: the change to begin; None for none.
    """
    members = state.log.members
    # One at a time: a learner that was begun is caught up before the next one.
    if not may_change(state) or members.learners or members.outgoing:
        return None
    known = {replica.daemon for replica in all_replicas(members)}
    free = [
        one
        for one in candidates
        if one.replica.daemon not in known and one.replica.daemon not in leaving
    ]
    if not free:
        return None
    if len(members.voters) < wanted_voters:
        return Replace(_from_least_used_data_centre(free, members.voters, candidates), None)
    for voter in members.voters:
        if voter == state.replica and voter.daemon not in leaving:
            continue
        if voter.daemon in leaving or time_since_reply_s(state, voter) > REPLACE_AFTER_SILENCE_S:
            stay = [one for one in members.voters if one != voter]
            return Replace(_from_least_used_data_centre(free, stay, candidates), voter)
    return None


def _from_least_used_data_centre(
    free: Sequence[Candidate], voters: Sequence[ReplicaId], candidates: Sequence[Candidate]
) -> ReplicaId:
    """
    Choose the candidate whose data centre holds the fewest voters.

    Taken in their order alone, one replacement after the other would bring a majority into one data
    centre, whose loss ends the log.
    """
    data_centre_by_daemon = {one.replica.daemon: one.data_centre for one in candidates}
    voters_by_data_centre = Counter(data_centre_by_daemon.get(voter.daemon) for voter in voters)
    return min(free, key=lambda one: voters_by_data_centre[one.data_centre]).replica


def time_since_reply_s(state: CoreState, replica: ReplicaId) -> float:
    """
    Tell for how long a replica has not answered its leader.

    :return: seconds; counted from the election at most.
    """
    if replica == state.replica:
        return 0.0
    progress = state.progress_by_replica.get(replica)
    replied_at = progress.replied_at if progress is not None else 0.0
    return state.now - max(replied_at, state.leader_since)


__all__ = ["REPLACE_AFTER_SILENCE_S", "Candidate", "next_change", "time_since_reply_s"]
