from __future__ import annotations

import random
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from ibisspring_decisions.attempt_plan import AttemptPlan
from ibisspring_decisions.hedging import (
    MAX_DELAY_IN_TARGETS,
    MIN_DELAY_IN_TARGETS,
    MIN_DURATIONS,
    SUSPECT_S,
    HedgeDelays,
    SuspectEndpoints,
)

TARGET_S = 0.191
TIMEOUT_S = 1.5
WORK_S = 0.037
MAX_ENDPOINTS = 2
CONNECT_TIMEOUT_S = 0.191
CALLER_PAUSE_S = 0.05
SEEDS = (1, 2, 3, 4, 5, 6)
KINDS = ("dark", "frozen", "grey", "flapping")


@dataclass(frozen=True)
class Trouble:
    kind: str
    begin: float
    end: float


class Endpoints:
    """Three endpoints that are each in some trouble for a third of the time."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.source = random.Random(seed)
        self.troubles_by_endpoint: dict[str, list[Trouble]] = {}
        for endpoint in ("e0", "e1", "e2"):
            troubles, now = [], 0.0
            while now < seconds:
                begin = now + self.source.expovariate(1 / 5.0)
                now = begin + self.source.uniform(1.0, 4.0)
                troubles.append(Trouble(self.source.choice(KINDS), begin, now))
            self.troubles_by_endpoint[endpoint] = troubles

    def is_any_well(self, begin: float, end: float) -> bool:
        """Whether some endpoint is without trouble at some time of a span."""
        steps = [begin + 0.05 * number for number in range(int((end - begin) / 0.05) + 1)]
        return any(
            not any(trouble.begin <= at < trouble.end for trouble in troubles)
            for troubles in self.troubles_by_endpoint.values()
            for at in steps
        )

    def attempt(self, endpoint: str, at: float) -> tuple[float, str]:
        """Return when an attempt ends, and how: `ok`, `failed` or `unreachable`."""
        took_s = self.source.expovariate(1 / 0.01) + WORK_S
        for trouble in self.troubles_by_endpoint[endpoint]:
            if not trouble.begin <= at < trouble.end:
                continue
            if trouble.kind == "dark":
                return at + CONNECT_TIMEOUT_S, "unreachable"
            if trouble.kind == "frozen":
                return trouble.end + took_s, "ok"
            if trouble.kind == "flapping" and (at - trouble.begin) % 1.2 < 0.6:
                return at + 0.001, "unreachable"
            if trouble.kind == "grey" and self.source.random() < 0.5:
                return at + took_s, "failed"
        return at + took_s, "ok"


def planned(endpoints: Endpoints, at: float, deadline: float) -> tuple[float, bool]:
    """Serve one attempt of a caller by `AttemptPlan`; return when it ended and whether served."""
    plan = AttemptPlan(MAX_ENDPOINTS, 0.5 * TARGET_S, at, deadline, TIMEOUT_S)
    open_attempts: list[tuple[float, str, str]] = []
    tried: set[str] = set()
    now = at
    while True:
        for attempt in sorted(open_attempts):
            end, endpoint, kind = attempt
            if end > now:
                continue
            if kind == "ok":
                return end, True
            open_attempts.remove(attempt)
            plan.failed(endpoint, kind == "failed", now)
        unreached = len(tried) < 3
        if now >= deadline or plan.is_waiting and plan.hands_back_silence(unreached, 0.06, now):
            return now, False
        if not plan.is_waiting and not plan.may_start(now):
            return now, False
        if now >= plan.next_at and plan.may_start(now):
            new = [one for one in ("e0", "e1", "e2") if plan.is_new(one)]
            repeats = plan.repeat_order() if now >= plan.repeat_at else ()
            if new or repeats:
                chosen = endpoints.source.choice(new) if new else repeats[0]
                end, kind = endpoints.attempt(chosen, now)
                open_attempts.append((end, chosen, kind))
                tried.add(chosen)
                plan.started(chosen, now)
            else:
                plan.look_again(now, plan.repeat_at)
        now += 0.005


def two_attempts(endpoints: Endpoints, at: float, deadline: float) -> tuple[float, bool]:
    """Serve one attempt of a caller as without a plan: a second attempt after half the target."""
    first, second = endpoints.source.sample(("e0", "e1", "e2"), 2)
    end, kind = endpoints.attempt(first, at)
    if kind == "ok" and end <= at + 0.5 * TARGET_S:
        return end, True
    second_at = min(end, at + 0.5 * TARGET_S)
    second_end, second_kind = endpoints.attempt(second, second_at)
    ends = [e for e, k in ((end, kind), (second_end, second_kind)) if k == "ok"]
    if ends and min(ends) <= deadline:
        return min(ends), True
    return min(deadline, max(end, second_end)), False


def unserved_share(serve, seed: int, requests: int = 3000) -> float:
    """
    Send requests a tenth of a second apart; each caller repeats once within its deadline.

    :return: share of the requests that were not served, among those that some endpoint could serve.
    """
    endpoints = Endpoints(seed, requests * 0.1 + 10)
    unserved = servable = 0
    for number in range(requests):
        at = number * 0.1
        deadline = at + TIMEOUT_S
        if not endpoints.is_any_well(at, deadline - 0.1):
            continue
        servable += 1
        ended_at, served = serve(endpoints, at, deadline)
        if not served and deadline - ended_at > CALLER_PAUSE_S:
            _, served = serve(endpoints, ended_at + CALLER_PAUSE_S, deadline)
        unserved += not served
    return unserved / servable


def test_lookups_are_served_while_endpoints_are_in_trouble() -> None:
    # Three endpoints crash, freeze, restart in turn and fail half of their requests, each for a
    # third of the time. Requests that end after two attempts often end unserved.
    without_plan = sum(unserved_share(two_attempts, seed) for seed in SEEDS) / len(SEEDS)
    with_plan = sum(unserved_share(planned, seed) for seed in SEEDS) / len(SEEDS)

    assert without_plan > 1 / 80
    assert with_plan <= 1 / 1000


def fed(durations: list[float], target_s: float = TARGET_S) -> float:
    delays = HedgeDelays.from_defaults()
    for number, took_s in enumerate(durations):
        delays.record("archive", took_s, float(number))
    return delays.delay_s("archive", target_s, float(len(durations)))


def test_an_entry_with_few_answers_hedges_after_half_of_the_target() -> None:
    assert fed([0.001] * (MIN_DURATIONS - 1)) == 0.5 * TARGET_S


def test_a_service_that_is_a_little_slower_is_not_asked_twice() -> None:
    # All endpoints take 60 ms instead of 37. With a delay by the mean, each request would be
    # hedged and the load would double.
    durations = [0.06 + 0.0002 * number for number in range(50)]

    assert sum(took_s > fed(durations) for took_s in durations) <= 0.05 * len(durations)


def test_old_durations_are_forgotten() -> None:
    delays = HedgeDelays.from_defaults()
    for _ in range(20):
        delays.record("archive", 0.03, 0.0)

    assert delays.delay_s("archive", TARGET_S, 1.0) < 0.5 * TARGET_S
    assert delays.delay_s("archive", TARGET_S, 1000.0) == 0.5 * TARGET_S


@given(
    durations=st.lists(st.floats(0.0, 100.0), max_size=200),
    target_s=st.floats(0.01, 60.0),
)
def test_the_delay_stays_between_its_bounds(durations: list[float], target_s: float) -> None:
    delay_s = fed(durations, target_s)

    assert MIN_DELAY_IN_TARGETS * target_s <= delay_s <= MAX_DELAY_IN_TARGETS * target_s


def test_suspect_endpoints_are_used_if_there_is_no_other() -> None:
    suspects = SuspectEndpoints()
    suspects.mark("e0", 0.0)

    assert suspects.without_suspects(("e0", "e1"), 1.0) == ("e1",)
    assert suspects.without_suspects(("e0",), 1.0) == ("e0",)
    assert suspects.without_suspects(("e0", "e1"), SUSPECT_S + 0.1) == ("e0", "e1")
    suspects.mark("e0", 0.0)
    suspects.clear("e0")
    assert suspects.without_suspects(("e0", "e1"), 1.0) == ("e0", "e1")


STEPS = st.lists(
    st.tuples(st.sampled_from(["e0", "e1", "e2", "e3"]), st.booleans(), st.booleans()),
    max_size=30,
)


@given(steps=STEPS, max_endpoints=st.integers(1, 4))
def test_a_request_is_never_sent_to_more_endpoints_than_allowed(steps, max_endpoints) -> None:
    plan = AttemptPlan(max_endpoints, 0.1, 0.0, 100.0, 100.0)
    may_have_it: set[str] = set()
    now = 0.0
    for endpoint, fails, sent in steps:
        now += 0.1
        if plan.is_new(endpoint) or endpoint in plan.repeat_order():
            plan.started(endpoint, now)
            if fails:
                plan.failed(endpoint, sent, now)
            if sent or not fails:
                may_have_it.add(endpoint)

    assert len(may_have_it) <= max_endpoints


def test_pauses_between_repetitions_grow() -> None:
    plan = AttemptPlan(1, 0.1, 0.0, 10.0, 10.0)
    pauses = []
    for _ in range(6):
        plan.started("e0", plan.repeat_at)
        failed_at = plan.repeat_at + 0.01
        plan.failed("e0", True, failed_at)
        pauses.append(round(plan.repeat_at - failed_at, 3))

    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.4, 0.4]


def test_a_slow_service_is_not_handed_back() -> None:
    # All endpoints are so slow that answers take half of the time limit. Handing silent requests
    # back would double the load and answer none of them.
    plan = AttemptPlan(2, 0.1, 0.0, 1.5, 1.5)
    plan.started("e0", 0.0)

    assert plan.hands_back_silence(True, 0.05, 0.61)
    assert not plan.hands_back_silence(True, 0.7, 0.61)
    assert not plan.hands_back_silence(False, 0.05, 0.61)
