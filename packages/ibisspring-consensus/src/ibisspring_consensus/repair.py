"""
Replaces permanently lost voters of a replicated log without an operator.

A lost VM is replaced by an empty VM at another address. While the lost VM remains a voter, the
loss of one more VM can stop the log. A voter is removed only if another replica is available to
replace it, never for silence alone, so that a partition cannot shrink the majority.

Where the loss of a data centre must be tolerated, no data centre may hold so many voters that the
others lack a majority. Successive replacements of silent voters would otherwise gather them in the
data centres that still respond.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_consensus.events import Replace
from ibisspring_consensus.membership import may_change
from ibisspring_consensus.quorum import all_replicas

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

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


@dataclass(frozen=True)
class Placement:
    """
    How the voters of a log are placed over data centres.

    :param wanted_voters: number of voters needed to tolerate the required number of losses.
    :param most_per_data_centre: most voters in one data centre, so that its loss leaves a majority;
        None for no limit.
    :param data_centre_by_daemon: data centres of daemons that may be silent at the moment.
    """

    wanted_voters: int
    most_per_data_centre: int | None = None
    data_centre_by_daemon: Mapping[str, str] = field(default_factory=dict)


def next_membership_change(
    state: CoreState,
    candidates: Sequence[ReplacementCandidate],
    leaving: Sequence[str],
    placement: Placement,
) -> Replace | None:
    """
    Return the next change of the log's members that restores the wanted voters and their placement.

    :param state: state of the leader's consensus core.
    :param candidates: replicas that respond, including members, in order of preference.
    :param leaving: daemons that an operator is removing.
    :param placement: number of voters, and their limit in a data centre.
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
    data_centre_by_daemon = dict(placement.data_centre_by_daemon)
    for candidate in candidates:
        data_centre_by_daemon[candidate.replica.daemon] = candidate.data_centre

    def replacement(voter: ReplicaId | None) -> Replace | None:
        remaining = [other for other in members.voters if other != voter]
        used = Counter(data_centre_by_daemon.get(other.daemon) for other in remaining)
        chosen = min(non_members, key=lambda candidate: used[candidate.data_centre])
        limit = placement.most_per_data_centre
        if limit is not None and used[chosen.data_centre] >= limit:
            # The loss of this data centre would then stop the log, and a voter that is silent with
            # its data centre usually returns with it.
            return None
        return Replace(chosen.replica, voter)

    if len(members.voters) < placement.wanted_voters:
        return replacement(None)
    for voter in members.voters:
        if voter == state.replica and voter.daemon not in leaving:
            continue
        if voter.daemon in leaving or time_since_reply_s(state, voter) > REPLACE_AFTER_SILENCE_S:
            change = replacement(voter)
            if change is not None:
                return change
    return _from_crowded_data_centre(state, data_centre_by_daemon, placement, replacement)


def _from_crowded_data_centre(
    state: CoreState,
    data_centre_by_daemon: Mapping[str, str],
    placement: Placement,
    replacement: Callable[[ReplicaId | None], Replace | None],
) -> Replace | None:
    """Replace a voter of a data centre that holds more of them than the limit allows."""
    if placement.most_per_data_centre is None:
        return None
    voters = state.log.members.voters
    used = Counter(data_centre_by_daemon.get(voter.daemon) for voter in voters)
    for voter in voters:
        data_centre = data_centre_by_daemon.get(voter.daemon)
        if voter == state.replica or data_centre is None:
            continue
        if used[data_centre] > placement.most_per_data_centre:
            return replacement(voter)
    return None


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
    "Placement",
    "ReplacementCandidate",
    "next_membership_change",
    "time_since_reply_s",
]
