"""
Which samples of a training step to start, and which stragglers to race.

Load pattern: a step asks for some dozens to thousands of samples in groups; a group is worth
nothing until its last member is there, a step nothing until its last group. Lengths differ by a
factor of ten, an engine may slow down or hang, and new weights come every few minutes, after which
old samples count for less.

Without it (members started in the order of the request, no race): the first free place goes to a
new group while started groups lack one member, so that many groups are half done when weights
change and age together; and the slowest engine sets the time of the whole step, which is the
trainer's idle time.

Grounds of the figures:
- RACE_AFTER 2.0: a sample that takes over twice the step's median is raced. Lengths vary by
  themselves, so a lower factor races samples that are only long; at twice the median an ordinary
  long sample mostly has ended.
- RACE_AFTER_DONE 4: a median of fewer finished samples says nothing.
- RACE_SHARE 0.1: races cost engine work that other trainers could use; a tenth of the step bounds
  it, also when all engines become slow together and every sample looks like a straggler.
- EXPECTED_FROM 3: work is held back only where each of the last three steps saw that many new
  versions before its batch was asked for; one step alone may be an accident.
- MAX_ATTEMPTS 2: one race decides between a slow engine and a long sample; a third copy adds next
  to nothing.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass

RACE_AFTER = 2.0
RACE_AFTER_DONE = 4
RACE_SHARE = 0.1
MAX_ATTEMPTS = 2
EXPECTED_FROM = 3


@dataclass(frozen=True)
class MemberView:
    """
    One sample of the step as it stands.

    :param group: index of its group in the request.
    :param member: number in the group, from 0.
    :param done: whether a sample that may be delivered is there.
    :param started_s: start of each attempt that runs now, seconds.
    :param not_before_s: earliest start of the next attempt, seconds; set after a failure.
    """

    group: int
    member: int
    done: bool = False
    started_s: tuple[float, ...] = ()
    not_before_s: float = 0.0


@dataclass(frozen=True)
class Start:
    """
    An attempt to start now.

    :param race: whether another attempt at the same sample runs already; it goes to another engine.
    """

    group: int
    member: int
    race: bool


def is_stale(oldest_version: int, trainer_version: int, bound: int) -> bool:
    """
    Whether a sample is older than the bound.

    :param oldest_version: oldest weight version that made one of its tokens.
    :param trainer_version: the trainer's newest version.
    :param bound: how many versions a sample may be behind.
    """
    return oldest_version < trainer_version - bound


def expected_publications(earlier: tuple[int, ...]) -> int:
    """
    Guess how many versions the trainer publishes between opening a step and asking for its batch.

    :param earlier: how many it were in the trainer's earlier steps, the newest last.
    :return: the least of the last steps; 0 while too few are known.
    """
    if len(earlier) < EXPECTED_FROM:
        return 0
    return min(earlier[-EXPECTED_FROM:])


def may_start(expected: int, published: int, bound: int, trainer_waits: bool) -> bool:
    """
    Tell whether samples that start now have a chance to be fresh when the batch is asked for.

    A trainer that opens its next step while it still trains will publish before it asks. Where the
    bound is tighter than that, whatever starts before is thrown away. A trainer that asks already
    gets its samples at once, whatever was expected of it: a wrong guess must not make it idle.

    :param expected: publications expected between the opening and the first question.
    :param published: publications since the opening.
    :param bound: how many versions a sample may be behind.
    :param trainer_waits: whether the trainer has asked for the batch.
    """
    return trainer_waits or expected - published <= bound


def share_of_places(places: int, trainers: int, running: int, free: int) -> int:
    """
    Count the attempts that one trainer's step may run at a time.

    Its equal part is its own at any time. What the engines report as free it may take beside that,
    and gives it back sample by sample once another trainer takes its part: the engines then report
    nothing free, and what ends is not started again.

    :param places: places of all engines that the trainers share.
    :param trainers: how many trainers share them.
    :param running: attempts of this trainer that run now.
    :param free: places that the engines report as free; the report lags.
    """
    part = max(1, places // max(1, trainers))
    return min(places, max(part, running + free))


def plan_starts(
    members: tuple[MemberView, ...], free: int, durations_s: tuple[float, ...], now: float
) -> tuple[Start, ...]:
    """
    Choose what to start: first what completes groups soonest, then races of stragglers.

    :param members: every sample of the step.
    :param free: attempts that the engines have room for beside those that run.
    :param durations_s: seconds that the step's finished samples took.
    :param now: seconds on the clock of `started_s`.
    :return: at most `free` starts, the most useful first.
    """
    if free <= 0:
        return ()
    fresh = _fresh_starts(members, now)[:free]
    if len(fresh) == free:
        return fresh
    return fresh + _races(members, free - len(fresh), durations_s, now)


def _fresh_starts(members: tuple[MemberView, ...], now: float) -> tuple[Start, ...]:
    missing_by_group: dict[int, int] = {}
    for view in members:
        if view.done:
            continue
        missing_by_group[view.group] = missing_by_group.get(view.group, 0) + 1
    waiting = [
        view
        for view in members
        if not view.done and not view.started_s and view.not_before_s <= now
    ]
    waiting.sort(key=lambda view: (missing_by_group[view.group], view.group, view.member))
    return tuple(Start(view.group, view.member, race=False) for view in waiting)


def _races(
    members: tuple[MemberView, ...], free: int, durations_s: tuple[float, ...], now: float
) -> tuple[Start, ...]:
    if len(durations_s) < RACE_AFTER_DONE:
        return ()
    late_s = RACE_AFTER * statistics.median(durations_s)
    raced = sum(1 for view in members if len(view.started_s) >= MAX_ATTEMPTS)
    room = min(free, max(1, int(RACE_SHARE * len(members))) - raced)
    late = [
        view
        for view in members
        if not view.done and len(view.started_s) == 1 and now - view.started_s[0] > late_s
    ]
    late.sort(key=lambda view: view.started_s[0])
    return tuple(Start(view.group, view.member, race=True) for view in late[: max(0, room)])


__all__ = [
    "EXPECTED_FROM",
    "MAX_ATTEMPTS",
    "RACE_AFTER",
    "RACE_AFTER_DONE",
    "RACE_SHARE",
    "MemberView",
    "Start",
    "expected_publications",
    "is_stale",
    "may_start",
    "plan_starts",
    "share_of_places",
]
