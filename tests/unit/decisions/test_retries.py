from __future__ import annotations

from ibisspring_decisions.retries import MIN_RETRIES_PER_S, RETRIES_PER_REQUEST, RetryBudget


def simulate(rate: float, seconds: int, failing: float, tries: int = 3) -> tuple[int, int]:
    """
    Send requests at a fixed rate and retry the failed tries as far as the budget allows.

    :param failing: share of all tries that fail, from 0 to 1.
    :param tries: most tries of one request.
    :return: number of requests and number of retries.
    """
    budget = RetryBudget.from_defaults()
    requests = round(rate * seconds)
    retries = 0
    for number in range(requests):
        now = number / rate
        budget.count_request(now)
        for retry in range(tries - 1):
            if (number * 7 + retry) % 100 >= failing * 100 or not budget.take_retry(now):
                break
            retries += 1
    return requests, retries


def test_an_outage_does_not_treble_the_load() -> None:
    # All tries fail for a minute. Three tries for each request would treble the requests to the
    # remaining endpoints and keep up the overload after its cause has ended.
    requests, retries = simulate(rate=50.0, seconds=60, failing=1.0)

    assert retries <= 1.3 * RETRIES_PER_REQUEST * requests + MIN_RETRIES_PER_S * 60


def test_every_failure_is_retried_when_a_tenth_of_the_tries_fail() -> None:
    requests, retries = simulate(rate=50.0, seconds=60, failing=0.1, tries=2)

    assert retries == round(0.1 * requests)


def test_an_entry_without_traffic_may_retry() -> None:
    budget = RetryBudget.from_defaults()

    assert budget.take_retry(0.0)
    assert [budget.take_retry(100.0 + number) for number in range(30)] == [True] * 30
