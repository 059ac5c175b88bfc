"""
Input and output of the consensus core: events that it processes and effects that it returns.

Its caller creates the events (a received message, a finished sync) and carries out the effects
(send a message, write to disk).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_consensus.messages import (
        Entry,
        HardState,
        Members,
        Message,
        ReplicaId,
        SnapshotMeta,
    )


@dataclass(frozen=True)
class Tick:
    """The tick interval has passed; the core checks time-outs and sends due heartbeats."""


@dataclass(frozen=True)
class Received:
    """
    A message from another replica arrived.

    :param target: the replica to which the message is addressed; the same daemon with another disk
        ignores the message.
    """

    sender: ReplicaId
    target: ReplicaId
    message: Message


@dataclass(frozen=True)
class Persisted:
    """All `Persist` and `InstallSnapshot` effects up to `sequence` are synced to disk."""

    sequence: int


@dataclass(frozen=True)
class Propose:
    """
    Append commands to the log if this replica is the leader.

    :param commands: pairs of a number, which the caller assigns and the effects `Proposed` and
        `ProposalRefused` return, and the command.
    """

    commands: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True)
class ConfirmRead:
    """
    Confirm with a quorum that this replica is still the leader, so that a read is not stale.

    :param read: number of the read, which the caller assigns and the effects `ReadConfirmed` and
        `ReadRefused` return.
    """

    read: int


@dataclass(frozen=True)
class SnapshotTaken:
    """
    A snapshot that this replica took of its state machine is synced to disk.

    :param meta: metadata of the snapshot.
    :param keep_from: index of the first log entry to keep; earlier entries may be removed.
    """

    meta: SnapshotMeta
    keep_from: int


@dataclass(frozen=True)
class ReplicaSeen:
    """
    A daemon answered a call and reported its present disk.

    :param replica: the daemon with the disk id that it reported.
    :param cluster: id of the cluster that the disk belongs to; empty for none.
    """

    replica: ReplicaId
    cluster: str


@dataclass(frozen=True)
class Replace:
    """
    Replace a voter as an operator or the automatic repair requests.

    :param new: the replica to add.
    :param old: the voter to remove; None only adds `new`.
    """

    new: ReplicaId
    old: ReplicaId | None


@dataclass(frozen=True)
class RemoveLearner:
    """Give up a learner that does not catch up, so that another replica can take its place."""

    learner: ReplicaId


@dataclass(frozen=True)
class Bootstrap:
    """Bootstrap a cluster with these voters; ignored by a replica that already holds state."""

    members: Members


@dataclass(frozen=True)
class Resign:
    """Step down as leader and ask the voter with the highest match index to campaign."""


Event = (
    Tick
    | Received
    | Persisted
    | Propose
    | ConfirmRead
    | SnapshotTaken
    | ReplicaSeen
    | Replace
    | RemoveLearner
    | Bootstrap
    | Resign
)


@dataclass(frozen=True)
class Persist:
    """
    Sync a change of the durable state to disk, then report `Persisted`.

    :param sequence: changes are synced in the order of these numbers.
    :param hard_state: term and vote to write before the log; None leaves them as they are.
    :param truncate_from: index of the first log entry to remove; 0 removes none.
    :param entries: entries to append to the log after the removal.
    """

    sequence: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class InstallSnapshot:
    """
    Sync a received snapshot, restore the state machine from it, then report `Persisted`.

    :param sequence: number to report, in the same sequence as those of `Persist`.
    :param meta: metadata of the snapshot.
    :param data: the state machine's encoded state.
    :param entries: the log's entries after the snapshot's index.
    """

    sequence: int
    meta: SnapshotMeta
    data: bytes
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Send:
    """Send a message to another replica; the message may be lost."""

    target: ReplicaId
    message: Message


@dataclass(frozen=True)
class Apply:
    """Apply committed entries to the state machine; each is passed once, in log order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Proposed:
    """
    A proposed command was appended to the leader's log and may be committed later.

    :param number: number of the command in its `Propose` event.
    :param index: log index of the command's entry.
    :param term: term of the command's entry.
    """

    number: int
    index: int
    term: int


@dataclass(frozen=True)
class ProposalRefused:
    """A proposed command was not appended to any log: this replica is not the leader."""

    number: int


@dataclass(frozen=True)
class ReadConfirmed:
    """
    A quorum confirmed that this replica was still the leader after the read was requested.

    :param index: the entries up to this index are applied, and state read after them is current.
    """

    read: int
    index: int


@dataclass(frozen=True)
class ReadRefused:
    """A read was not confirmed, because this replica is not the leader."""

    read: int


@dataclass(frozen=True)
class BecameLeader:
    """This replica became the leader of `term`."""

    term: int


@dataclass(frozen=True)
class SteppedDown:
    """
    This replica is no longer the leader.

    :param term: this replica's term when it stepped down.
    :param cause: why it stepped down, for the daemon's log.
    """

    term: int
    cause: str


Effect = (
    Persist
    | InstallSnapshot
    | Send
    | Apply
    | Proposed
    | ProposalRefused
    | ReadConfirmed
    | ReadRefused
    | BecameLeader
    | SteppedDown
)

__all__ = [
    "Apply",
    "BecameLeader",
    "Bootstrap",
    "ConfirmRead",
    "Effect",
    "Event",
    "InstallSnapshot",
    "Persist",
    "Persisted",
    "ProposalRefused",
    "Propose",
    "Proposed",
    "ReadConfirmed",
    "ReadRefused",
    "Received",
    "RemoveLearner",
    "Replace",
    "ReplicaSeen",
    "Resign",
    "Send",
    "SnapshotTaken",
    "SteppedDown",
    "Tick",
]
