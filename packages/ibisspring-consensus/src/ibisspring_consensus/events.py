"""What goes into the consensus core (events) and what comes out of it (effects)."""

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
    """Time went on."""


@dataclass(frozen=True)
class Received:
    """
    A message came in.

    :param target: the replica it was meant for; another disk under the same daemon ignores it.
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

    :param commands: pairs of a number that the caller chose and the command.
    """

    commands: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True)
class ConfirmRead:
    """Ask a quorum whether this replica still leads."""

    read: int


@dataclass(frozen=True)
class SnapshotTaken:
    """A snapshot of the state machine is synced; entries up to `keep_from` may go."""

    meta: SnapshotMeta
    keep_from: int


@dataclass(frozen=True)
class ReplicaSeen:
    """
    A daemon answered under this disk.

    :param cluster: the cluster that the disk belongs to; empty for none.
    """

    replica: ReplicaId
    cluster: str


@dataclass(frozen=True)
class Replace:
    """An operator asks that `new` takes the place of `old`; None only adds."""

    new: ReplicaId
    old: ReplicaId | None


@dataclass(frozen=True)
class Bootstrap:
    """Found a cluster of these voters; only on a replica without any state."""

    members: Members


@dataclass(frozen=True)
class Resign:
    """Give up leadership, to the best follower if there is one."""


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
    Make this last, in the order of the sequence numbers, then answer `Persisted`.

    :param hard_state: to be replaced first; None leaves it.
    :param truncate_from: entries from this index on are dropped; 0 drops none.
    """

    sequence: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class InstallSnapshot:
    """
    Make a received snapshot last, restore the state machine from it, then answer `Persisted`.

    :param entries: what the log holds after the snapshot.
    """

    sequence: int
    meta: SnapshotMeta
    data: bytes
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Send:
    """Send a message; losing it is allowed."""

    target: ReplicaId
    message: Message


@dataclass(frozen=True)
class Apply:
    """Committed entries, in order, each once."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Proposed:
    """The command stands in the leader's log and may commit."""

    number: int
    index: int
    term: int


@dataclass(frozen=True)
class ProposalRefused:
    """The command never entered a log: this replica does not lead."""

    number: int


@dataclass(frozen=True)
class ReadConfirmed:
    """State up to `index`, which is applied, was current after the read began."""

    read: int
    index: int


@dataclass(frozen=True)
class ReadRefused:
    """This replica does not lead any more."""

    read: int


@dataclass(frozen=True)
class BecameLeader:
    """This replica leads from here on."""

    term: int


@dataclass(frozen=True)
class SteppedDown:
    """This replica leads no more."""

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
