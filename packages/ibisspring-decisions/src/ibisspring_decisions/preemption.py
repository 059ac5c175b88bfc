"""
Chooses running items that give their slot to an item of a more urgent group.

Load pattern: all slots are taken by items of jobs with time to spare when a job arrives, or a group
becomes late, whose due time only a slot now can save. Without preemption the group waits until
items end that nobody is in a hurry for. The text of a preempted item is kept, and the item
continues after its last event.

The caller preempts only if the order of groups, computed as if the chosen items had stopped, has
more groups in time and loses none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Largest number of items that are preempted in any second, over all jobs of a service.
MAX_PREEMPTIONS_PER_S = 16
# Seconds that an item must run before it is preempted again.
MIN_RUN_S = 1.0
# Factor by which the time until a slot is free must exceed the time to resume the item. Both are
# estimates, and stopping a run that ends at about that time gains nothing.
MIN_GAIN_FACTOR = 2.0
# Factor by which the slack of an item's group must exceed the delay that a preemption causes, since
# further groups arrive before the item continues.
MIN_SLACK_FACTOR = 2.0


@dataclass(frozen=True)
class RunningItem:
    """
    A running item that may be preempted.

    :param number: number by which the caller identifies the run.
    :param engine: id of the engine that it runs on.
    :param slack_s: seconds by which its group would end before its job is due; infinite for a group
        that its trainer does not wait for.
    :param remaining_s: seconds until the item ends on its engine.
    :param resume_cost_s: seconds that reading its prompt and text again takes.
    :param preempted: whether the item has been preempted since its last complete second of running.
    """

    number: int
    engine: str
    slack_s: float
    remaining_s: float
    resume_cost_s: float
    preempted: bool


@dataclass(frozen=True)
class UrgentGroup:
    """
    A group that is late unless its waiting items start now.

    :param waiting: number of its waiting items.
    :param longest_s: seconds that the longest of them takes.
    :param engines: ids of the engines that may run them.
    """

    waiting: int
    longest_s: float
    engines: frozenset[str]


def choose_preempted(
    running: Iterable[RunningItem], group: UrgentGroup, budget: int
) -> tuple[int, ...]:
    """
    Choose the items that give their slot to the waiting items of a group.

    Items of groups that nobody waits for come first, then those of groups that are late already,
    then those of groups with time to spare; among these, the items that would hold their slot for
    the longest time.

    :param budget: largest number of items.
    :return: numbers of the chosen items, the best ones first.
    """
    eligible = [
        item for item in running if item.engine in group.engines and _may_yield(item, group)
    ]
    eligible.sort(key=_harm)
    return tuple(item.number for item in eligible[: min(budget, group.waiting)])


def _may_yield(item: RunningItem, group: UrgentGroup) -> bool:
    if item.preempted or item.remaining_s < MIN_GAIN_FACTOR * item.resume_cost_s:
        return False
    # The item continues at the latest when the urgent group's item has ended.
    delay_s = group.longest_s + item.resume_cost_s
    return item.slack_s < 0.0 or item.slack_s > MIN_SLACK_FACTOR * delay_s


def _harm(item: RunningItem) -> tuple[int, float, int]:
    if item.slack_s == float("inf"):
        return 0, -item.remaining_s, item.number
    return 1 if item.slack_s < 0.0 else 2, -item.remaining_s, item.number


__all__ = [
    "MAX_PREEMPTIONS_PER_S",
    "MIN_RUN_S",
    "MIN_SLACK_FACTOR",
    "RunningItem",
    "UrgentGroup",
    "choose_preempted",
]
