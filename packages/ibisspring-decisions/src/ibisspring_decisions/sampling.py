"""
Selects the samples of a training step to start, and those that get a second attempt (a race).

A training step needs some dozens to thousands of samples in groups. A group is unusable until its
last sample is complete, and a step is unusable until its last group is complete. Sample lengths
differ by a factor of ten, an engine may slow down or hang, and new weights are published every few
minutes, after which older samples are worth less. If samples started in the order of the request,
the first free slot would go to a new group while started groups lack one sample: many groups would
be half complete when the weights change, and would become stale together. Without second attempts,
the slowest engine would determine the duration of the step, during which the trainer is idle.

Samples of the groups that lack the fewest samples therefore start first. The remaining free slots
go to races: a straggler (a sample that takes much longer than the others) gets a second attempt on
another engine, and the attempt that ends first is used.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass

# A sample is raced if its attempt runs for more than 2.0 times the median duration of the step's
# finished samples. Lengths of samples vary, so with a lower factor, samples that are merely long
# would be raced; at twice the median, most ordinary long samples have ended.
RACE_MEDIAN_FACTOR = 2.0
# Number of the step's finished samples before which nothing is raced: a median of fewer samples is
# not meaningful.
RACE_MIN_FINISHED = 4
# Largest number of races as a share of the step's samples. Races use engine time that other
# trainers could use, so they are bounded to a tenth of the samples, also when all engines become
# slow together and every sample looks like a straggler.
MAX_RACE_SHARE = 0.1
# Largest number of concurrent attempts at a sample. With 2 attempts, one race decides between a
# slow engine and a long sample; a third attempt would add almost nothing.
MAX_ATTEMPTS = 2
# Number of a trainer's latest steps from which its publications in the next step are estimated. The
# start of samples is delayed only for as many publications as each of the last 3 steps had before
# its batch was requested; a single step may be an exception.
PUBLICATION_HISTORY_STEPS = 3


@dataclass(frozen=True)
class SampleState:
    """
    State of one sample of the step.

    :param group: index of the sample's group in the request.
    :param member: index of the sample in its group.
    :param done: whether an attempt produced a sample that may be delivered.
    :param attempt_starts_s: start time of each running attempt, in seconds.
    :param not_before_s: earliest start time of the next attempt, in seconds; set after a failure.
    """

    group: int
    member: int
    done: bool = False
    attempt_starts_s: tuple[float, ...] = ()
    not_before_s: float = 0.0


@dataclass(frozen=True)
class AttemptStart:
    """
    An attempt to start now.

    :param group: index of the sample's group in the request.
    :param member: index of the sample in its group.
    :param race: whether another attempt at the same sample is running; the new one must start on
        another engine.
    """

    group: int
    member: int
    race: bool


def is_stale(oldest_version: int, trainer_version: int, bound: int) -> bool:
    """
    Return whether a sample is too old to be delivered.

    :param oldest_version: oldest weight version that generated one of the sample's tokens.
    :param trainer_version: newest version that the trainer published.
    :param bound: largest allowed number of versions that a sample is behind the trainer.
    """
    return oldest_version < trainer_version - bound


def expected_publications(earlier: tuple[int, ...]) -> int:
    """
    Estimate how many versions a trainer publishes between opening a step and requesting its batch.

    :param earlier: number of versions that the trainer published in this span of each earlier step,
        the latest step last.
    :return: the lowest of these numbers in the last `PUBLICATION_HISTORY_STEPS` steps; 0 if fewer
        steps are known.
    """
    if len(earlier) < PUBLICATION_HISTORY_STEPS:
        return 0
    return min(earlier[-PUBLICATION_HISTORY_STEPS:])


def may_start(expected: int, published: int, bound: int, batch_requested: bool) -> bool:
    """
    Return whether samples that start now can still be fresh when the batch is requested.

    A trainer that opens its next step while it is still training publishes new versions before it
    requests the batch. If it is expected to publish more versions than the staleness bound allows,
    samples that start earlier would be discarded. Once the batch is requested, samples start at
    once, so that a wrong estimate does not keep the trainer idle.

    :param expected: versions expected to be published between the opening of the step and the first
        request for its batch.
    :param published: versions published since the step was opened.
    :param bound: largest allowed number of versions that a sample is behind the trainer.
    :param batch_requested: whether the trainer has requested the batch.
    """
    return batch_requested or expected - published <= bound


def max_running_attempts(slots: int, trainers: int, running: int, free: int) -> int:
    """
    Return how many attempts one trainer's step may run at a time.

    A trainer may always use an equal part of the slots, and beyond this part the slots that the
    engines report as free. When another trainer starts to use its own part, the engines report no
    free slots; the first trainer's extra slots then become free as their attempts end, since it
    starts no new attempts on them.

    :param slots: slots of all engines that the trainers share.
    :param trainers: number of trainers that share the engines.
    :param running: attempts of this trainer's step that are running.
    :param free: slots that the engines report as free; the report lags behind their state.
    """
    equal_part = max(1, slots // max(1, trainers))
    return min(slots, max(equal_part, running + free))


def plan_starts(
    members: tuple[SampleState, ...], free: int, durations_s: tuple[float, ...], now: float
) -> tuple[AttemptStart, ...]:
    """
    Return the attempts to start: samples of nearly complete groups first, second attempts last.

    :param members: all samples of the step.
    :param free: free slots for further attempts.
    :param durations_s: durations of the step's finished samples, in seconds.
    :param now: present time in seconds on the clock of `attempt_starts_s`.
    :return: at most `free` attempts, in the order in which they are to start.
    """
    if free <= 0:
        return ()
    starts = _non_race_starts(members, now)[:free]
    if len(starts) == free:
        return starts
    return starts + _races(members, free - len(starts), durations_s, now)


def _non_race_starts(members: tuple[SampleState, ...], now: float) -> tuple[AttemptStart, ...]:
    """
    Return a start for each sample that is neither done, running nor delayed after a failure, in
    ascending order of the number of samples that its group lacks.
    """
    missing_by_group: dict[int, int] = {}
    for view in members:
        if view.done:
            continue
        missing_by_group[view.group] = missing_by_group.get(view.group, 0) + 1
    startable = [
        view
        for view in members
        if not view.done and not view.attempt_starts_s and view.not_before_s <= now
    ]
    startable.sort(key=lambda view: (missing_by_group[view.group], view.group, view.member))
    return tuple(AttemptStart(view.group, view.member, race=False) for view in startable)


def _races(
    members: tuple[SampleState, ...], free: int, durations_s: tuple[float, ...], now: float
) -> tuple[AttemptStart, ...]:
    """
    Return second attempts for stragglers, the longest-running first, within the limits for races.
    """
    if len(durations_s) < RACE_MIN_FINISHED:
        return ()
    straggler_s = RACE_MEDIAN_FACTOR * statistics.median(durations_s)
    raced = sum(1 for view in members if len(view.attempt_starts_s) >= MAX_ATTEMPTS)
    allowed = min(free, max(1, int(MAX_RACE_SHARE * len(members))) - raced)
    stragglers = [
        view
        for view in members
        if not view.done
        and len(view.attempt_starts_s) == 1
        and now - view.attempt_starts_s[0] > straggler_s
    ]
    stragglers.sort(key=lambda view: view.attempt_starts_s[0])
    return tuple(
        AttemptStart(view.group, view.member, race=True) for view in stragglers[: max(0, allowed)]
    )


__all__ = [
    "PUBLICATION_HISTORY_STEPS",
    "MAX_ATTEMPTS",
    "MAX_RACE_SHARE",
    "RACE_MEDIAN_FACTOR",
    "RACE_MIN_FINISHED",
    "SampleState",
    "AttemptStart",
    "expected_publications",
    "is_stale",
    "may_start",
    "plan_starts",
    "max_running_attempts",
]
