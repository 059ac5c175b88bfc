from __future__ import annotations

import dataclasses
import heapq
import random

import pytest

from ibisspring_decisions.routing import EJECT_AFTER_FAILURES, Candidate, Router

LOCAL_DATA_CENTRE = "derby"
CAPACITY = 4


class SimulatedEndpoints:
    """
    Endpoints with `CAPACITY` slots and an unbounded queue each; `speeds` has the speed of each.
    """

    def __init__(self, speeds: list[float]) -> None:
        self.speeds = speeds
        self.slots = [[0.0] * CAPACITY for _ in speeds]
        self.open: list[list[float]] = [[] for _ in speeds]
        self.sent: list[int] = [0 for _ in speeds]

    def send(self, index: int, now: float, work_s: float) -> float:
        """Send a request; return the seconds until it is answered."""
        slots = self.slots[index]
        slot = min(range(CAPACITY), key=slots.__getitem__)
        end = max(now, slots[slot]) + work_s / self.speeds[index]
        slots[slot] = end
        self.open[index].append(end)
        self.sent[index] += 1
        return end - now

    def load(self, index: int, now: float) -> int:
        """Return the number of requests at an endpoint, running and queued."""
        self.open[index] = [end for end in self.open[index] if end > now]
        return len(self.open[index])


def candidate(index: int, load: int = 0, **changes: object) -> Candidate:
    made = Candidate(
        f"e{index}", LOCAL_DATA_CENTRE, "standard", min(load, CAPACITY), 0, CAPACITY, 0
    )
    queued = max(0, load - CAPACITY)
    return dataclasses.replace(made, queued=queued, **changes)


def router(seed: int = 1) -> Router:
    return Router.from_data_centre(LOCAL_DATA_CENTRE, random.Random(seed))


def simulate_waits(
    speeds: list[float], entries: int, lag_s: float, rate: float, pick, routers=(), seed: int = 7
) -> list[float]:
    """
    Send requests at `rate` per second through several entries for 60 s.

    The entries see load reports that are up to `lag_s` old. `pick` chooses the endpoint. `routers`
    (one per entry) get the pace of each answer (seconds per unit of work) when the answer arrives.

    :return: sorted seconds that each request took beyond its own work.
    """
    source = random.Random(seed)
    endpoints = SimulatedEndpoints(speeds)
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
            _, sender, answering, pace = heapq.heappop(answers)
            if routers:
                routers[sender].record_success(f"e{answering}", pace)
        entry = source.randrange(entries)
        index = pick(entry, reports, sent_since[entry], now)
        sent_since[entry][index] += 1
        work_s = source.expovariate(1.0)
        wait_s = endpoints.send(index, now, work_s)
        heapq.heappush(answers, (now + wait_s, entry, index, wait_s / work_s))
        waits.append(wait_s - work_s)
    return sorted(waits)


def quantile(waits: list[float], share: float) -> float:
    """Return the wait that this share of the requests does not exceed."""
    return waits[int(len(waits) * share)]


def pick_with(routers: list[Router], counts_sent: bool = True):
    """Return a `pick` function that asks the entry's router."""

    def pick(entry: int, reports: list[int], sent: list[int], now: float) -> int:
        candidates = tuple(
            candidate(index, load, sent_since_report=sent[index] * counts_sent)
            for index, load in enumerate(reports)
        )
        return int(routers[entry].choose(candidates, now)[1:])

    return pick


def test_one_slow_endpoint_does_not_make_requests_wait() -> None:
    # One of five endpoints has become ten times slower. With round robin, every fifth request would
    # wait in its queue; the router must send these requests to the fast endpoints.
    speeds = [1.0, 1.0, 1.0, 1.0, 0.1]
    counter = iter(range(1 << 30))
    round_robin = simulate_waits(speeds, 1, 0.5, 10.0, lambda *_: next(counter) % 5)
    routers = [router()]
    by_load = simulate_waits(speeds, 1, 0.5, 10.0, pick_with(routers), routers)

    without_pace = simulate_waits(speeds, 1, 0.5, 10.0, pick_with([router()]))

    assert quantile(by_load, 0.95) < quantile(round_robin, 0.95) / 10
    assert quantile(by_load, 0.99) < quantile(without_pace, 0.99) / 2


def test_requests_sent_since_the_report_count_as_load() -> None:
    # One entry has reports that are up to two seconds old. If the entry ignored the requests that
    # it has sent since, queues would grow at some endpoints while others have free slots. The
    # compared value is the mean over eight seeds.
    mean_by_counting = {}
    for counting in (True, False):
        waits: list[float] = []
        for seed in range(8):
            routers = [router(seed)]
            pick = pick_with(routers, counting)
            waits += simulate_waits([1.0] * 5, 1, 2.0, 14.0, pick, routers, seed)
        mean_by_counting[counting] = sum(waits) / len(waits)

    assert mean_by_counting[True] < 0.7 * mean_by_counting[False]


def test_entries_with_old_reports_do_not_choose_the_same_endpoint() -> None:
    # Nine entries have reports that are up to a second old. If each entry chose the endpoint with
    # the lowest reported load, all entries would send to the endpoint that was idle then: its queue
    # would grow while other endpoints are idle.
    speeds = [1.0] * 5

    def least_reported(entry: int, reports: list[int], sent: list[int], now: float) -> int:
        return min(range(5), key=reports.__getitem__)

    herd = simulate_waits(speeds, 9, 1.0, 14.0, least_reported)
    by_load = simulate_waits(speeds, 9, 1.0, 14.0, pick_with([router(seed) for seed in range(9)]))

    assert quantile(by_load, 0.95) < quantile(herd, 0.95) / 2


def test_an_endpoint_that_fails_at_once_does_not_attract_requests() -> None:
    # The endpoint e4 fails each request in a millisecond, so it always reports no requests and
    # looks idle.
    chooser = router()
    failures = 0
    for number in range(1000):
        now = number * 0.01
        busy = tuple(candidate(index, load=2) for index in range(4))
        if chooser.choose((*busy, candidate(4)), now) == "e4":
            failures += 1
            chooser.record_failure("e4", now)

    assert failures <= 4 * EJECT_AFTER_FAILURES


@pytest.mark.parametrize("failing", [3, 5])
def test_when_most_endpoints_fail_all_are_still_used(failing: int) -> None:
    # A dependency that the endpoints share fails for a while. If all failing endpoints were
    # ejected, requests would have no endpoint, or would overload the few endpoints that still work.
    chooser = router()
    for index in range(failing):
        for _ in range(EJECT_AFTER_FAILURES):
            chooser.record_failure(f"e{index}", 0.0)

    chosen = {chooser.choose(tuple(map(candidate, range(5))), 0.1) for _ in range(100)}

    assert len(chosen) == 5


def test_an_ejected_endpoint_is_used_again_after_the_ejection() -> None:
    chooser = router()
    for _ in range(EJECT_AFTER_FAILURES):
        chooser.record_failure("e0", 0.0)
    pair = (candidate(0), candidate(1))

    assert {chooser.choose(pair, 1.0) for _ in range(50)} == {"e1"}
    assert {chooser.choose(pair, 3.0) for _ in range(50)} == {"e0", "e1"}


def test_a_common_prefix_does_not_overload_the_engine_that_caches_it() -> None:
    # All requests have the same prompt. The engine that has the prompt cached must get the first
    # requests, and the other engines must get requests as soon as its queue is longer than theirs.
    chooser = router()
    loads = [0] * 5
    for _ in range(40):
        candidates = [
            candidate(index, loads[index], has_cached_prefix=index == 0) for index in range(5)
        ]
        loads[int(chooser.choose(tuple(candidates), 0.0)[1:])] += 1

    assert loads[0] == max(loads)
    assert max(loads) - min(loads) <= CAPACITY


def test_requests_that_must_not_be_repeated_go_to_the_standard_kind() -> None:
    # Ticket calls must not be repeated. If they went to cheap endpoints while repeatable streams
    # occupy the standard ones, it would be unknown after a reclaim which of the calls have run.
    chooser = router()
    fleet = (candidate(0), *(candidate(index, kind="cheap") for index in range(1, 5)))
    busy = (candidate(0, load=CAPACITY + 1), *fleet[1:])

    tickets = {chooser.choose(fleet, 0.0, repeatable=False) for _ in range(50)}
    streams = [chooser.choose(fleet, 0.0) for _ in range(50)]
    when_full = {chooser.choose(busy, 0.0, repeatable=False) for _ in range(50)}

    assert tickets == {"e0"}
    assert "e0" not in streams
    assert "e0" not in when_full


def test_the_local_data_centre_is_preferred_only_at_equal_load() -> None:
    chooser = router()
    remote = candidate(1, data_centre="stoke")

    assert {chooser.choose((candidate(0), remote), 0.0) for _ in range(20)} == {"e0"}
    assert {chooser.choose((candidate(0, load=1), remote), 0.0) for _ in range(20)} == {"e1"}
