from __future__ import annotations

from ibisspring_decisions.retries import FLOOR_PER_S, RATIO, RetryBudget


def tries_of(rate: float, seconds: int, fails: float, tries: int = 3) -> tuple[int, int]:
    """First tries and retries when a share of all tries fails and each failure asks for more."""
    budget = RetryBudget.from_defaults()
    requests = round(rate * seconds)
    retries = 0
    for number in range(requests):
        now = number / rate
        budget.request(now)
        for place in range(tries - 1):
            if (number * 7 + place) % 100 >= fails * 100 or not budget.take(now):
                break
            retries += 1
    return requests, retries


def test_an_outage_does_not_treble_the_load() -> None:
    # Everything fails for a minute. Three tries for each request treble the load on what is left,
    # and keep it up when the cause is gone.
    requests, retries = tries_of(rate=50.0, seconds=60, fails=1.0)

    assert retries <= 1.3 * RATIO * requests + FLOOR_PER_S * 60


def test_one_of_ten_failing_is_not_seen_by_callers() -> None:
    requests, retries = tries_of(rate=50.0, seconds=60, fails=0.1, tries=2)

    assert retries == round(0.1 * requests)


def test_a_quiet_entry_may_still_retry() -> None:
    budget = RetryBudget.from_defaults()

    assert budget.take(0.0)
    assert [budget.take(100.0 + number) for number in range(30)] == [True] * 30
