from __future__ import annotations

from collections import deque

import pytest

from ibisspring_decisions.decision_pacing import (
    MAX_DECISION_SHARE,
    MAX_PAUSE_S,
    DecisionPacing,
)


def test_first_decision_is_due_at_once() -> None:
    assert DecisionPacing().due_in_s(5.0) == 0.0


@pytest.mark.parametrize("decision_s", [0.0005, 0.002, 0.02])
def test_decisions_take_a_bounded_part_of_the_time_under_any_rate_of_events(decision_s) -> None:
    pacing = DecisionPacing()
    now, spent_s = 0.0, 0.0
    while now < 10.0:
        if pacing.due_in_s(now) == 0.0:
            pacing.decided(now, now + decision_s)
            now += decision_s
            spent_s += decision_s
        now += 0.0001

    assert spent_s <= MAX_DECISION_SHARE * now + decision_s


def test_a_process_that_was_stopped_during_a_decision_decides_soon_after() -> None:
    pacing = DecisionPacing()
    pacing.decided(0.0, 30.0)

    assert pacing.due_in_s(30.0) == pytest.approx(MAX_PAUSE_S)


def longest_wait_s(paced: bool) -> float:
    """
    Replay a leader with one thread: 400 calls a second of 1 ms each, decisions of 2.5 ms.

    :param paced: whether a decision serves all calls since the one before; otherwise each call has
        its own.
    :return: the longest time from a call to its answer within ten seconds.
    """
    pacing = DecisionPacing()
    call_s, decision_s = 0.001, 0.0025
    arrivals = deque(n / 400 for n in range(4000))
    now, longest_s = 0.0, 0.0
    undecided: list[float] = []
    while arrivals or undecided:
        now = max(now, arrivals[0]) if arrivals and not undecided else now
        if arrivals and arrivals[0] <= now:
            undecided.append(arrivals.popleft())
            now += call_s
        if undecided and (not paced or pacing.due_in_s(now) == 0.0):
            pacing.decided(now, now + decision_s)
            now += decision_s
            longest_s = max(longest_s, now - undecided[0])
            undecided.clear()
        elif not arrivals or arrivals[0] > now:
            now += 0.0001
    return longest_s


def test_calls_are_answered_within_milliseconds_where_a_decision_for_each_would_take_seconds():
    assert longest_wait_s(paced=False) > 1.0
    assert longest_wait_s(paced=True) < 0.05
