from __future__ import annotations

from ibisspring_decisions.sampling import (
    MemberView,
    Start,
    expected_publications,
    is_stale,
    may_start,
    plan_starts,
    share_of_places,
)


def test_the_last_members_of_a_group_go_before_a_new_group() -> None:
    """
    Four groups of four share two places; group 2 lacks one member.

    Served in the order of the request, group 0 would take both places and group 2, complete but for
    one sample, would wait and age.
    """
    members = tuple(
        MemberView(group, member, done=group == 2 and member < 3)
        for group in range(4)
        for member in range(4)
    )

    assert plan_starts(members, 2, (), 0.0) == (Start(2, 3, False), Start(0, 0, False))


def test_a_straggler_is_raced_once_and_only_when_places_are_left() -> None:
    """
    One engine hangs: its sample runs ten times the median while all others are done.

    Without the race the step takes as long as the hanging engine, and the trainer idles.
    """
    done = tuple(MemberView(0, member, done=True) for member in range(5))
    late = MemberView(0, 5, started_s=(0.0,))
    durations_s = (1.0,) * 5

    assert plan_starts((*done, late), 1, durations_s, 10.0) == (Start(0, 5, True),)
    assert plan_starts((*done, late), 0, durations_s, 10.0) == ()
    assert plan_starts((*done, late), 1, durations_s, 1.5) == ()
    raced = MemberView(0, 5, started_s=(0.0, 9.0))
    assert plan_starts((*done, raced), 1, durations_s, 30.0) == ()


def test_races_stay_a_tenth_of_the_step_when_all_engines_are_slow() -> None:
    """
    Every engine slows down at once, so that every running sample looks like a straggler.

    Without the cap the step would run twice over on engines that are short already.
    """
    done = tuple(MemberView(0, member, done=True) for member in range(10))
    slow = tuple(MemberView(1, member, started_s=(0.0,)) for member in range(30))

    assert len(plan_starts(done + slow, 100, (1.0,) * 10, 60.0)) == 4


def test_a_failed_member_waits_for_its_backoff() -> None:
    members = (MemberView(0, 0, not_before_s=5.0),)

    assert plan_starts(members, 1, (), 4.0) == ()
    assert plan_starts(members, 1, (), 5.0) == (Start(0, 0, False),)


def test_the_bound_counts_versions_behind_the_trainer() -> None:
    assert not is_stale(8, 10, 2)
    assert is_stale(7, 10, 2)


def test_work_that_would_be_stale_when_it_is_asked_for_waits_for_the_new_version() -> None:
    """
    A trainer with bound 0 opens its next step while it trains and publishes before it asks.

    Started at once, all samples of each step would be made twice, the first time for nothing.
    """
    expected = expected_publications((1, 1, 1))

    assert not may_start(expected, published=0, bound=0, trainer_waits=False)
    assert may_start(expected, published=1, bound=0, trainer_waits=False)
    assert may_start(expected, published=0, bound=1, trainer_waits=False)


def test_a_wrong_guess_makes_no_trainer_idle() -> None:
    assert may_start(2, published=0, bound=0, trainer_waits=True)
    assert expected_publications((1, 0, 1)) == 0
    assert expected_publications((5, 5)) == 0


def test_a_trainer_takes_what_others_leave_free_and_gives_it_back() -> None:
    """
    Three trainers share 24 places; two are training while the third gathers, then one of them
    opens.

    With fixed parts two thirds of the engines would stand idle; without a part of its own the
    second would wait for the first one's whole step.
    """
    assert share_of_places(24, 3, running=0, free=24) == 24
    assert share_of_places(24, 3, running=24, free=0) == 24
    assert share_of_places(24, 3, running=0, free=0) == 8
    first, second = 24, 0
    while second < 8:
        second = share_of_places(24, 3, second, free=0)
    for _ in range(30):
        ended = first - 1
        first = share_of_places(24, 3, ended, free=max(0, 24 - ended - second))
    assert first == 16
