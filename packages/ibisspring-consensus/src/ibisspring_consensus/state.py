"""The state of a replica's consensus core, and functions that the core's modules share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_consensus.events import (
    Apply,
    Effect,
    Persist,
    ReadRefused,
    Send,
    SteppedDown,
)
from ibisspring_consensus.messages import (
    Entry,
    HardState,
    Members,
    Message,
    ReplicaId,
    VoteReply,
)
from ibisspring_consensus.quorum import all_replicas

if TYPE_CHECKING:
    import random

    from ibisspring_consensus.log import Log
    from ibisspring_core.settings import ControlSettings

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"
TICKS_PER_HEARTBEAT = 4


@dataclass(frozen=True)
class CoreConfig:
    """
    Times and sizes of the consensus core.

    :param heartbeat_s: seconds between heartbeat rounds.
    :param election_timeout_s: minimum time without contact from a leader before an election, in
        seconds.
    :param election_spread: maximum random addition to the election timeout, as a share of this
        timeout. Candidates whose timeouts differ by less than the delivery time of a vote split the
        votes.
    :param leader_lease_s: duration of the leader lease in seconds, from the start of a heartbeat
        round; less than the election timeout, so that the difference covers clocks that run at
        different rates.
    :param max_append_bytes: maximum bytes of log entries in one message.
    :param max_in_flight: maximum number of unacknowledged messages with entries per follower.
    :param chunk_bytes: maximum bytes of a snapshot in one message.
    """

    heartbeat_s: float = 0.2
    election_timeout_s: float = 1.0
    election_spread: float = 1.0
    leader_lease_s: float = 0.8
    max_append_bytes: int = 512 * 1024
    max_in_flight: int = 16
    chunk_bytes: int = 256 * 1024

    @classmethod
    def from_config(cls, control: ControlSettings) -> CoreConfig:
        """
        Build the configuration with the times from a control daemon's settings.

        The sizes and the election spread keep their defaults.

        :param control: validated settings of the control role.
        """
        return cls(
            heartbeat_s=control.heartbeat_s,
            election_timeout_s=control.election_timeout_s,
            leader_lease_s=control.leader_lease_s,
        )

    @property
    def tick_s(self) -> float:
        """Seconds between `Tick` events."""
        return self.heartbeat_s / TICKS_PER_HEARTBEAT


# Times for replicated logs between whose VMs a message takes about a millisecond. With these times
# a failed leader is replaced, and a restarted system serves requests, 0.5 s sooner than with the
# defaults above. The random spread of election timeouts is 0.28 s, many times the delivery time of
# a vote.
LOW_LATENCY_CONFIG = CoreConfig(
    heartbeat_s=0.15, election_timeout_s=0.7, leader_lease_s=0.55, election_spread=0.4
)


@dataclass
class Progress:
    """
    The leader's record of another replica and its log.

    :param match_index: the replica's log is synced and equal to the leader's up to this index.
    :param next_index: index of the next entry to send.
    :param in_flight: number of messages with entries that were sent and not acknowledged.
    :param probing: whether the match index is not known, so that only one message with entries is
        sent at a time.
    :param acked_round: newest heartbeat round that the replica acknowledged.
    :param added_at: time at which the leader began to send the log to the replica, in seconds on
        the lease clock.
    :param replied_at: time of the replica's last reply, in seconds on the lease clock.
    :param advanced_at: time at which the replica last reported a part of the log or of a snapshot
        that it had not reported before, in seconds on the lease clock.
    :param chunk_sent_at: time at which the last snapshot chunk was sent, in seconds on the lease
        clock.
    :param snapshot_index: log index of the snapshot that is being sent; 0 for none.
    :param snapshot_offset: number of bytes of this snapshot that the replica received.
    """

    match_index: int
    next_index: int
    in_flight: int = 0
    probing: bool = True
    acked_round: int = 0
    added_at: float = 0.0
    replied_at: float = 0.0
    advanced_at: float = 0.0
    chunk_sent_at: float = 0.0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass
class PendingRead:
    """
    A read that waits until a quorum acknowledges a heartbeat round that started after the request.

    :param read: number of the read, assigned by the caller.
    :param round: number of the heartbeat round that a quorum has to acknowledge.
    :param index: log index that has to be committed before the read is confirmed.
    """

    read: int
    round: int
    index: int


@dataclass
class PendingPersist:
    """
    Consequences of the sync of one `Persist` or `InstallSnapshot` effect.

    :param sequence: sequence number of the effect.
    :param last_index: index up to which the log is synced once the effect is synced.
    :param messages: messages to send after the sync, each with its target.
    """

    sequence: int
    last_index: int
    messages: list[tuple[ReplicaId, Message]] = field(default_factory=list)


@dataclass
class CoreState:
    """
    State of a replica's consensus core; all times are seconds on the lease clock (`boot_now`).

    :param hard_state: newest term and the vote in it, as they were last passed to `persist`.
    :param now: time of the event that is being processed.
    :param started_at: start time of this process.
    :param election_due_at: time of the next election unless a leader contacts this replica earlier.
    :param synced_index: index up to which this replica's log is synced to disk.
    :param leader_contact_at: time at which a leader last contacted this replica; None for never.
    :param probe_due_at: time of the next probe for a leader after a restart.
    :param idle_replies: replies of idle voters in the current term, by replica.
    :param round: number of the heartbeat round that this leader started last.
    :param round_sent_at: start time of each heartbeat round, by its number.
    :param leader_since: time at which this replica became leader.
    :param noop_index: index of the no-op entry with which this leader began its term.
    :param reads: reads that are not yet confirmed.
    :param sequence: sequence number of the last persist effect.
    :param pending: effects that are not yet synced to disk, with the messages that wait for them.
    :param non_member_by_daemon: replica that last answered for a daemon and is not a member.
    :param learner_removed_at: time at which this leader last gave up a replica as a learner, in
        seconds on the lease clock.
    :param received_snapshot_data: bytes received so far of a snapshot from the leader.
    :param received_snapshot_index: log index of the snapshot that is being received; 0 for none.
    :param effects: effects of the event that is being processed.
    """

    replica: ReplicaId
    config: CoreConfig
    randomness: random.Random
    hard_state: HardState
    log: Log
    commit_index: int
    now: float
    started_at: float
    election_due_at: float
    synced_index: int
    role: str = FOLLOWER
    leader: ReplicaId | None = None
    leader_contact_at: float | None = None
    pre_votes: set[ReplicaId] = field(default_factory=set)
    votes: set[ReplicaId] = field(default_factory=set)
    probe_due_at: float = 0.0
    idle_replies: dict[ReplicaId, VoteReply] = field(default_factory=dict)
    transferred: bool = False
    progress_by_replica: dict[ReplicaId, Progress] = field(default_factory=dict)
    round: int = 0
    round_sent_at: dict[int, float] = field(default_factory=dict)
    leader_since: float = 0.0
    noop_index: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    sequence: int = 0
    pending: list[PendingPersist] = field(default_factory=list)
    non_member_by_daemon: dict[str, ReplicaId] = field(default_factory=dict)
    learner_removed_at: dict[ReplicaId, float] = field(default_factory=dict)
    received_snapshot_data: bytearray = field(default_factory=bytearray)
    received_snapshot_index: int = 0
    effects: list[Effect] = field(default_factory=list)


def other_replicas(members: Members, replica: ReplicaId) -> tuple[ReplicaId, ...]:
    """
    List the replicas to which a leader sends the log.

    :param members: the cluster's voters and learners that are in force.
    :param replica: the leader.
    :return: all voters and learners except the leader.
    """
    return tuple(other for other in all_replicas(members) if other != replica)


def send(state: CoreState, target: ReplicaId, message: Message) -> None:
    """Send a message at once, because it depends on no state that is not yet synced."""
    state.effects.append(Send(target, message))


def send_after_sync(state: CoreState, target: ReplicaId, message: Message) -> None:
    """
    Send a message once all state persisted so far is synced to disk.

    If a vote or an acknowledgement were sent before the sync, a crash could lose the state that it
    depends on. The result would be two votes of one replica in one term, or a committed entry that
    a majority does not hold.
    """
    if not state.pending:
        send(state, target, message)
        return
    state.pending[-1].messages.append((target, message))


def persist(
    state: CoreState,
    hard_state: HardState | None = None,
    truncate_from: int = 0,
    entries: tuple[Entry, ...] = (),
) -> None:
    """
    Change the durable state in memory and emit the effect that syncs the change to disk.

    :param hard_state: new term and vote; None leaves them as they are.
    :param truncate_from: index of the first log entry to remove; 0 removes none.
    :param entries: entries to append to the log after the removal.
    """
    state.sequence += 1
    if hard_state is not None:
        state.hard_state = hard_state
    if truncate_from:
        state.log.truncate(truncate_from)
        state.synced_index = min(state.synced_index, truncate_from - 1)
        for pending in state.pending:
            pending.last_index = min(pending.last_index, truncate_from - 1)
    state.log.append(entries)
    state.pending.append(PendingPersist(state.sequence, state.log.last_index))
    state.effects.append(Persist(state.sequence, hard_state, truncate_from, entries))


def reset_election(state: CoreState) -> None:
    """Set a random time for the next election, so that candidates seldom split the votes."""
    factor = 1.0 + state.config.election_spread * state.randomness.random()
    state.election_due_at = state.now + state.config.election_timeout_s * factor


def become_follower(state: CoreState, term: int, leader: ReplicaId | None, cause: str) -> None:
    """
    Become a follower in the same or a newer term; a leader that steps down refuses pending reads.

    :param leader: the leader to follow; None if it is not known.
    :param cause: why a leader steps down, for the daemon's log.
    """
    if term > state.hard_state.term:
        persist(state, HardState(term=term))
    if state.role == LEADER:
        state.effects.append(SteppedDown(state.hard_state.term, cause))
        state.effects.extend(ReadRefused(read.read) for read in state.reads)
        state.reads.clear()
        state.progress_by_replica.clear()
        state.learner_removed_at.clear()
        state.round_sent_at.clear()
    if state.role != FOLLOWER:
        reset_election(state)
    state.role = FOLLOWER
    state.leader = leader
    state.votes.clear()
    state.pre_votes.clear()


def commit_to(state: CoreState, index: int) -> None:
    """Advance the commit index to an index that the log holds, and apply the entries up to it."""
    if index <= state.commit_index:
        return
    state.effects.append(Apply(state.log.slice(state.commit_index + 1, index)))
    state.commit_index = index


__all__ = [
    "CANDIDATE",
    "FOLLOWER",
    "LEADER",
    "LOW_LATENCY_CONFIG",
    "CoreConfig",
    "CoreState",
    "PendingPersist",
    "PendingRead",
    "Progress",
    "become_follower",
    "commit_to",
    "other_replicas",
    "persist",
    "reset_election",
    "send",
    "send_after_sync",
]
