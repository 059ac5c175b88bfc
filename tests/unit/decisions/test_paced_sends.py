from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspring_decisions.paced_sends import (
    DELAY_CALM_S,
    MAX_PACED_DELAY_S,
    MAX_WINDOW_S,
    PACED_DELAY_S,
    PacedDelay,
    PacedSends,
    requests_per_window,
)

LIMIT = 5


def most_in_a_second(sent_at: list[float]) -> int:
    return max(
        (sum(1 for other in sent_at if first <= other < first + 1.0) for first in sent_at),
        default=0,
    )


def test_limit_of_the_service_and_the_settings() -> None:
    assert requests_per_window(8.3, 1.5, 5.0) == 17
    assert requests_per_window(0.1, 1.0, 0.0) == 1
    assert requests_per_window(0.0, 1.5, 5.0) is None


def test_returning_data_centre_is_not_flooded() -> None:
    # All engines of a data centre return cold while a hundred items wait. If all free slots were
    # filled at once, and each ended item were followed by another, an engine would get more
    # requests in the second than it bears.
    paced = PacedSends(started_at=0.0)
    sent_at = []
    now = MAX_WINDOW_S
    while now < MAX_WINDOW_S + 2.8:
        for _ in range(paced.free("e1", LIMIT, True, now)):
            paced.record("e1", now)
            sent_at.append(now)
        now += 0.05

    assert most_in_a_second(sent_at) == LIMIT
    assert len(sent_at) >= 2 * LIMIT


def test_new_sender_sends_nothing_to_a_cold_engine_in_its_first_window() -> None:
    # The jobs' leader fails right after it assigned as many items to a cold engine as it bears. A
    # new leader that assigned the same number at once would double it.
    paced = PacedSends(started_at=10.0)

    assert paced.free("e1", LIMIT, True, 10.0) == 0
    assert paced.free("e1", LIMIT, True, 10.0 + MAX_WINDOW_S - 0.01) == 0
    assert paced.free("e1", LIMIT, True, 10.0 + MAX_WINDOW_S) == LIMIT


def test_warm_engine_serves_a_new_sender_at_once() -> None:
    assert PacedSends(started_at=10.0).free("e1", LIMIT, False, 10.0) == LIMIT


@settings(deadline=None, max_examples=200)
@given(
    seed=st.integers(0, 2**32),
    limit=st.integers(1, 20),
    changes=st.lists(st.floats(0.3, 3.0), max_size=4),
)
def test_no_second_has_more_requests_than_the_limit(seed, limit, changes) -> None:
    """
    A cold engine, several leaders one after the other, and senders that are late at random.

    Each assignment is sent after a random delay, at most the one that its sender accepts, which
    the leader changes at random. A leader ends at any moment, and the next one begins with nothing
    known.
    """
    source = random.Random(seed)
    sent_at: list[float] = []
    paced = PacedSends(0.0)
    leader_until = changes.pop() if changes else 10.0
    now = 0.0
    while now < 10.0:
        if now > leader_until and changes:
            paced = PacedSends(now)
            leader_until = now + changes.pop()
        for _ in range(min(paced.free("e1", limit, True, now), source.randint(0, 6))):
            delay_s = source.choice((PACED_DELAY_S, 2 * PACED_DELAY_S, MAX_PACED_DELAY_S))
            paced.record("e1", now, delay_s)
            sent_at.append(now + source.random() * delay_s)
        now += source.random() * 0.2

    assert most_in_a_second(sorted(sent_at)) <= limit


def test_accepted_delay_follows_rejections_and_returns_to_the_usual_one() -> None:
    delay = PacedDelay()
    assert delay.current_s(0.0) == PACED_DELAY_S

    delay.rejected(0.0)
    # The next rejections are of assignments that were made before.
    delay.rejected(0.1)
    assert delay.current_s(0.1) == 2 * PACED_DELAY_S
    for second in range(1, 30):
        delay.rejected(float(second))
    assert delay.current_s(30.0) == MAX_PACED_DELAY_S
    assert delay.current_s(29.0 + DELAY_CALM_S) == MAX_PACED_DELAY_S / 2
    for second in range(30, 60):
        delay.current_s(float(second))
    assert delay.current_s(60.0) == PACED_DELAY_S


def test_a_rejection_after_a_calm_time_raises_the_delay_at_once() -> None:
    # The leader stays busy. While the shorter delay is tried, every assignment is rejected.
    delay = PacedDelay()
    delay.rejected(0.0)
    assert delay.current_s(DELAY_CALM_S) == PACED_DELAY_S

    delay.rejected(DELAY_CALM_S + 0.1)

    assert delay.current_s(DELAY_CALM_S + 0.1) == 2 * PACED_DELAY_S
