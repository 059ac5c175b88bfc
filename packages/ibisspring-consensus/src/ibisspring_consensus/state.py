"""What a replica's consensus core knows, and the helpers that its parts share."""

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
from ibisspring_consensus.messages import Entry, HardState, Members, Message, ReplicaId
from ibisspring_consensus.quorum import everyone

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
    Times and sizes of the core.

    :param heartbeat_s: seconds between heartbeat rounds.
    :param election_timeout_s: least silence before an election.
    :param election_spread: most that is drawn on top of it, as a share of it; candidates that come
        closer together than a vote takes on its way tie.
    :param leader_lease_s: lease from the start of a round; under the election timeout, the
        difference covers clocks that run at different rates.
    :param max_append_bytes: most bytes of entries in one message.
    :param max_in_flight: messages with entries that may be unanswered per follower.
    :param chunk_bytes: size of a snapshot chunk.
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
        Take the times from the settings.

        :param control: checked settings of the control role.
        :return: the configuration.
        """
        return cls(
            heartbeat_s=control.heartbeat_s,
            election_timeout_s=control.election_timeout_s,
            leader_lease_s=control.leader_lease_s,
        )

    @property
    def tick_s(self) -> float:
        """Seconds between looks at the clock."""
        return self.heartbeat_s / TICKS_PER_HEARTBEAT


# For logs whose VMs stand about a millisecond apart: a dead leader is followed by the next one, and
# a system that was started again serves, 0.5 s sooner than with the figures above.
# The spread is 0.28 s, many times what a vote takes.
QUICK = CoreConfig(
    heartbeat_s=0.15, election_timeout_s=0.7, leader_lease_s=0.55, election_spread=0.4
)


@dataclass
class Progress:
    """
    What the leader knows of one other replica.

    :param match_index: synced there and equal to the leader's log.
    :param next_index: first index to send next.
    :param in_flight: messages with entries sent since the last answer.
    :param probing: where the logs agree is not known yet, so one message is sent at a time.
    :param acked_round: newest heartbeat round that it answered.
    :param answered_at: when it last answered.
    :param sent_at: when a snapshot chunk was last sent to it.
    :param snapshot_index: snapshot that is being sent to it; 0 for none.
    :param snapshot_offset: bytes of it that arrived.
    """

    match_index: int
    next_index: int
    in_flight: int = 0
    probing: bool = True
    acked_round: int = 0
    answered_at: float = 0.0
    sent_at: float = 0.0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass
class PendingRead:
    """A read that waits for a quorum's answers to a round begun after it."""

    read: int
    round: int
    index: int


@dataclass
class PendingPersist:
    """What is released once a persist effect is synced."""

    sequence: int
    last_index: int
    messages: list[tuple[ReplicaId, Message]] = field(default_factory=list)


@dataclass
class CoreState:
    """
    State of the core; `now` is the time of the event that is being handled.

    :param started_at: when this process started.
    :param synced_index: the log is synced up to here.
    :param heard_leader_at: when the leader of this term was last heard; None for never.
    :param round_sent_at: start time by heartbeat round.
    :param noop_index: first index of this leader's own term.
    :param seen_by_daemon: disk under which a daemon last answered that is not a member.
    :param incoming: snapshot that is being received.
    """

    replica: ReplicaId
    config: CoreConfig
    randomness: random.Random
    hard: HardState
    log: Log
    commit_index: int
    now: float
    started_at: float
    election_at: float
    synced_index: int
    role: str = FOLLOWER
    leader: ReplicaId | None = None
    heard_leader_at: float | None = None
    pre_votes: set[ReplicaId] = field(default_factory=set)
    votes: set[ReplicaId] = field(default_factory=set)
    transferred: bool = False
    progress_by_replica: dict[ReplicaId, Progress] = field(default_factory=dict)
    round: int = 0
    round_sent_at: dict[int, float] = field(default_factory=dict)
    led_since: float = 0.0
    noop_index: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    sequence: int = 0
    pending: list[PendingPersist] = field(default_factory=list)
    seen_by_daemon: dict[str, ReplicaId] = field(default_factory=dict)
    incoming: bytearray = field(default_factory=bytearray)
    incoming_index: int = 0
    effects: list[Effect] = field(default_factory=list)


def others(members: Members, replica: ReplicaId) -> tuple[ReplicaId, ...]:
    """
    List whom a leader sends the log to.

    :param members: members in force.
    :param replica: the leader.
    :return: voters and learners but itself.
    """
    return tuple(other for other in everyone(members) if other != replica)


def send(state: CoreState, target: ReplicaId, message: Message) -> None:
    """Send a message that promises nothing that is not synced yet."""
    state.effects.append(Send(target, message))


def send_after_sync(state: CoreState, target: ReplicaId, message: Message) -> None:
    """
    Send a message once all that was persisted so far is synced.

    A vote or an acknowledgement that leaves before the sync would be forgotten in a crash: two
    votes in one term, or a committed entry that a majority does not hold.
    """
    if not state.pending:
        send(state, target, message)
        return
    state.pending[-1].messages.append((target, message))


def persist(
    state: CoreState,
    hard: HardState | None = None,
    truncate_from: int = 0,
    entries: tuple[Entry, ...] = (),
) -> None:
    """Change what must last and ask for it to be made so."""
    state.sequence += 1
    if hard is not None:
        state.hard = hard
    if truncate_from:
        state.log.truncate(truncate_from)
        state.synced_index = min(state.synced_index, truncate_from - 1)
        for pending in state.pending:
            pending.last_index = min(pending.last_index, truncate_from - 1)
    state.log.append(entries)
    state.pending.append(PendingPersist(state.sequence, state.log.last_index))
    state.effects.append(Persist(state.sequence, hard, truncate_from, entries))


def reset_election(state: CoreState) -> None:
    """Draw the next election time; drawn, so that candidates seldom tie."""
    spread = 1.0 + state.config.election_spread * state.randomness.random()
    state.election_at = state.now + state.config.election_timeout_s * spread


def become_follower(state: CoreState, term: int, leader: ReplicaId | None, cause: str) -> None:
    """Follow, under a newer term or the same."""
    if term > state.hard.term:
        persist(state, HardState(term=term))
    if state.role == LEADER:
        state.effects.append(SteppedDown(state.hard.term, cause))
        state.effects.extend(ReadRefused(read.read) for read in state.reads)
        state.reads.clear()
        state.progress_by_replica.clear()
        state.round_sent_at.clear()
    if state.role != FOLLOWER:
        reset_election(state)
    state.role = FOLLOWER
    state.leader = leader
    state.votes.clear()
    state.pre_votes.clear()


def commit_to(state: CoreState, index: int) -> None:
    """Commit and apply up to an index that the log holds."""
    if index <= state.commit_index:
        return
    state.effects.append(Apply(state.log.slice(state.commit_index + 1, index)))
    state.commit_index = index


__all__ = [
    "CANDIDATE",
    "FOLLOWER",
    "LEADER",
    "QUICK",
    "CoreConfig",
    "CoreState",
    "PendingPersist",
    "PendingRead",
    "Progress",
    "become_follower",
    "commit_to",
    "others",
    "persist",
    "reset_election",
    "send",
    "send_after_sync",
]
