"""
The consensus core: a pure state machine of one replica.

It has no network, clock, disk or task of its own: an event goes in with the time at which it
happened, effects come out and are carried out in their order. What must last is asked for by
`Persist`; whatever promises it is sent only after `Persisted` came back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_consensus import election, following, membership, replication
from ibisspring_consensus.events import (
    Bootstrap,
    ConfirmRead,
    Effect,
    Event,
    Persisted,
    Propose,
    Received,
    Replace,
    ReplicaSeen,
    Resign,
    Send,
    SnapshotTaken,
    Tick,
)
from ibisspring_consensus.lease import begin_read, lease_until, settle_reads
from ibisspring_consensus.log import Log
from ibisspring_consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    HardState,
    Members,
    Message,
    ReplicaId,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from ibisspring_consensus.state import LEADER, CoreConfig, CoreState, reset_election

if TYPE_CHECKING:
    import random

_ON_MESSAGE = {
    VoteRequest: election.on_vote_request,
    VoteReply: election.on_vote_reply,
    TimeoutNow: election.on_timeout_now,
    AppendRequest: following.on_append_request,
    SnapshotChunk: following.on_snapshot_chunk,
    AppendReply: replication.on_append_reply,
    SnapshotReply: replication.on_snapshot_reply,
}


@dataclass(frozen=True)
class StoredState:
    """
    What a disk gives back at the start.

    :param base_index: entries begin after it.
    """

    hard: HardState
    snapshot: SnapshotMeta
    base_index: int
    base_term: int
    entries: tuple[Entry, ...]


class Core:
    """The state of one replica and the one way to change it."""

    def __init__(self, state: CoreState) -> None:
        self.state = state

    @classmethod
    def from_stored(
        cls,
        replica: ReplicaId,
        config: CoreConfig,
        stored: StoredState,
        randomness: random.Random,
        now: float,
    ) -> Core:
        """
        Start a replica from what its disk holds.

        :param now: when the process started, in seconds on the lease clock; counted from later,
            a whole system that starts again would elect its leader by as much later.
        :return: the core, as a follower.
        """
        log = Log.from_entries(stored.snapshot, stored.base_index, stored.base_term, stored.entries)
        state = CoreState(
            replica=replica,
            config=config,
            randomness=randomness,
            hard=stored.hard,
            log=log,
            commit_index=stored.snapshot.index,
            now=now,
            started_at=now,
            election_at=now,
            synced_index=log.last_index,
        )
        reset_election(state)
        return cls(state)

    def step(self, event: Event, now: float) -> tuple[Effect, ...]:
        """
        Take in one event.

        :param event: what happened.
        :param now: when, in seconds on the lease clock; never runs backwards.
        :return: effects, to be carried out in this order.
        """
        state = self.state
        state.now = max(state.now, now)
        self._handle(event)
        replication.commit(state)
        settle_reads(state)
        effects = tuple(state.effects)
        state.effects.clear()
        return effects

    def _handle(self, event: Event) -> None:
        state = self.state
        match event:
            case Tick():
                election.on_tick(state)
                replication.on_tick(state)
                membership.on_tick(state)
            case Received():
                self._receive(event)
            case Persisted():
                self._persisted(event.sequence)
            case Propose():
                replication.on_propose(state, event)
            case ConfirmRead():
                if begin_read(state, event):
                    replication.broadcast(state)
            case SnapshotTaken():
                # One that the leader sent may have overtaken it; an older one in its place would
                # put older members in force.
                if event.meta.index > state.log.snapshot.index:
                    state.log.compact(event.meta, event.keep_from)
            case ReplicaSeen():
                membership.on_replica_seen(state, event)
            case Replace():
                membership.on_replace(state, event)
            case Bootstrap():
                membership.on_bootstrap(state, event)
            case Resign():
                replication.on_resign(state)

    def _receive(self, event: Received) -> None:
        # A message to an earlier disk of this daemon is not for this replica: answered, it would
        # let a wiped voter vote a second time in a term, or count for entries that it lost.
        if event.target != self.state.replica:
            return
        self._deliver(event.sender, event.message)

    def _deliver(self, sender: ReplicaId, message: Message) -> None:
        was_leader = self.state.role == LEADER
        _ON_MESSAGE[type(message)](self.state, sender, message)
        if self.state.role == LEADER and not was_leader:
            replication.broadcast(self.state)

    def _persisted(self, sequence: int) -> None:
        state = self.state
        while state.pending and state.pending[0].sequence <= sequence:
            pending = state.pending.pop(0)
            state.synced_index = max(state.synced_index, pending.last_index)
            for target, message in pending.messages:
                if target == state.replica:
                    self._deliver(target, message)
                    continue
                state.effects.append(Send(target, message))

    @property
    def is_leader(self) -> bool:
        return self.state.role == LEADER

    @property
    def term(self) -> int:
        return self.state.hard.term

    @property
    def members(self) -> Members:
        return self.state.log.members

    @property
    def snapshot(self) -> SnapshotMeta:
        return self.state.log.snapshot

    @property
    def cluster(self) -> str:
        """Id of the cluster whose log this replica holds; empty for none."""
        return self.state.log.members.cluster

    @property
    def is_empty(self) -> bool:
        """Whether this replica never took part in a cluster."""
        return not self.state.hard.term and not self.state.log.last_index

    def lease_until(self) -> float:
        """
        Find the end of this replica's lease as leader.

        :return: seconds on the lease clock; 0.0 without a lease.
        """
        return lease_until(self.state)


__all__ = ["Core", "StoredState"]
