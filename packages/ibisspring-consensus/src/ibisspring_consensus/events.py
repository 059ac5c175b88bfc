"""The events that the consensus core processes and the effects that it returns."""

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
    """The tick interval has passed; checks time-outs and sends due heartbeats."""


@dataclass(frozen=True)
class Received:
    """
    A message arrived.

    :param sender: the replica that sent it.
    :param target: the replica to which it is addressed; the same daemon with another disk ignores
        it.
    :param message: the message.
    """

    sender: ReplicaId
    target: ReplicaId
    message: Message


@dataclass(frozen=True)
class Persisted:
    """All `Persist` and `InstallSnapshot` effects up to this sequence number are synced."""

    sequence: int


@dataclass(frozen=True)
class Propose:
    """
    Append commands to the log.

    :param commands: pairs of a number assigned by the caller and the command.
    """

    commands: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True)
class ConfirmRead:
    """
    Confirm with a quorum that this replica is still the leader.

    :param read: number assigned by the caller.
    """

    read: int


@dataclass(frozen=True)
class SnapshotTaken:
    """
    A snapshot of the state machine is synced.

    :param meta: the snapshot.
    :param keep_from: index of the first entry to keep; earlier ones may be removed.
    """

    meta: SnapshotMeta
    keep_from: int


@dataclass(frozen=True)
class ReplicaSeen:
    """
    A daemon answered with this disk id.

    :param replica: the daemon with its disk.
    :param cluster: the cluster that the disk belongs to; empty for none.
    """

    replica: ReplicaId
    cluster: str


@dataclass(frozen=True)
class Replace:
    """
    Replace a voter, requested by an operator or by the automatic repair.

    :param new: the replica to add.
    :param old: the voter to remove; None only adds `new`.
    """

    new: ReplicaId
    old: ReplicaId | None


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
    | Bootstrap
    | Resign
)


@dataclass(frozen=True)
class Persist:
    """
    Sync this change to disk, in the order of the sequence numbers, then report `Persisted`.

    :param hard_state: term and vote to write before the log; None leaves them.
    :param truncate_from: index of the first entry to remove; 0 removes none.
    :param entries: entries to append after that.
    """

    sequence: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class InstallSnapshot:
    """
    Sync a received snapshot, restore the state machine from it, then report `Persisted`.

    :param meta: the snapshot.
    :param data: the state machine's bytes.
    :param entries: the log's entries after the snapshot.
    """

    sequence: int
    meta: SnapshotMeta
    data: bytes
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Send:
    """Send a message; it may be lost."""

    target: ReplicaId
    message: Message


@dataclass(frozen=True)
class Apply:
    """Apply committed entries; each entry is passed once, in log order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Proposed:
    """
    The command was appended to the leader's log and may be committed.

    :param number: number of the proposal.
    """

    number: int
    index: int
    term: int


@dataclass(frozen=True)
class ProposalRefused:
    """The command was not appended to any log, because this replica is not the leader."""

    number: int


@dataclass(frozen=True)
class ReadConfirmed:
    """The state up to `index` was current after the read was requested; `index` is applied."""

    read: int
    index: int


@dataclass(frozen=True)
class ReadRefused:
    """The read was not confirmed, because this replica is not the leader."""

    read: int


@dataclass(frozen=True)
class BecameLeader:
    """This replica became the leader of `term`."""

    term: int


@dataclass(frozen=True)
class SteppedDown:
    """
    This replica is no longer the leader.

    :param term: its term when it stepped down.
    :param cause: reason, for the log.
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
    "Replace",
    "ReplicaSeen",
    "Resign",
    "Send",
    "SnapshotTaken",
    "SteppedDown",
    "Tick",
]
