"""Typed messages between the replicas of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass, field

from ibisspring_core.messages.codec import KindCodec

NOOP = "noop"
COMMAND = "command"
MEMBERS = "members"


@dataclass(frozen=True, order=True)
class ReplicaId:
    """
    A replica is a daemon together with its disk.

    :param daemon: id of the daemon.
    :param disk_id: random id made when its empty folder was first used; a wiped disk has another.
    """

    daemon: str
    disk_id: str


@dataclass(frozen=True)
class Entry:
    """
    One entry of the log.

    :param index: position from 1.
    :param term: term of the leader that appended it.
    :param kind: `noop`, `command` or `members`.
    :param data: what the state machine applies, or the encoded `Members`.
    """

    index: int
    term: int
    kind: str
    data: bytes = b""


@dataclass(frozen=True)
class Learner:
    """
    A replica that receives the log and does not count.

    :param replaces: the voter that leaves once this one counts.
    """

    replica: ReplicaId
    replaces: ReplicaId | None = None


@dataclass(frozen=True)
class Members:
    """
    The replicas of the cluster, in force from the moment at which their entry is appended.

    :param voters: replicas that count in every quorum.
    :param learners: replicas that are being caught up.
    :param outgoing: the voters before, while they are being changed: a quorum then is a majority of
        these and a majority of `voters`.
    :param cluster: random id made when the cluster was founded.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[Learner, ...] = ()
    outgoing: tuple[ReplicaId, ...] = ()
    cluster: str = ""


@dataclass(frozen=True)
class HardState:
    """
    What a replica must not forget.

    :param term: newest term that it took part in.
    :param voted_for: whom it gave its vote in that term.
    """

    term: int = 0
    voted_for: ReplicaId | None = None


@dataclass(frozen=True)
class SnapshotMeta:
    """
    What a snapshot stands for.

    :param index: last log index that is in it.
    :param term: term of that entry.
    :param members: members in force at that index.
    :param size: bytes of the state machine's snapshot.
    :param checksum: CRC-32 of these bytes.
    """

    index: int = 0
    term: int = 0
    members: Members = field(default_factory=Members)
    size: int = 0
    checksum: int = 0


@dataclass(frozen=True)
class VoteRequest:
    """
    A candidate asks for a vote.

    :param term: the term that it would lead.
    :param pre: only asks whether a vote would be given; nothing is promised or persisted.
    :param transfer: the old leader gave up its lease in favour of this candidate.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True)
class VoteReply:
    """
    Answer to a `VoteRequest`.

    :param term: the voter's own term.
    :param request_term: term of the request.
    """

    term: int
    request_term: int
    granted: bool
    pre: bool = False


@dataclass(frozen=True)
class AppendRequest:
    """
    The leader's heartbeat, with entries where the follower lacks some.

    :param round: heartbeat round; its answers prove leadership at the time it was begun.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class AppendReply:
    """
    Answer to an `AppendRequest`.

    :param match_index: the log is synced and equal to the leader's up to here; on a failure the
        last index that may match.
    :param previous_index: echoed, to tell a late failure from a new one.
    """

    term: int
    success: bool
    match_index: int
    previous_index: int
    round: int


@dataclass(frozen=True)
class SnapshotChunk:
    """
    A piece of a snapshot, for a follower that is behind the log.

    :param offset: where `data` belongs, in bytes.
    """

    term: int
    meta: SnapshotMeta
    offset: int
    round: int
    data: bytes = b""


@dataclass(frozen=True)
class SnapshotReply:
    """
    Answer to a `SnapshotChunk`.

    :param index: last index of the snapshot.
    :param offset: bytes received so far.
    :param installed: the whole snapshot is synced and in force.
    """

    term: int
    index: int
    offset: int
    installed: bool
    round: int


@dataclass(frozen=True)
class TimeoutNow:
    """The leader gave up its lease and asks the receiver to campaign at once."""

    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)

MESSAGES = KindCodec.from_types(
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)

__all__ = [
    "COMMAND",
    "MEMBERS",
    "MESSAGES",
    "NOOP",
    "AppendReply",
    "AppendRequest",
    "Entry",
    "HardState",
    "Learner",
    "Members",
    "Message",
    "ReplicaId",
    "SnapshotChunk",
    "SnapshotMeta",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]
