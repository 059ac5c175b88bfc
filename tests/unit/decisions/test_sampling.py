from __future__ import annotations

from ibisspring_decisions.sampling import (
    AttemptStart,
    SampleState,
    expected_publications,
    is_stale,
    max_running_attempts,
    may_start,
    plan_starts,
)


def test_the_last_sample_of_a_group_starts_before_a_new_group() -> None:
    """
    Two slots are free for four groups of four samples; group 2 lacks one sample.

    If samples started in the order of the request, group 0 would take both slots. Group 2 would
    stay incomplete, and its three finished samples could become stale.
    """
    members = tuple(
        SampleState(group, member, done=group == 2 and member < 3)
        for group in range(4)
        for member in range(4)
    )

    assert plan_starts(members, 2, (), 0.0) == (
        AttemptStart(2, 3, False),
        AttemptStart(0, 0, False),
    )


def test_a_straggler_is_raced_once_and_only_on_a_free_slot() -> None:
    """
    One engine hangs: its attempt runs for ten times the median while all other samples are done.

    Without a second attempt (a race), the step would take as long as the hanging engine, and the
    trainer would be idle.
    """
    done = tuple(SampleState(0, member, done=True) for member in range(5))
    straggler = SampleState(0, 5, attempt_starts_s=(0.0,))
    durations_s = (1.0,) * 5

    assert plan_starts((*done, straggler), 1, durations_s, 10.0) == (AttemptStart(0, 5, True),)
    assert plan_starts((*done, straggler), 0, durations_s, 10.0) == ()
    assert plan_starts((*done, straggler), 1, durations_s, 1.5) == ()
    raced = SampleState(0, 5, attempt_starts_s=(0.0, 9.0))
    assert plan_starts((*done, raced), 1, durations_s, 30.0) == ()


def test_races_are_limited_to_a_tenth_of_the_step() -> None:
    """
    All engines slow down at once, so that every running attempt counts as a straggler.

    Without a limit on second attempts, the complete step would run twice on engines that are
    already overloaded.
    """
    done = tuple(SampleState(0, member, done=True) for member in range(10))
    slow = tuple(SampleState(1, member, attempt_starts_s=(0.0,)) for member in range(30))

    assert len(plan_starts(done + slow, 100, (1.0,) * 10, 60.0)) == 4


def test_a_failed_sample_starts_again_after_its_backoff() -> None:
    members = (SampleState(0, 0, not_before_s=5.0),)

    assert plan_starts(members, 1, (), 4.0) == ()
    assert plan_starts(members, 1, (), 5.0) == (AttemptStart(0, 0, False),)


def test_a_sample_is_stale_when_it_is_more_versions_behind_than_the_bound() -> None:
    assert not is_stale(8, 10, 2)
    assert is_stale(7, 10, 2)


def test_samples_that_would_become_stale_wait_for_the_new_version() -> None:
    """
    A trainer with bound 0 opens its next step while it is still training, and publishes a version
    before it requests the batch.

    If the samples started at once, all of them would be discarded and generated again.
    """
    expected = expected_publications((1, 1, 1))

    assert not may_start(expected, published=0, bound=0, batch_requested=False)
    assert may_start(expected, published=1, bound=0, batch_requested=False)
    assert may_start(expected, published=0, bound=1, batch_requested=False)


def test_a_wrong_estimate_does_not_keep_the_trainer_idle() -> None:
    assert may_start(2, published=0, bound=0, batch_requested=True)
    assert expected_publications((1, 0, 1)) == 0
    assert expected_publications((5, 5)) == 0


def test_a_trainer_uses_free_slots_of_others_and_returns_them() -> None:
    """
    Three trainers share 24 slots. The first generates samples while the two others train; then the
    second opens a step as well.

    If each trainer had a fixed third of the slots, two thirds of the engines would be idle at
    first; without a guaranteed part, the second trainer would wait until the first trainer's step
    is complete.
    """
    assert max_running_attempts(24, 3, running=0, free=24) == 24
    assert max_running_attempts(24, 3, running=24, free=0) == 24
    assert max_running_attempts(24, 3, running=0, free=0) == 8
    first, second = 24, 0
    while second < 8:
        second = max_running_attempts(24, 3, second, free=0)
    for _ in range(30):
        ended = first - 1
        first = max_running_attempts(24, 3, ended, free=max(0, 24 - ended - second))
    assert first == 16
