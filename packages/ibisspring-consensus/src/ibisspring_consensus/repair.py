"""
Replaces permanently lost voters of a replicated log without an operator.

A lost VM is replaced by an empty VM at another address. While the lost VM remains a voter, the
loss of one more VM can stop the log. A voter is removed only if another replica is available to
replace it, never for silence alone, so that a partition cannot shrink the majority.

The replica that takes over the log may be lost as well. If it stayed a learner, no further change
would begin. It is given up under the same conditions as a voter: it is silent, or makes no
progress, and another replica is available. One that an operator removes is given up in any case.

Where the loss of a data centre must be tolerated, no data centre may hold so many voters that the
others lack a majority. Successive replacements of silent voters would otherwise gather them in the
data centres that still respond.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_consensus.events import RemoveLearner, Replace
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
# Seconds without any progress after which a learner that still replies is given up, for example
# because its disk is full. Longer than a replica takes to restore a large snapshot.
GIVE_UP_STALLED_AFTER_S = 10.0
# Seconds for which a replica that was given up as a learner is the last choice. Without this, two
# replicas that the leader cannot reach would be tried in turn although a third one is there.
LAST_CHOICE_S = 30.0


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
) -> Replace | RemoveLearner | None:
    """
    Return the next change of the log's members that restores the wanted voters and their placement.

    :param state: state of the leader's consensus core.
    :param candidates: replicas that respond, including members, in order of preference.
    :param leaving: daemons that an operator is removing.
    :param placement: number of voters, and their limit in a data centre.
    :return: the change to start; None if no change is needed or possible.
    """
    members = state.log.members
    if not may_change(state) or members.outgoing:
        return None
    member_daemons = {replica.daemon for replica in all_replicas(members)}
    non_members = [
        candidate
        for candidate in candidates
        if candidate.replica.daemon not in member_daemons
        and candidate.replica.daemon not in leaving
    ]
    data_centre_by_daemon = dict(placement.data_centre_by_daemon)
    for candidate in candidates:
        data_centre_by_daemon[candidate.replica.daemon] = candidate.data_centre

    def replacement(voter: ReplicaId | None) -> Replace | None:
        remaining = [other for other in members.voters if other != voter]
        used = Counter(data_centre_by_daemon.get(other.daemon) for other in remaining)
        limit = placement.most_per_data_centre
        # The loss of a data centre with more voters would stop the log, and a voter that is silent
        # with its data centre usually returns with it.
        allowed = [
            candidate
            for candidate in non_members
            if limit is None or used[candidate.data_centre] < limit
        ]
        if not allowed:
            return None
        chosen = min(
            allowed,
            key=lambda candidate: (
                _recently_given_up_at(state, candidate.replica),
                used[candidate.data_centre],
            ),
        )
        return Replace(chosen.replica, voter)

    if members.learners:
        # One membership change at a time: a learner must have become a voter, or be given up,
        # before the next change starts.
        return _learner_to_give_up(state, leaving, replacement)
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


def _learner_to_give_up(
    state: CoreState,
    leaving: Sequence[str],
    replacement: Callable[[ReplicaId | None], Replace | None],
) -> RemoveLearner | None:
    for learner in state.log.members.learners:
        if learner.replica.daemon in leaving:
            return RemoveLearner(learner.replica)
        if replacement(learner.replaces) is None:
            continue
        is_silent = time_since_reply_s(state, learner.replica) > REPLACE_AFTER_SILENCE_S
        if is_silent or _is_stalled(state, learner.replica):
            return RemoveLearner(learner.replica)
    return None


def _is_stalled(state: CoreState, learner: ReplicaId) -> bool:
    """Whether a learner lacks entries and has received none for a long time."""
    progress = state.progress_by_replica.get(learner)
    if progress is None or progress.match_index >= state.commit_index:
        return False
    since = max(progress.advanced_at, progress.added_at, state.leader_since)
    return state.now - since > GIVE_UP_STALLED_AFTER_S


def _recently_given_up_at(state: CoreState, replica: ReplicaId) -> float:
    """Return when a replica was given up as a learner; 0.0 for never or long ago."""
    removed_at = state.learner_removed_at.get(replica)
    if removed_at is None or state.now - removed_at > LAST_CHOICE_S:
        return 0.0
    return removed_at


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

    :return: time in seconds; at most the time since this leader's election, and since it began to
        send the log to the replica.
    """
    if replica == state.replica:
        return 0.0
    progress = state.progress_by_replica.get(replica)
    if progress is None:
        return state.now - state.leader_since
    return state.now - max(progress.replied_at, progress.added_at, state.leader_since)


__all__ = [
    "REPLACE_AFTER_SILENCE_S",
    "Placement",
    "ReplacementCandidate",
    "next_membership_change",
    "time_since_reply_s",
]
