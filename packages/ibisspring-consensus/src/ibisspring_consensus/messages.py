"""Messages between the replicas of the replicated log, and the log entries that they carry."""

from __future__ import annotations

from dataclasses import dataclass, field

from ibisspring_core.messages.codec import KindCodec

NOOP = "noop"
COMMAND = "command"
MEMBERS = "members"


@dataclass(frozen=True, order=True)
class ReplicaId:
    """
    A replica: a daemon together with its disk.

    :param daemon: id of the daemon.
    :param disk_id: random id created at the first use of an empty folder; a wiped disk gets
        another.
    """

    daemon: str
    disk_id: str


@dataclass(frozen=True)
class Entry:
    """
    One entry of the log.

    :param index: log index, starting at 1.
    :param term: term of the leader that appended it.
    :param kind: `noop`, `command` or `members`.
    :param data: command for the state machine, or the encoded `Members`; empty for `noop`.
    """

    index: int
    term: int
    kind: str
    data: bytes = b""


@dataclass(frozen=True)
class Learner:
    """
    A replica that receives the log and is not counted in a quorum.

    :param replica: the learner.
    :param replaces: the voter that is removed when the learner is promoted; None only adds a voter.
    """

    replica: ReplicaId
    replaces: ReplicaId | None = None


@dataclass(frozen=True)
class Members:
    """
    The replicas of the cluster, in force as soon as their entry is appended to the log.

    :param voters: replicas that are counted in every quorum.
    :param learners: replicas that receive the log before they become voters.
    :param outgoing: the previous voters during a change (joint consensus): a quorum then needs a
        majority of these and a majority of `voters`.
    :param cluster: random id created when the cluster was bootstrapped.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[Learner, ...] = ()
    outgoing: tuple[ReplicaId, ...] = ()
    cluster: str = ""


@dataclass(frozen=True)
class HardState:
    """
    Durable state besides the log: term and vote.

    :param term: newest term in which the replica took part.
    :param voted_for: the candidate for which it voted in that term.
    """

    term: int = 0
    voted_for: ReplicaId | None = None


@dataclass(frozen=True)
class SnapshotMeta:
    """
    Metadata of a snapshot.

    :param index: index of the last log entry that the snapshot includes.
    :param term: term of that entry.
    :param members: members in force at that index.
    :param size: size of the state machine's data in bytes.
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
    A candidate requests a vote.

    :param term: the candidate's term; for a pre-vote the term that it would start.
    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of that entry.
    :param pre: pre-vote: asks whether a vote would be granted; the receiver persists nothing.
    :param transfer: the previous leader resigned its lease in favour of this candidate.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True)
class VoteReply:
    """
    Reply to a `VoteRequest`.

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
    The leader's heartbeat, with the entries that the follower lacks.

    :param previous_index: index before the first entry.
    :param previous_term: term of the entry at `previous_index`.
    :param round: heartbeat round; replies from a quorum prove leadership at the start of the round.
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
    Reply to an `AppendRequest`.

    :param match_index: on success, the log is synced and equal to the leader's up to this index; on
        failure, the last index that may match.
    :param previous_index: copied from the request, to distinguish a delayed failure from a new one.
    :param round: copied from the request.
    """

    term: int
    success: bool
    match_index: int
    previous_index: int
    round: int


@dataclass(frozen=True)
class SnapshotChunk:
    """
    A part of a snapshot, for a follower that lacks entries which the leader's log no longer holds.

    :param offset: position of `data` in the snapshot, in bytes.
    """

    term: int
    meta: SnapshotMeta
    offset: int
    round: int
    data: bytes = b""


@dataclass(frozen=True)
class SnapshotReply:
    """
    Reply to a `SnapshotChunk`.

    :param index: index of the snapshot.
    :param offset: bytes received so far.
    :param installed: whether the complete snapshot is synced and installed.
    """

    term: int
    index: int
    offset: int
    installed: bool
    round: int


@dataclass(frozen=True)
class TimeoutNow:
    """The leader resigned its lease and asks the receiver to campaign at once."""

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
