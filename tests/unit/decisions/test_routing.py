from __future__ import annotations

import dataclasses
import heapq
import random

import pytest

from ibisspring_decisions.routing import EJECT_FAILURES, Candidate, Router

HERE = "derby"
CAPACITY = 4


class Endpoints:
    """Endpoints with slots and a line each; what callers wait is what the tests judge by."""

    def __init__(self, speeds: list[float]) -> None:
        self.speeds = speeds
        self.slots = [[0.0] * CAPACITY for _ in speeds]
        self.open: list[list[float]] = [[] for _ in speeds]
        self.sent: list[int] = [0 for _ in speeds]

    def send(self, index: int, now: float, work_s: float) -> float:
        """Send a request; returns the seconds until its answer."""
        slots = self.slots[index]
        slot = min(range(CAPACITY), key=slots.__getitem__)
        end = max(now, slots[slot]) + work_s / self.speeds[index]
        slots[slot] = end
        self.open[index].append(end)
        self.sent[index] += 1
        return end - now

    def load(self, index: int, now: float) -> int:
        self.open[index] = [end for end in self.open[index] if end > now]
        return len(self.open[index])


def candidate(index: int, load: int = 0, **changes: object) -> Candidate:
    made = Candidate(f"e{index}", HERE, "standard", min(load, CAPACITY), 0, CAPACITY, 0)
    queued = max(0, load - CAPACITY)
    return dataclasses.replace(made, queued=queued, **changes)


def router(seed: int = 1) -> Router:
    return Router.from_data_centre(HERE, random.Random(seed))


def waits_of(
    speeds: list[float], entries: int, lag_s: float, rate: float, pick, routers=(), seed: int = 7
) -> list[float]:
    """
    What callers wait beyond their own work, who come at `rate` to several entries that see reports
    `lag_s` old.

    `routers` learn the pace of each answer when it comes.
    """
    source = random.Random(seed)
    endpoints = Endpoints(speeds)
    reports = [0] * len(speeds)
    sent_since = [[0] * len(speeds) for _ in range(entries)]
    answers: list[tuple[float, int, int, float]] = []
    waits: list[float] = []
    now = 0.0
    reported_at = 0.0
    while now < 60.0:
        now += source.expovariate(rate)
        if now - reported_at >= lag_s:
            reported_at = now
            reports = [endpoints.load(index, now) for index in range(len(speeds))]
            sent_since = [[0] * len(speeds) for _ in range(entries)]
        while answers and answers[0][0] <= now:
            _, answered, at, pace = heapq.heappop(answers)
            if routers:
                routers[answered].answered(f"e{at}", pace)
        entry = source.randrange(entries)
        index = pick(entry, reports, sent_since[entry], now)
        sent_since[entry][index] += 1
        work_s = source.expovariate(1.0)
        wait_s = endpoints.send(index, now, work_s)
        heapq.heappush(answers, (now + wait_s, entry, index, wait_s / work_s))
        waits.append(wait_s - work_s)
    return sorted(waits)


def at(waits: list[float], share: float) -> float:
    """The wait that this share of the callers does not exceed."""
    return waits[int(len(waits) * share)]


def routed(routers: list[Router], counts_sent: bool = True):
    def pick(entry: int, reports: list[int], sent: list[int], now: float) -> int:
        candidates = tuple(
            candidate(index, load, sent_since=sent[index] * counts_sent)
            for index, load in enumerate(reports)
        )
        return int(routers[entry].choose(candidates, now)[1:])

    return pick


def test_one_slow_endpoint_does_not_make_callers_wait() -> None:
    # One of five engines has become ten times slower. In turn, each fifth caller waits behind its
    # line; by load, they go where work gets done.
    speeds = [1.0, 1.0, 1.0, 1.0, 0.1]
    turn = iter(range(1 << 30))
    in_turn = waits_of(speeds, 1, 0.5, 10.0, lambda *_: next(turn) % 5)
    routers = [router()]
    by_load = waits_of(speeds, 1, 0.5, 10.0, routed(routers), routers)

    without_pace = waits_of(speeds, 1, 0.5, 10.0, routed([router()]))

    assert at(by_load, 0.95) < at(in_turn, 0.95) / 10
    assert at(by_load, 0.99) < at(without_pace, 0.99) / 2


def test_what_was_sent_since_the_report_counts() -> None:
    # One entry, reports two seconds old: all that it sends meanwhile looks as if it had not been
    # sent, and lines grow beside free slots. Mean of eight seeds.
    mean_by_counting = {}
    for counting in (True, False):
        waits: list[float] = []
        for seed in range(8):
            routers = [router(seed)]
            pick = routed(routers, counting)
            waits += waits_of([1.0] * 5, 1, 2.0, 14.0, pick, routers, seed)
        mean_by_counting[counting] = sum(waits) / len(waits)

    assert mean_by_counting[True] < 0.7 * mean_by_counting[False]


def test_entries_with_old_reports_do_not_run_as_a_herd() -> None:
    # Nine entries see reports that are a second old. All send to the endpoint that was idle then,
    # and its callers wait in a long line beside idle endpoints.
    speeds = [1.0] * 5

    def least_reported(entry: int, reports: list[int], sent: list[int], now: float) -> int:
        return min(range(5), key=reports.__getitem__)

    herd = waits_of(speeds, 9, 1.0, 14.0, least_reported)
    by_load = waits_of(speeds, 9, 1.0, 14.0, routed([router(seed) for seed in range(9)]))

    assert at(by_load, 0.95) < at(herd, 0.95) / 2


def test_an_endpoint_that_fails_at_once_does_not_draw_the_callers() -> None:
    # It refuses or breaks each request in a millisecond, so that it always looks idle.
    chooser = router()
    failures = 0
    for number in range(1000):
        now = number * 0.01
        busy = tuple(candidate(index, load=2) for index in range(4))
        if chooser.choose((*busy, candidate(4)), now) == "e4":
            failures += 1
            chooser.failed("e4", now)

    assert failures <= 4 * EJECT_FAILURES


@pytest.mark.parametrize("failing", [3, 5])
def test_when_most_fail_all_are_still_used(failing: int) -> None:
    # Something that they share is broken, and comes back: nobody may be left without endpoints, and
    # the few that work may not be overrun.
    chooser = router()
    for index in range(failing):
        for _ in range(EJECT_FAILURES):
            chooser.failed(f"e{index}", 0.0)

    chosen = {chooser.choose(tuple(map(candidate, range(5))), 0.1) for _ in range(100)}

    assert len(chosen) == 5


def test_ejected_endpoint_comes_back() -> None:
    chooser = router()
    for _ in range(EJECT_FAILURES):
        chooser.failed("e0", 0.0)
    pair = (candidate(0), candidate(1))

    assert {chooser.choose(pair, 1.0) for _ in range(50)} == {"e1"}
    assert {chooser.choose(pair, 3.0) for _ in range(50)} == {"e0", "e1"}


def test_a_hot_prefix_does_not_pile_up_on_the_engine_that_caches_it() -> None:
    # Every caller sends one prompt. The engine that caches it gets them first, and the others get
    # them as soon as its line is longer.
    chooser = router()
    loads = [0] * 5
    for _ in range(40):
        candidates = [candidate(index, loads[index], cached=index == 0) for index in range(5)]
        loads[int(chooser.choose(tuple(candidates), 0.0)[1:])] += 1

    assert loads[0] == max(loads)
    assert max(loads) - min(loads) <= CAPACITY


def test_what_a_reclaim_would_harm_goes_to_the_standard_kind() -> None:
    # Tickets were sent to cheap endpoints that were reclaimed, and nobody knew which had run, while
    # streams that lose nothing held the standard ones.
    chooser = router()
    fleet = (candidate(0), *(candidate(index, kind="cheap") for index in range(1, 5)))
    busy = (candidate(0, load=CAPACITY + 1), *fleet[1:])

    tickets = {chooser.choose(fleet, 0.0, repeatable=False) for _ in range(50)}
    streams = [chooser.choose(fleet, 0.0) for _ in range(50)]
    when_full = {chooser.choose(busy, 0.0, repeatable=False) for _ in range(50)}

    assert tickets == {"e0"}
    assert "e0" not in streams
    assert "e0" not in when_full


def test_near_goes_first_between_equals_only() -> None:
    chooser = router()
    far = candidate(1, data_centre="stoke")

    assert {chooser.choose((candidate(0), far), 0.0) for _ in range(20)} == {"e0"}
    assert {chooser.choose((candidate(0, load=1), far), 0.0) for _ in range(20)} == {"e1"}
