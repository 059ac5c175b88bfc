"""Changes of the members, one at a time."""

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
from ibisspring_consensus.quorum import everyone
from ibisspring_consensus.replication import append
from ibisspring_consensus.state import (
    LEADER,
    CoreState,
    persist,
)
from ibisspring_core.messages.codec import encode

if TYPE_CHECKING:
    from ibisspring_consensus.events import Bootstrap, Replace, ReplicaSeen


def on_bootstrap(state: CoreState, event: Bootstrap) -> None:
    """Found a cluster: the members entry is the first of the log, under the first term."""
    if state.hard.term or state.log.last_index:
        return
    entry = Entry(1, 1, MEMBERS, encode(event.members))
    persist(state, HardState(term=1), entries=(entry,))


def on_replica_seen(state: CoreState, event: ReplicaSeen) -> None:
    """
    Remember a daemon of the members that answered under another disk.

    A disk of another cluster is not taken in: its log holds other commands at the same places. One
    of this cluster is, also when it holds a part of the log: a learner whose entry was overwritten
    by the next leader would otherwise stay outside until somebody empties its disk again.
    """
    if event.replica in everyone(state.log.members):
        state.seen_by_daemon.pop(event.replica.daemon, None)
        return
    if event.cluster in ("", state.log.members.cluster):
        state.seen_by_daemon[event.replica.daemon] = event.replica


def may_change(state: CoreState) -> bool:
    """
    Tell whether the members may change now.

    The change before must be committed, and an entry of this leader's term as well: two leaders
    that each changed the members on top of a different uncommitted change could each find a
    majority of its own.
    """
    return (
        state.role == LEADER
        and state.commit_index >= state.noop_index
        and state.commit_index >= state.log.members_index
    )


def on_tick(state: CoreState) -> None:
    """Take the next step of a replacement that is under way, or begin one."""
    if not may_change(state):
        return
    members = state.log.members
    if members.outgoing:
        _change(state, replace(members, outgoing=()))
        return
    for learner in members.learners:
        if not caught_up(state, learner.replica):
            continue
        _change(state, promote(members, learner))
        return
    for voter in members.voters:
        seen = state.seen_by_daemon.pop(voter.daemon, None)
        if seen is None or seen.disk_id == voter.disk_id:
            continue
        _change(state, with_learner(members, Learner(seen, replaces=voter)))
        return


def on_replace(state: CoreState, event: Replace) -> bool:
    """
    Begin a replacement that an operator asked for.

    :return: whether it was begun.
    """
    members = state.log.members
    if not may_change(state) or event.new in everyone(members):
        return False
    if event.old is not None and event.old not in members.voters:
        return False
    _change(state, with_learner(members, Learner(event.new, replaces=event.old)))
    return True


def caught_up(state: CoreState, replica: ReplicaId) -> bool:
    """
    Tell whether a learner holds all that is committed, synced, and answers.

    Promoted earlier, it would count in a majority that does not hold an accepted write: a second VM
    lost right after the repair would take that write with it.
    """
    progress = state.progress_by_replica.get(replica)
    if progress is None or progress.match_index < state.commit_index:
        return False
    return state.now < progress.answered_at + state.config.election_timeout_s


def with_learner(members: Members, learner: Learner) -> Members:
    """Add a learner in place of any other for the same daemon."""
    kept = tuple(
        other for other in members.learners if other.replica.daemon != learner.replica.daemon
    )
    return replace(members, learners=(*kept, learner))


def promote(members: Members, learner: Learner) -> Members:
    """
    Turn a learner into a voter, in the place of the one that it replaces.

    Old and new voters decide together until this is committed. Adding first and removing later
    would count a lost disk and its replacement at once: with three VMs, one disk lost twice in a
    row left two of four, for ever. Exchanged in one step, two majorities without a common member
    could decide where the lost disk turns up after all.
    """
    kept = tuple(other for other in members.learners if other != learner)
    stay = tuple(voter for voter in members.voters if voter != learner.replaces)
    voters = (*stay, learner.replica)
    return replace(members, voters=voters, learners=kept, outgoing=members.voters)


def _change(state: CoreState, members: Members) -> None:
    index = state.log.last_index + 1
    append(state, (Entry(index, state.hard.term, MEMBERS, encode(members)),))


__all__ = [
    "caught_up",
    "may_change",
    "on_bootstrap",
    "on_replace",
    "on_replica_seen",
    "on_tick",
    "promote",
    "with_learner",
]
