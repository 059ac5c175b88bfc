"""
The consensus core: the Raft state machine of one replica, without input or output.

The core uses no network, clock, disk or task. `Core.step` receives an event with its time and
returns effects (actions such as sending a message), which the caller carries out in order. The
effect `Persist` asks the caller to sync state to disk; messages that depend on that state are sent
only after the event `Persisted` reports the sync.
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
    RemoveLearner,
    Replace,
    ReplicaSeen,
    Resign,
    Send,
    SnapshotTaken,
    Tick,
)
from ibisspring_consensus.lease import begin_read, complete_reads, lease_until
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

_HANDLER_BY_MESSAGE_TYPE = {
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
    The state of a replica as read from disk when its process starts.

    :param hard_state: newest term of the replica, and its vote in this term.
    :param snapshot: metadata of the newest snapshot.
    :param base_index: log index just before the first stored entry.
    :param base_term: term of the entry at `base_index`.
    :param entries: all stored log entries after `base_index`, without gaps.
    """

    hard_state: HardState
    snapshot: SnapshotMeta
    base_index: int
    base_term: int
    entries: tuple[Entry, ...]


class Core:
    """The consensus state of one replica; only `step` changes it."""

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
        Restore a replica, as a follower, from the state on its disk.

        :param replica: daemon and disk id of this replica.
        :param config: times and sizes of the core, such as the election timeout.
        :param stored: state as read from disk.
        :param randomness: source of the random election timeouts.
        :param now: start of the process, in seconds on the lease clock (`boot_now`). With a
            later time, a cluster whose processes all restart would elect its leader later by the
            difference.
        """
        log = Log.from_entries(stored.snapshot, stored.base_index, stored.base_term, stored.entries)
        state = CoreState(
            replica=replica,
            config=config,
            randomness=randomness,
            hard_state=stored.hard_state,
            log=log,
            commit_index=stored.snapshot.index,
            now=now,
            started_at=now,
            election_due_at=now,
            synced_index=log.last_index,
        )
        reset_election(state)
        return cls(state)

    def step(self, event: Event, now: float) -> tuple[Effect, ...]:
        """
        Process one event and return the effects that the caller has to carry out.

        :param now: time of the event in seconds on the lease clock (`boot_now`); a time before that
            of the previous event counts as the time of the previous event.
        :return: the effects, to be carried out in this order.
        """
        state = self.state
        state.now = max(state.now, now)
        self._handle_event(event)
        replication.commit(state)
        complete_reads(state)
        effects = tuple(state.effects)
        state.effects.clear()
        return effects

    def _handle_event(self, event: Event) -> None:
        state = self.state
        match event:
            case Tick():
                election.on_tick(state)
                replication.on_tick(state)
                membership.on_tick(state)
            case Received():
                self._on_received(event)
            case Persisted():
                self._on_persisted(event.sequence)
            case Propose():
                replication.on_propose(state, event)
            case ConfirmRead():
                if begin_read(state, event):
                    replication.broadcast(state)
            case SnapshotTaken():
                # While this snapshot was being written, a newer one from the leader may have been
                # installed. Going back to the older snapshot would put the older membership that
                # it contains in force.
                if event.meta.index > state.log.snapshot.index:
                    state.log.compact(event.meta, event.keep_from)
            case ReplicaSeen():
                membership.on_replica_seen(state, event)
            case Replace():
                membership.on_replace(state, event)
            case RemoveLearner():
                membership.on_remove_learner(state, event)
            case Bootstrap():
                membership.on_bootstrap(state, event)
            case Resign():
                replication.on_resign(state)

    def _on_received(self, event: Received) -> None:
        # Ignore messages addressed to a disk that this daemon used before its present one. If this
        # replica answered them, a voter whose disk was wiped could vote twice in one term, or
        # acknowledge entries that it lost with the disk.
        if event.target != self.state.replica:
            return
        self._handle_message(event.sender, event.message)

    def _handle_message(self, sender: ReplicaId, message: Message) -> None:
        was_leader = self.state.role == LEADER
        _HANDLER_BY_MESSAGE_TYPE[type(message)](self.state, sender, message)
        if self.state.role == LEADER and not was_leader:
            replication.broadcast(self.state)

    def _on_persisted(self, sequence: int) -> None:
        state = self.state
        while state.pending and state.pending[0].sequence <= sequence:
            pending = state.pending.pop(0)
            state.synced_index = max(state.synced_index, pending.last_index)
            for target, message in pending.messages:
                if target == state.replica:
                    self._handle_message(target, message)
                    continue
                state.effects.append(Send(target, message))

    @property
    def is_leader(self) -> bool:
        return self.state.role == LEADER

    @property
    def term(self) -> int:
        return self.state.hard_state.term

    @property
    def members(self) -> Members:
        return self.state.log.members

    @property
    def snapshot(self) -> SnapshotMeta:
        return self.state.log.snapshot

    @property
    def cluster(self) -> str:
        """Id of the cluster whose log this replica holds; empty if it belongs to none."""
        return self.state.log.members.cluster

    @property
    def is_empty(self) -> bool:
        """Whether this replica has never taken part in a cluster."""
        return not self.state.hard_state.term and not self.state.log.last_index

    def lease_until(self) -> float:
        """
        Return the end of this replica's leader lease, until which no other replica holds one.

        :return: seconds on the lease clock; 0.0 if this replica holds no lease.
        """
        return lease_until(self.state)


__all__ = ["Core", "StoredState"]
