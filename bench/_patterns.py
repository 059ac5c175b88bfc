"""Load patterns of the two deployments, sized as in the project's brief, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True)
class Arrival:
    """
    One request.

    :param at_s: seconds from the start.
    :param client_account: the account that sends it.
    :param work_s: seconds that an endpoint of normal speed works on it.
    :param expected_s: an entry's estimate of `work_s`: the mean over short or over long requests.
    :param deadline_s: seconds after `at_s` until the caller stops waiting.
    """

    at_s: float
    client_account: str
    work_s: float
    expected_s: float
    deadline_s: float


@dataclass(frozen=True)
class Deployment:
    """
    Sizes of a deployment.

    :param engines: endpoints of the model service.
    :param slots: requests that one endpoint works on at a time.
    :param share_by_client_account: share of the offered load; the first few accounts send most.
    """

    name: str
    engines: int
    slots: int
    share_by_client_account: dict[str, float]


_SHARES = (0.34, 0.22, 0.14, 0.1, 0.08, 0.06, 0.04, 0.02)

TRENTSIDE = Deployment(
    "trentside", 5, 8, {f"client-{number + 1}": share for number, share in enumerate(_SHARES)}
)
AGENCY = Deployment(
    "agency", 5, 8, {f"merchant-{number + 1}": share for number, share in enumerate(_SHARES)}
)
DEPLOYMENTS = (TRENTSIDE, AGENCY)


@dataclass(frozen=True)
class Pattern:
    """
    A shape of load.

    :param load: offered work as a multiple of the capacity of all endpoints.
    :param hot: index of the client account whose load is multiplied by `hot_factor`.
    :param burst_s: seconds in the middle in which all load is multiplied by `burst_factor`.
    :param long_share: share of requests with ten times the mean work of the others.
    :param slow_factor: factor on the work time at the first endpoint.
    """

    name: str
    load: float
    hot: int | None = None
    hot_factor: float = 1.0
    burst_s: float = 0.0
    burst_factor: float = 1.0
    long_share: float = 0.1
    slow_factor: float = 1.0


PATTERNS = (
    Pattern("steady", 0.7),
    Pattern("burst", 0.6, burst_s=20.0, burst_factor=3.0),
    Pattern("hot client account", 0.6, hot=0, hot_factor=5.0),
    Pattern("long among short", 0.85, long_share=0.3),
    Pattern("slow endpoint", 0.6, slow_factor=5.0),
    Pattern("overload", 2.0),
)

SHORT_WORK_S = 0.4
LONG_WORK_S = 4.0
CALLER_DEADLINE_S = 10.0


def arrivals(deployment: Deployment, pattern: Pattern, span_s: float, seed: int) -> list[Arrival]:
    """
    Draw the requests of one replay.

    :param span_s: seconds of load.
    :param seed: seed of the random numbers.
    :return: the requests in order of time.
    """
    source = random.Random(seed)
    mean_work_s = SHORT_WORK_S * (1 - pattern.long_share) + LONG_WORK_S * pattern.long_share
    rate = pattern.load * deployment.engines * deployment.slots / mean_work_s
    drawn: list[Arrival] = []
    for number, (account, share) in enumerate(deployment.share_by_client_account.items()):
        factor = pattern.hot_factor if number == pattern.hot else 1.0
        drawn.extend(_account_arrivals(account, rate * share * factor, pattern, span_s, source))
    return sorted(drawn, key=lambda arrival: arrival.at_s)


def _account_arrivals(
    account: str, rate: float, pattern: Pattern, span_s: float, source: random.Random
) -> list[Arrival]:
    peak = rate * max(1.0, pattern.burst_factor)
    start_s = (span_s - pattern.burst_s) / 2
    drawn = []
    at_s = source.expovariate(peak)
    while at_s < span_s:
        in_burst = start_s <= at_s < start_s + pattern.burst_s
        rate_now = rate * pattern.burst_factor if in_burst else rate
        if source.random() < rate_now / peak:
            is_long = source.random() < pattern.long_share
            expected_s = LONG_WORK_S if is_long else SHORT_WORK_S
            work_s = source.expovariate(1 / expected_s)
            drawn.append(Arrival(at_s, account, work_s, expected_s, CALLER_DEADLINE_S))
        at_s += source.expovariate(peak)
    return drawn


__all__ = ["AGENCY", "DEPLOYMENTS", "PATTERNS", "TRENTSIDE", "Arrival", "Deployment", "Pattern"]
