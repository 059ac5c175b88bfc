"""
Orders the groups of all open jobs when the engines cannot run all of them in time.

Load pattern: several trainers submit steps that together need more engine time than there is until
they are due. A group of items is worth its full value only if all its items end before its job is
due, and a trainer waits for some of the groups of its job. Earliest deadline first then spends
nearly all slots on groups that end just too late, so that all jobs are late at once.

As long as all groups can be in time, the order is by priority and due time. Otherwise groups are
taken in that order, and when one no longer fits, the group with the most remaining work relative to
its account's share leaves the first tier (the rule of Moore and Hodgson, with accounts). Of a job,
carried groups are taken first, then those nearest to whole; groups beyond the wanted ones get the
slots that would idle.

No group is left out: each one has a place in the order, so no slot idles while an item waits that
may run there.
"""

from __future__ import annotations

import enum
import heapq
from bisect import bisect_right
from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING

from ibisspring_decisions.account_shares import AccountStanding

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

GroupKey = tuple[str, str]
"""Job id and group id."""

# Exponent of an account's usage against the size of its largest group in the choice of the group
# that leaves the first tier. Above 1, so that an account of short groups keeps only its share.
SHARE_EXPONENT = 2
NO_STANDINGS: Mapping[str, AccountStanding] = {}


class GroupTier(enum.IntEnum):
    """What can be expected of a group: in time, late, or beyond what its trainer waits for."""

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
    :param longest_s: seconds that its longest waiting item takes from its start; 0 if none waits.
    :param done_share: share of the group's expected work that is complete, from 0 to 1.
    :param running_s: the part of `remaining_s` that its running items take.
    :param runs_end_s: seconds until the last of its running items has ended; 0 if none runs.
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
    running_s: float = 0.0
    runs_end_s: float = 0.0

    @property
    def waiting_s(self) -> float:
        """Slot-seconds of the items that wait for a slot."""
        return max(0.0, self.remaining_s - self.running_s)


@dataclass(frozen=True)
class PlannedGroup:
    """
    A group's place in the order.

    :param key: job id and group id.
    :param tier: whether the group can be whole in time, is late, or exceeds the wanted groups.
    :param end_s: predicted time at which the group is whole, on the clock of `GroupWork.due_s`;
        infinite while there are no slots.
    """

    key: GroupKey
    tier: GroupTier
    end_s: float


@dataclass(frozen=True)
class GroupPlan:
    """
    The order in which the items of all groups start.

    :param groups: the groups in start order. IN_TIME groups come before LATE ones and these before
        SURPLUS ones, but for the groups by which an account is brought to its floor.
    :param by_rank: all groups that can be in time are if the items start by priority and due time
        over all jobs, so that order is kept.
    :param overloaded: some wanted groups that could be in time alone will not be.
    """

    groups: tuple[PlannedGroup, ...]
    by_rank: bool
    overloaded: bool


def plan_groups(
    works: Iterable[GroupWork],
    slots: int,
    now: float,
    standing_by_account: Mapping[str, AccountStanding] = NO_STANDINGS,
    busy_s: Sequence[float] = (),
) -> GroupPlan:
    """
    Order groups and predict when each of them is whole.

    :param works: the groups of all open jobs of a service, with the same `wanted` in all groups of
        a job. Admission adds the groups of a job that asks for admission.
    :param slots: slots of all engines of the service, free or not.
    :param now: time on the clock of `GroupWork.due_s`.
    :param standing_by_account: weight and usage of the accounts; an account that is missing has
        weight 1 and no usage.
    :param busy_s: for each slot that is in use, the seconds until it is free.
    """
    ordered = sorted(works, key=_rank)
    if slots <= 0:
        groups = tuple(PlannedGroup(work.key, GroupTier.LATE, float("inf")) for work in ordered)
        return GroupPlan(groups, by_rank=True, overloaded=False)
    room = _Room(slots, busy_s, now)
    kept = _keep_order(ordered, room)
    if kept is not None:
        return GroupPlan(kept, by_rank=True, overloaded=False)
    wanted, surplus = _split_wanted(ordered)
    first, others = _take_floors(wanted, standing_by_account, room)
    selection = _Selection(room, standing_by_account, first)
    for _, same_priority in groupby(others, key=lambda work: work.priority):
        selection.add_class(list(same_priority))
    late = sorted(selection.late, key=lambda work: (work.priority, work.due_s, _nearest(work)))
    planned = [
        *_in_order([*first, *selection.in_time], GroupTier.IN_TIME, room, 0.0),
        *_in_order(late, GroupTier.LATE, room, selection.taken_s),
    ]
    taken_s = selection.taken_s + sum(work.waiting_s for work in late)
    planned.extend(_in_order(surplus, GroupTier.SURPLUS, room, taken_s))
    return GroupPlan(tuple(planned), by_rank=False, overloaded=bool(selection.displaced))


class _Room:
    """
    Predicts when waiting work is taken by the slots.

    :param slots: number of all slots.
    :param busy_s: for each slot that is in use, the seconds until it is free.
    """

    def __init__(self, slots: int, busy_s: Sequence[float], now: float) -> None:
        self.now = now
        busy = sorted(max(0.0, seconds) for seconds in busy_s)[:slots]
        self._free_at_s = [0.0] * (slots - len(busy)) + busy
        self._taken_s: list[float] = []
        taken_s = 0.0
        for index, free_at_s in enumerate(self._free_at_s):
            if index:
                taken_s += index * (free_at_s - self._free_at_s[index - 1])
            self._taken_s.append(taken_s)

    def when(self, work_s: float) -> float:
        """Return the time by which the slots can have done so many slot-seconds of work."""
        work_s = max(0.0, work_s)
        index = bisect_right(self._taken_s, work_s) - 1
        return self.now + self._free_at_s[index] + (work_s - self._taken_s[index]) / (index + 1)

    def end_of(self, work: GroupWork, before_s: float) -> float:
        """
        Return the time at which a group is whole.

        :param before_s: slot-seconds of waiting work that start before the group's.
        """
        runs_end_s = self.now + work.runs_end_s
        if work.waiting_s <= 0.0:
            return runs_end_s
        start_s = self.when(before_s)
        last_s = self.when(before_s + work.waiting_s)
        return max(runs_end_s, start_s + work.longest_s, last_s)


class _Selection:
    """
    Selects the groups that can be in time.

    :param in_time: the selected groups, in start order.
    :param late: the others.
    :param displaced: those of `late` that could be in time if others were not served before them.
    :param taken_s: slot-seconds of the waiting work of `first` and `in_time`.
    :param first: groups that start before all others.
    """

    def __init__(
        self,
        room: _Room,
        standing_by_account: Mapping[str, AccountStanding],
        first: Iterable[GroupWork],
    ) -> None:
        self.in_time: list[GroupWork] = []
        self.late: list[GroupWork] = []
        self.displaced: list[GroupWork] = []
        self.taken_s = 0.0
        self._room = room
        self._standing_by_account = standing_by_account
        self._planned_s_by_account: dict[str, float] = {}
        for work in first:
            self._take(work, 1)

    def add_class(self, works: list[GroupWork]) -> None:
        """Add the groups of one priority after those of higher ones."""
        accepted: dict[GroupKey, GroupWork] = {}
        heap_by_account: dict[str, list[tuple[float, GroupKey]]] = {}
        base_s = self.taken_s
        for work in sorted(works, key=_latest_start):
            if self._room.end_of(work, base_s) > work.due_s:
                self.late.append(work)
                if self._room.end_of(work, 0.0) <= work.due_s:
                    self.displaced.append(work)
                continue
            accepted[work.key] = work
            heap = heap_by_account.setdefault(work.client_account, [])
            heapq.heappush(heap, (-work.waiting_s, work.key))
            self._take(work, 1)
            while self._room.end_of(work, self.taken_s - work.waiting_s) > work.due_s:
                removed = accepted.pop(self._pop_largest(heap_by_account))
                self._take(removed, -1)
                self.late.append(removed)
                self.displaced.append(removed)
                if removed.key == work.key:
                    break
        self.in_time.extend(accepted.values())

    def _take(self, work: GroupWork, sign: int) -> None:
        account = work.client_account
        planned_s = self._planned_s_by_account.get(account, 0.0)
        self._planned_s_by_account[account] = planned_s + sign * work.remaining_s
        self.taken_s += sign * work.waiting_s

    def _pop_largest(self, heap_by_account: dict[str, list[tuple[float, GroupKey]]]) -> GroupKey:
        """Remove and return the group with the most waiting work relative to its share."""

        def excess(account: str) -> tuple[float, str]:
            standing = self._standing_by_account.get(account, AccountStanding())
            used_s = standing.used_s + self._planned_s_by_account[account]
            waiting_s = -heap_by_account[account][0][0]
            return waiting_s * (used_s / standing.weight) ** SHARE_EXPONENT, account

        account = max(heap_by_account, key=excess)
        _, key = heapq.heappop(heap_by_account[account])
        if not heap_by_account[account]:
            del heap_by_account[account]
        return key


def _rank(work: GroupWork) -> tuple[int, float, bool, GroupKey]:
    return (work.priority, work.due_s, not work.carried, work.key)


def _latest_start(work: GroupWork) -> tuple[float, float, GroupKey]:
    return (work.due_s - work.longest_s, -work.done_share, work.key)


def _nearest(work: GroupWork) -> tuple[bool, float, float, GroupKey]:
    return (not work.carried, -work.done_share, work.remaining_s, work.key)


def _keep_order(ordered: Sequence[GroupWork], room: _Room) -> tuple[PlannedGroup, ...] | None:
    """
    Predict the ends of all groups in the order of priority and due time.

    :return: None if a group is late that could be in time if it were served first. The items of a
        job start by length, not by group, so all its groups end with the last one of them.
    """
    planned = []
    before_s = 0.0
    for _, same in groupby(ordered, key=lambda work: (work.priority, work.due_s, work.carried)):
        block = list(same)
        block_s = sum(work.waiting_s for work in block)
        last_s = room.when(before_s + block_s)
        start_s = room.when(before_s)
        for work in block:
            end_s = room.end_of(work, 0.0)
            if work.waiting_s > 0.0:
                end_s = max(end_s, last_s, start_s + work.longest_s)
            if end_s > work.due_s and room.end_of(work, 0.0) <= work.due_s:
                return None
            tier = GroupTier.IN_TIME if end_s <= work.due_s else GroupTier.LATE
            planned.append(PlannedGroup(work.key, tier, end_s))
        before_s += block_s
    return tuple(planned)


def _split_wanted(ordered: Sequence[GroupWork]) -> tuple[list[GroupWork], list[GroupWork]]:
    """Split groups into those that trainers wait for, nearest to whole first, and the others."""
    works_by_job: dict[str, list[GroupWork]] = {}
    for work in ordered:
        works_by_job.setdefault(work.key[0], []).append(work)
    surplus_keys: set[GroupKey] = set()
    for works in works_by_job.values():
        nearest_first = sorted(works, key=_nearest)
        carried = sum(1 for work in works if work.carried)
        count = max(carried, works[0].wanted)
        surplus_keys.update(work.key for work in nearest_first[count:])
    wanted = [work for work in ordered if work.key not in surplus_keys]
    return wanted, [work for work in ordered if work.key in surplus_keys]


def _take_floors(
    ordered: Sequence[GroupWork],
    standing_by_account: Mapping[str, AccountStanding],
    room: _Room,
) -> tuple[list[GroupWork], list[GroupWork]]:
    """
    Split off the groups by which accounts reach their floor.

    Groups that can be in time come first, then those past their due time. A group that is not due
    yet but can no longer be in time shows no starvation: its account may just have come.
    """
    missing_s_by_account = {
        account: standing.floor_s for account, standing in standing_by_account.items()
    }
    possible = [work for work in ordered if room.end_of(work, 0.0) <= work.due_s]
    past_due = [work for work in ordered if work.due_s < room.now]
    first = []
    for work in (*possible, *past_due):
        missing_s = missing_s_by_account.get(work.client_account, 0.0)
        if missing_s <= 0.0:
            continue
        missing_s_by_account[work.client_account] = missing_s - work.remaining_s
        first.append(work)
    first_keys = {work.key for work in first}
    return first, [work for work in ordered if work.key not in first_keys]


def _in_order(
    works: Iterable[GroupWork], tier: GroupTier, room: _Room, before_s: float
) -> list[PlannedGroup]:
    planned = []
    for work in works:
        end_s = room.end_of(work, before_s)
        is_late = tier is GroupTier.IN_TIME and end_s > work.due_s
        planned.append(PlannedGroup(work.key, GroupTier.LATE if is_late else tier, end_s))
        before_s += work.waiting_s
    return planned


__all__ = [
    "GroupKey",
    "GroupPlan",
    "GroupTier",
    "GroupWork",
    "PlannedGroup",
    "plan_groups",
]
