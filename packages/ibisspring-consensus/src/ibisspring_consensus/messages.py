"""Messages between the replicas of a replicated log, and the log entries in these messages."""

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
    :param disk_id: random id created at the first use of the replica's empty folder; after a disk
        was wiped, the folder gets another id.
    """

    daemon: str
    disk_id: str


@dataclass(frozen=True)
class Entry:
    """
    One entry of the replicated log.

    :param index: log index, starting at 1.
    :param term: term of the leader that appended the entry.
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

    :param replica: daemon and disk id of the learner.
    :param replaces: the voter that is removed when the learner becomes a voter; None to remove no
        voter.
    """

    replica: ReplicaId
    replaces: ReplicaId | None = None


@dataclass(frozen=True)
class Members:
    """
    The replicas of a cluster; in force as soon as the log entry with them is appended.

    :param voters: replicas that are counted in every quorum.
    :param learners: replicas that receive the log before they become voters.
    :param outgoing: during a membership change (joint consensus), the voters before the change: a
        quorum then needs a majority of these and a majority of `voters`.
    :param cluster: random id created when the cluster was bootstrapped.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[Learner, ...] = ()
    outgoing: tuple[ReplicaId, ...] = ()
    cluster: str = ""


@dataclass(frozen=True)
class HardState:
    """
    A replica's durable state besides the log: term and vote.

    :param term: newest term in which the replica took part.
    :param voted_for: the candidate for which the replica voted in that term; None for no vote.
    """

    term: int = 0
    voted_for: ReplicaId | None = None


@dataclass(frozen=True)
class SnapshotMeta:
    """
    Metadata of a snapshot of the state machine.

    :param index: index of the last log entry that the snapshot includes.
    :param term: term of the entry at `index`.
    :param members: members in force at `index`.
    :param size: size of the state machine's data in bytes.
    :param checksum: CRC-32 of the state machine's data.
    """

    index: int = 0
    term: int = 0
    members: Members = field(default_factory=Members)
    size: int = 0
    checksum: int = 0


@dataclass(frozen=True)
class VoteRequest:
    """
    A candidate requests a vote or a pre-vote.

    :param term: the candidate's term; for a pre-vote, the term that the candidate would start.
    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of the last entry in the candidate's log.
    :param pre: whether this is a pre-vote, which asks whether the receiver would grant a vote; the
        receiver persists nothing.
    :param transfer: whether no lease is in force: the previous leader resigned its lease in favour
        of this candidate, or all voters have said that they follow no leader.
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
    :param request_term: `term` of the `VoteRequest`.
    :param pre: whether this is the reply to a pre-vote.
    :param is_idle: in the reply to a pre-vote, whether the voter is a follower that has not heard
        from a leader within the election timeout, or since its start.
    :param last_index: index of the last entry in an idle voter's log.
    :param last_term: term of that entry.
    """

    term: int
    request_term: int
    granted: bool
    pre: bool = False
    is_idle: bool = False
    last_index: int = 0
    last_term: int = 0


@dataclass(frozen=True)
class AppendRequest:
    """
    The leader's heartbeat, with the log entries that the follower lacks.

    :param previous_index: log index just before the first of `entries`.
    :param previous_term: term of the entry at `previous_index`.
    :param round: number of the heartbeat round; replies from a quorum prove that the sender was
        still the leader at the start of the round.
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

    :param success: whether the follower's log matches the leader's at `previous_index`.
    :param match_index: on success, the follower's log is synced and equal to the leader's up to
        this index; on failure, the last index at which the two logs may match.
    :param previous_index: copied from the request, to distinguish a delayed failure from a new one.
    :param round: number of the heartbeat round, copied from the request.
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

    :param meta: metadata of the snapshot.
    :param offset: position of `data` in the snapshot, in bytes.
    :param round: number of the leader's current heartbeat round.
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

    :param index: log index of the snapshot, or the follower's commit index if that is already at
        or past the snapshot.
    :param offset: number of bytes of the snapshot that the follower received so far.
    :param installed: whether the complete snapshot is synced and installed.
    :param round: number of the heartbeat round, copied from the chunk.
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
