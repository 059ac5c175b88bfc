"""
A load of three accounts of equal weight whose trainers submit a step every four seconds.

One account asks for 70% of the time and its steps are due earlier. The engines are taken as equal
slots, and an item keeps its slot until it ends.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ibisspring_decisions.account_shares import AccountLedger
from ibisspring_decisions.group_order import GroupWork, plan_groups

SLOTS = 96
STEP_EVERY_S = 4.0
ITEMS_OF_GROUP = 8
MEAN_LENGTH_S = 1.4
PLAN_EVERY_S = 0.25
GIVE_UP_AFTER_DUE_S = 1.5
PART_BY_ACCOUNT = {"large": 0.7, "left": 0.15, "right": 0.15}
DUE_S_BY_ACCOUNT = {"large": 7.5, "left": 9.0, "right": 9.0}


@dataclass(frozen=True)
class LoadVariant:
    """
    A variant of the load.

    :param estimate_error: largest relative error of the expected lengths.
    :param large_length_factor: length of the items of the account `large` divided by the usual one;
        the number of its items makes up for it.
    """

    estimate_error: float = 0.0
    large_length_factor: float = 1.0


PLAIN_LOAD = LoadVariant()


@dataclass
class LoadItem:
    """An item with its length, the length that its caller expects, and its end once it runs."""

    group: LoadGroup
    length_s: float
    expected_s: float
    end_s: float = 0.0


@dataclass
class LoadGroup:
    """A group of items of one step."""

    key: tuple[str, str]
    account: str
    due_s: float
    waiting: list[LoadItem] = field(default_factory=list)
    running: list[LoadItem] = field(default_factory=list)
    ended: int = 0
    whole_at_s: float = float("inf")

    def work_at(self, now: float) -> GroupWork:
        """Return the remaining work as the dispatcher would estimate it."""
        running = [max(0.1, item.end_s - now) for item in self.running]
        waiting = [item.expected_s for item in self.waiting]
        return GroupWork(
            key=self.key,
            client_account=self.account,
            priority=0,
            due_s=self.due_s,
            carried=False,
            wanted=1 << 20,
            remaining_s=sum(running) + sum(waiting),
            longest_s=max(waiting, default=0.0),
            done_share=self.ended / ITEMS_OF_GROUP,
            running_s=sum(running),
            runs_end_s=max(running, default=0.0),
        )


GroupOrder = Callable[[Sequence[LoadGroup], float, AccountLedger], list[LoadItem]]
"""Returns the waiting items of open groups in start order."""


def by_due_time(groups: Sequence[LoadGroup], now: float, ledger: AccountLedger) -> list[LoadItem]:
    """Earliest deadline first, the longest items of a step first."""
    waiting = [item for group in groups for item in group.waiting]
    return sorted(waiting, key=lambda item: (item.group.due_s, -item.expected_s, item.group.key))


def by_account(groups: Sequence[LoadGroup], now: float, ledger: AccountLedger) -> list[LoadItem]:
    """Weighted fair queueing over accounts alone."""
    waiting_by_account: dict[str, list[LoadItem]] = {}
    for item in by_due_time(groups, now, ledger):
        waiting_by_account.setdefault(item.group.account, []).append(item)
    used_s_by_account = {account: ledger.used_s(account, now) for account in waiting_by_account}
    for group in groups:
        if group.account in used_s_by_account:
            used_s_by_account[group.account] += group.work_at(now).running_s
    ordered = []
    for items in waiting_by_account.values():
        items.reverse()
    while waiting_by_account:
        account = min(waiting_by_account, key=used_s_by_account.__getitem__)
        item = waiting_by_account[account].pop()
        used_s_by_account[account] += item.expected_s
        ordered.append(item)
        if not waiting_by_account[account]:
            del waiting_by_account[account]
    return ordered


def by_plan_without_shares(
    groups: Sequence[LoadGroup], now: float, ledger: AccountLedger
) -> list[LoadItem]:
    """Earliest deadline first with an overload test, without the ledger of past usage."""
    return _by_plan(groups, now, None)


def by_plan(groups: Sequence[LoadGroup], now: float, ledger: AccountLedger) -> list[LoadItem]:
    """Earliest deadline first with an overload test that knows the accounts' shares."""
    return _by_plan(groups, now, ledger)


def _by_plan(
    groups: Sequence[LoadGroup], now: float, ledger: AccountLedger | None
) -> list[LoadItem]:
    open_groups = [group for group in groups if group.waiting or group.running]
    accounts = {group.account for group in open_groups}
    plan = plan_groups(
        [group.work_at(now) for group in open_groups],
        SLOTS,
        now,
        ledger.standings(accounts, now) if ledger is not None else {},
        [max(0.1, item.end_s - now) for group in open_groups for item in group.running],
    )
    if plan.by_rank:
        return by_due_time(groups, now, AccountLedger())
    group_by_key = {group.key: group for group in open_groups}
    ordered = []
    for planned in plan.groups:
        waiting = group_by_key[planned.key].waiting
        ordered.extend(sorted(waiting, key=lambda item: -item.expected_s))
    return ordered


def step_groups(
    random_source: random.Random, account: str, load: float, at_s: float, variant: LoadVariant
) -> list[LoadGroup]:
    """Return the groups of an account's step that begins at the given time."""
    part = PART_BY_ACCOUNT[account]
    factor = variant.large_length_factor if account == "large" else 1.0
    items = load * SLOTS * STEP_EVERY_S * part / (MEAN_LENGTH_S * factor)
    count = round(items / ITEMS_OF_GROUP)
    due_s = at_s + DUE_S_BY_ACCOUNT[account]
    groups = []
    for number in range(count):
        group = LoadGroup((f"{account}-{at_s:g}", str(number)), account, due_s)
        for _ in range(ITEMS_OF_GROUP):
            length_s = factor * max(0.3, min(7.0, random_source.lognormvariate(0.15, 0.6)))
            error = random_source.uniform(1 - variant.estimate_error, 1 + variant.estimate_error)
            group.waiting.append(LoadItem(group, length_s, length_s * error))
        groups.append(group)
    return groups


@dataclass
class LoadOutcome:
    """
    How the load was served.

    :param groups_by_account: the groups whose due time lies within the replay.
    :param idle_while_waiting: times at which a slot was idle while an item waited.
    """

    groups_by_account: dict[str, list[LoadGroup]]
    idle_while_waiting: int

    def in_time_part(self) -> float:
        """Return the part of all groups that were whole in time."""
        groups = [group for groups in self.groups_by_account.values() for group in groups]
        return _in_time(groups) / len(groups)

    def in_time_by_account(self) -> dict[str, float]:
        """Return the part of each account's groups that were whole in time."""
        return {
            account: _in_time(groups) / len(groups)
            for account, groups in self.groups_by_account.items()
        }

    def fairness(self, load: float) -> float:
        """Return Jain's index of the accounts' groups in time relative to their fair parts."""
        fair_by_account = fair_parts(load)
        parts = [
            min(1.0, part / fair_by_account[account])
            for account, part in self.in_time_by_account().items()
        ]
        squares = sum(part * part for part in parts)
        return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def _in_time(groups: Sequence[LoadGroup]) -> int:
    return sum(1 for group in groups if group.whole_at_s <= group.due_s)


def fair_parts(load: float) -> dict[str, float]:
    """Return the part of its demand that each account gets if the slots are shared by weight."""
    granted_by_account: dict[str, float] = {}
    left = 1.0
    ascending = sorted(PART_BY_ACCOUNT, key=PART_BY_ACCOUNT.__getitem__)
    for index, account in enumerate(ascending):
        demand = PART_BY_ACCOUNT[account] * load
        granted = min(demand, left / (len(ascending) - index))
        left -= granted
        granted_by_account[account] = granted / demand
    return granted_by_account


def replay(
    order: GroupOrder,
    load: float,
    seed: int,
    variant: LoadVariant = PLAIN_LOAD,
    duration_s: float = 40.0,
) -> LoadOutcome:
    """
    Play the load with one order of items.

    :param load: demand divided by what the slots can run.
    """
    random_source = random.Random(seed)
    ledger = AccountLedger()
    groups: list[LoadGroup] = []
    all_groups: list[LoadGroup] = []
    ends: list[tuple[float, int, LoadItem]] = []
    ordered: list[LoadItem] = []
    next_step_s, next_plan_s, last_s, count, idle = 0.0, 0.0, 0.0, 0, 0
    while True:
        now = min(next_step_s, next_plan_s, ends[0][0] if ends else float("inf"))
        if now >= duration_s:
            break
        for group in groups:
            ledger.charge(group.account, (now - last_s) * len(group.running), now)
        last_s = now
        while ends and ends[0][0] <= now:
            item = heapq.heappop(ends)[2]
            item.group.running.remove(item)
            item.group.ended += 1
            if item.group.ended == ITEMS_OF_GROUP:
                item.group.whole_at_s = now
        if now >= next_step_s:
            for account in PART_BY_ACCOUNT:
                new_groups = step_groups(random_source, account, load, now, variant)
                groups.extend(new_groups)
                all_groups.extend(new_groups)
            next_step_s += STEP_EVERY_S
            next_plan_s = now
        if now >= next_plan_s:
            groups = [
                group
                for group in groups
                if now <= group.due_s + GIVE_UP_AFTER_DUE_S and group.ended < ITEMS_OF_GROUP
            ]
            ordered = order(groups, now, ledger)
            ordered.reverse()
            next_plan_s = now + PLAN_EVERY_S
        while ordered and len(ends) < SLOTS:
            item = ordered.pop()
            item.group.waiting.remove(item)
            item.group.running.append(item)
            item.end_s = now + item.length_s
            count += 1
            heapq.heappush(ends, (item.end_s, count, item))
        if len(ends) < SLOTS and any(group.waiting for group in groups):
            idle += 1
    groups_by_account = {
        account: [
            group for group in all_groups if group.account == account and group.due_s < duration_s
        ]
        for account in PART_BY_ACCOUNT
    }
    return LoadOutcome(groups_by_account, idle)
