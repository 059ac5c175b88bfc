"""
Orders the groups of all open jobs when the engines cannot run all of them in time.

Load pattern: several trainers submit steps that together need more engine time than there is until
they are due. A group of items is worth its full value only if all its items end before its job is
due, and a trainer waits for some of the groups of its job.

This module holds the types that the ordering of items, admission and preemption share.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

GroupKey = tuple[str, str]
"""Job id and group id."""


class GroupTier(enum.IntEnum):
    """How urgent a group is; groups of a lower tier start first."""

    IN_TIME = 0
    LATE = 1
    SURPLUS = 2


@dataclass(frozen=True)
class GroupWork:
    """
    The remaining work of a group whose items are not all listed.

    :param key: job id and group id.
    :param client_account: account that submitted the job.
    :param priority: rank of the job; 0 is the highest.
    :param due_s: time at which the job is due, on the caller's clock in seconds.
    :param carried: an earlier job left the group incomplete, so its trainer waits for it.
    :param wanted: number of further complete groups that the job's trainer waits for.
    :param remaining_s: slot-seconds until all items of the group have ended.
    :param longest_s: seconds until its longest item has ended if it ran from now on.
    :param done_share: share of the group's expected work that is complete, from 0 to 1.
    """

    key: GroupKey
    client_account: str
    priority: int
    due_s: float
    carried: bool
    wanted: int
    remaining_s: float
    longest_s: float
    done_share: float = 0.0


@dataclass(frozen=True)
class PlannedGroup:
    """
    A group's place in the order.

    :param key: job id and group id.
    :param tier: whether the group can be whole in time, is late, or exceeds the wanted groups.
    :param end_s: predicted time at which the group is whole, on the clock of `GroupWork.due_s`.
    """

    key: GroupKey
    tier: GroupTier
    end_s: float


__all__ = ["GroupKey", "GroupTier", "GroupWork", "PlannedGroup"]
