"""Who decides: majorities of the voters, of the old and the new ones while they change."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_consensus.messages import Members, ReplicaId


def groups(members: Members) -> tuple[tuple[ReplicaId, ...], ...]:
    """
    List the groups of voters that each must give a majority.

    :param members: members in force.
    :return: the voters, and those that they replace while the change is under way.
    """
    if members.outgoing:
        return (members.voters, members.outgoing)
    return (members.voters,)


def counts(members: Members, replica: ReplicaId) -> bool:
    """
    Tell whether a replica counts in a quorum.

    :param members: members in force.
    :param replica: the disk is part of it: a wiped one does not count as its old self.
    :return: whether it is a voter.
    """
    return replica in members.voters or replica in members.outgoing


def is_quorum(members: Members, replicas: set[ReplicaId]) -> bool:
    """
    Tell whether replicas are a quorum.

    :param members: members in force.
    :param replicas: those that agree.
    :return: whether they are a majority of each group.
    """
    return all(
        sum(voter in replicas for voter in group) > len(group) // 2 for group in groups(members)
    )


def quorum_value(members: Members, value_of: Callable[[ReplicaId], int]) -> int:
    """
    Find the highest value that a quorum has reached.

    :param members: members in force.
    :param value_of: a rising number of each voter, such as a log position.
    :return: the value; 0 without voters.
    """
    if not members.voters:
        return 0
    reached = []
    for group in groups(members):
        values = sorted((value_of(voter) for voter in group), reverse=True)
        reached.append(values[len(group) // 2])
    return min(reached)


def everyone(members: Members) -> tuple[ReplicaId, ...]:
    """
    List all replicas that receive the log.

    :param members: members in force.
    :return: voters, outgoing voters and learners, each once.
    """
    learners = tuple(learner.replica for learner in members.learners)
    return tuple(dict.fromkeys(members.voters + members.outgoing + learners))


__all__ = ["counts", "everyone", "groups", "is_quorum", "quorum_value"]
