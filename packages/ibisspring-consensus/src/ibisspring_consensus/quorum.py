"""
Quorums: majorities of the voters.

During a membership change (joint consensus), a quorum needs majorities of both the old and the new
voters.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_consensus.messages import Members, ReplicaId


def voter_groups(members: Members) -> tuple[tuple[ReplicaId, ...], ...]:
    """
    List the groups of voters; a quorum needs a majority of each group.

    :param members: the cluster's voters and learners that are in force.
    :return: the voters and, during a membership change, the outgoing voters as a second group.
    """
    if members.outgoing:
        return (members.voters, members.outgoing)
    return (members.voters,)


def is_voter(members: Members, replica: ReplicaId) -> bool:
    """
    Return whether a replica is a voter.

    :param members: the cluster's voters and learners that are in force.
    :param replica: daemon and disk; the same daemon with a wiped disk is another replica.
    :return: whether the replica is a current or an outgoing voter.
    """
    return replica in members.voters or replica in members.outgoing


def is_quorum(members: Members, replicas: set[ReplicaId]) -> bool:
    """
    Return whether a set of replicas is a quorum.

    :param members: the cluster's voters and learners that are in force.
    :param replicas: the replicas that agreed, for example by a vote.
    :return: whether the replicas include a majority of each group of voters.
    """
    return all(
        sum(voter in replicas for voter in group) > len(group) // 2
        for group in voter_groups(members)
    )


def quorum_value(members: Members, value_of: Callable[[ReplicaId], int]) -> int:
    """
    Return the highest number that a quorum of voters has reached or passed.

    :param members: the cluster's voters and learners that are in force.
    :param value_of: returns a non-decreasing number of a voter, such as its match index.
    :return: the number; 0 without voters.
    """
    if not members.voters:
        return 0
    reached = []
    for group in voter_groups(members):
        values = sorted((value_of(voter) for voter in group), reverse=True)
        reached.append(values[len(group) // 2])
    return min(reached)


def all_replicas(members: Members) -> tuple[ReplicaId, ...]:
    """
    List all replicas that receive the log.

    :param members: the cluster's voters and learners that are in force.
    :return: voters, outgoing voters and learners; each replica once.
    """
    learners = tuple(learner.replica for learner in members.learners)
    return tuple(dict.fromkeys(members.voters + members.outgoing + learners))


__all__ = ["is_voter", "all_replicas", "voter_groups", "is_quorum", "quorum_value"]
