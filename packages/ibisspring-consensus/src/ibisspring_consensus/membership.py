"""
Changes of the cluster's members by joint consensus, one change at a time.

A new replica first receives the log as a learner; then, until the change is committed, decisions
need majorities of both the old and the new voters (joint consensus).
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ibisspring_consensus.messages import (
    MEMBERS,
    Entry,
    HardState,
    Learner,
    Members,
    ReplicaId,
)
from ibisspring_consensus.quorum import all_replicas
from ibisspring_consensus.replication import append
from ibisspring_consensus.state import (
    LEADER,
    CoreState,
    persist,
)
from ibisspring_core.messages.codec import encode

if TYPE_CHECKING:
    from ibisspring_consensus.events import Bootstrap, RemoveLearner, Replace, ReplicaSeen


def on_bootstrap(state: CoreState, event: Bootstrap) -> None:
    """
    Bootstrap a cluster: write its members as this replica's first log entry, under term 1.

    No-op on a replica that already holds state.
    """
    if state.hard_state.term or state.log.last_index:
        return
    entry = Entry(1, 1, MEMBERS, encode(event.members))
    persist(state, HardState(term=1), entries=(entry,))


def on_replica_seen(state: CoreState, event: ReplicaSeen) -> None:
    """
    Record a replica that is not a member, so that it can replace its daemon's previous disk.

    A disk of another cluster is ignored, because its log holds other commands at the same indexes.
    A disk of this cluster is recorded even if it holds a part of the log: the next leader may have
    overwritten the entry that made the replica a learner. If only empty disks were recorded, such a
    replica would stay excluded until an operator empties its disk again.
    """
    if event.replica in all_replicas(state.log.members):
        state.non_member_by_daemon.pop(event.replica.daemon, None)
        return
    if event.cluster in ("", state.log.members.cluster):
        state.non_member_by_daemon[event.replica.daemon] = event.replica


def may_change(state: CoreState) -> bool:
    """
    Return whether a membership change may start now.

    The previous membership change and an entry of this leader's term must be committed: if two
    leaders each changed the members on top of different uncommitted changes, each could find a
    majority of its own.
    """
    return (
        state.role == LEADER
        and state.commit_index >= state.noop_index
        and state.commit_index >= state.log.members_index
    )


def on_tick(state: CoreState) -> None:
    """Advance the membership change in progress by one step, or start to replace a lost disk."""
    if not may_change(state):
        return
    members = state.log.members
    if members.outgoing:
        _change(state, replace(members, outgoing=()))
        return
    for learner in members.learners:
        if learner.replaces is not None and learner.replaces not in members.voters:
            # Another replica has replaced the voter. The learner would become a voter too many.
            _remove_learner(state, learner)
            return
        if is_caught_up(state, learner.replica):
            _change(state, promote(members, learner))
            return
    replaced = [(voter, voter) for voter in members.voters]
    replaced += [(learner.replica, learner.replaces) for learner in members.learners]
    for lost, replaces in replaced:
        new_replica = state.non_member_by_daemon.pop(lost.daemon, None)
        if new_replica is None or new_replica.disk_id == lost.disk_id:
            continue
        _add_learner(state, Learner(new_replica, replaces))
        return


def on_replace(state: CoreState, event: Replace) -> bool:
    """
    Start the replacement of a voter, or the addition of a voter if `event.old` is None.

    :return: whether the replacement or addition was started.
    """
    members = state.log.members
    if not may_change(state) or event.new in all_replicas(members):
        return False
    if event.old is not None and event.old not in members.voters:
        return False
    _add_learner(state, Learner(event.new, replaces=event.old))
    return True


def on_remove_learner(state: CoreState, event: RemoveLearner) -> bool:
    """
    Start the removal of a learner; quorums do not change, since they do not count it.

    :return: whether the removal was started.
    """
    if not may_change(state):
        return False
    for learner in state.log.members.learners:
        if learner.replica == event.learner:
            _remove_learner(state, learner)
            state.learner_removed_at[learner.replica] = state.now
            return True
    return False


def is_caught_up(state: CoreState, replica: ReplicaId) -> bool:
    """
    Return whether a learner has synced all committed entries and replied recently.

    If a learner were promoted earlier, it would count towards majorities without holding all
    accepted writes: the loss of a second VM right after the repair could lose an accepted write.
    """
    progress = state.progress_by_replica.get(replica)
    if progress is None or progress.match_index < state.commit_index:
        return False
    return state.now < progress.replied_at + state.config.election_timeout_s


def holders(state: CoreState) -> tuple[str, ...]:
    """
    List the daemons whose disks the log needs, or may need.

    The members in force may be uncommitted: the next leader can revert them, and the members before
    are in force again.

    :return: daemons of all voters and learners in force, and of those committed before.
    """
    committed = state.log.members_at(max(state.commit_index, state.log.snapshot.index))
    replicas = (*all_replicas(state.log.members), *all_replicas(committed))
    return tuple(dict.fromkeys(replica.daemon for replica in replicas))


def with_learner(members: Members, learner: Learner) -> Members:
    """Return members with an added learner, which replaces any learner of the same daemon."""
    kept = tuple(
        other for other in members.learners if other.replica.daemon != learner.replica.daemon
    )
    return replace(members, learners=(*kept, learner))


def promote(members: Members, learner: Learner) -> Members:
    """
    Return members in which a learner has become a voter that replaces `learner.replaces`.

    Until this change is committed, decisions need majorities of both the old and the new voters
    (joint consensus). If the new voter were added first and the old voter removed later, a lost
    disk and its replacement would both count as voters: with three VMs, one disk lost twice in a
    row would leave two of four voters, permanently without a quorum. If the voters were exchanged
    in one step without joint consensus, two majorities without a common member could decide when
    the lost disk reappears.
    """
    kept = tuple(other for other in members.learners if other != learner)
    remaining_voters = tuple(voter for voter in members.voters if voter != learner.replaces)
    voters = (*remaining_voters, learner.replica)
    return replace(members, voters=voters, learners=kept, outgoing=members.voters)


def _add_learner(state: CoreState, learner: Learner) -> None:
    # What is known of the replica, and of the daemon's disk, may date from an earlier time as a
    # member.
    state.progress_by_replica.pop(learner.replica, None)
    state.non_member_by_daemon.pop(learner.replica.daemon, None)
    _change(state, with_learner(state.log.members, learner))


def _remove_learner(state: CoreState, learner: Learner) -> None:
    members = state.log.members
    kept = tuple(other for other in members.learners if other != learner)
    _change(state, replace(members, learners=kept))
    state.progress_by_replica.pop(learner.replica, None)


def _change(state: CoreState, members: Members) -> None:
    index = state.log.last_index + 1
    append(state, (Entry(index, state.hard_state.term, MEMBERS, encode(members)),))


__all__ = [
    "holders",
    "is_caught_up",
    "may_change",
    "on_bootstrap",
    "on_remove_learner",
    "on_replace",
    "on_replica_seen",
    "on_tick",
    "promote",
    "with_learner",
]
