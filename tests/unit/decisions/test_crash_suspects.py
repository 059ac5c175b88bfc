"""Crash suspects: when a request is tried alone, when it is stopped, and what is forgotten."""

from __future__ import annotations

import pytest

from ibisspring_decisions.crash_suspects import (
    MAX_SUSPECTS,
    MAX_TRIAL_S,
    SINGLE_ENDPOINT_WAIT_S,
    Standing,
    Suspicion,
    Trials,
    evicted,
    standing,
)

SINCE_END_S = 1.0


@pytest.mark.parametrize(
    ("ends", "in_trial", "expected"),
    [
        (0, False, Standing.CLEAR),
        (1, False, Standing.SUSPECT),
        (2, False, Standing.ON_TRIAL),
        (3, True, Standing.QUARANTINED),
        (4, True, Standing.QUARANTINED),
        # Three endpoints crashed at once, each with a copy of a popular request.
        (3, False, Standing.ON_TRIAL),
        (9, False, Standing.ON_TRIAL),
    ],
)
def test_standing_follows_the_ends(ends: int, in_trial: bool, expected: Standing) -> None:
    assert standing(ends, in_trial) is expected


def test_trials_of_a_service_follow_one_another() -> None:
    trials = Trials()

    assert trials.start("archive", "a", 2.0, 2, SINCE_END_S, 100.0)
    assert not trials.start("archive", "b", 2.0, 2, SINCE_END_S, 101.0)
    assert trials.start("scorer", "c", 2.0, 2, SINCE_END_S, 101.0)
    trials.ended("a")
    assert trials.start("archive", "b", 2.0, 2, SINCE_END_S, 101.1)


def test_a_trial_without_a_result_is_over_at_its_time_limit() -> None:
    # The entry that tried the request was lost, so nobody reports a result.
    trials = Trials()
    trials.start("archive", "a", 60.0, 2, SINCE_END_S, 100.0)

    assert not trials.start("archive", "b", 2.0, 2, SINCE_END_S, 100.0 + MAX_TRIAL_S - 0.1)
    assert trials.start("archive", "b", 2.0, 2, SINCE_END_S, 100.0 + MAX_TRIAL_S)


def test_a_trial_does_not_risk_the_last_endpoint() -> None:
    trials = Trials()

    assert not trials.start("archive", "a", 2.0, 0, SINCE_END_S, 100.0)
    assert trials.start("archive", "a", 2.0, 0, SINGLE_ENDPOINT_WAIT_S, 109.0)


def test_a_new_leader_waits_for_the_trials_of_the_previous_one() -> None:
    trials = Trials()
    trials.start_term(100.0)

    assert not trials.start("archive", "a", 2.0, 2, SINCE_END_S, 100.0 + MAX_TRIAL_S - 0.1)
    assert trials.start("archive", "a", 2.0, 2, SINCE_END_S, 100.0 + MAX_TRIAL_S)


def test_callers_with_ever_new_requests_do_not_displace_known_ones() -> None:
    # A caller sends another request with each attempt, and each ends an endpoint or two.
    quarantined = [Suspicion(f"q{n}", 3, float(n)) for n in range(3)]
    passing = [Suspicion(f"p{n}", 1 + n % 2, 100.0 + n) for n in range(MAX_SUSPECTS)]

    gone = evicted([*passing, *quarantined])

    assert len(gone) == 3
    assert gone == ("p0", "p2", "p4")
