"""The fair queue and a first-come, first-served queue under the same load, compared by results."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

import pytest

from ibisspring_decisions import queueing
from ibisspring_decisions.queueing import FairQueue, Item, ShedRequest, TakeResult


class _FirstComeQueue:
    """Baseline: a single first-come, first-served queue that rejects nothing."""

    def __init__(self, slots: int) -> None:
        self.items: list[Item] = []

    def offer(self, item: Item, now: float) -> tuple[ShedRequest, ...]:
        self.items.append(item)
        return ()

    def take(self, now: float) -> TakeResult:
        return TakeResult(self.items.pop(0) if self.items else None)


@dataclass
class _Outcome:
    """
    Results of one run of requests through a queue.

    :param waits_s: seconds that each started request waited, by client account.
    :param in_time_s: seconds of work that ended before its deadline, by client account.
    :param late: number of requests that ended after their deadline.
    :param shed: time and request of each rejection.
    """

    waits_s: dict[str, list[float]] = field(default_factory=dict)
    in_time_s: dict[str, float] = field(default_factory=dict)
    late: int = 0
    shed: list[tuple[float, ShedRequest]] = field(default_factory=list)

    def max_wait_s(self, prefix: str) -> float:
        """Return the longest wait in the accounts whose names start with a prefix."""
        return max(max(waits) for name, waits in self.waits_s.items() if name.startswith(prefix))


def _serve(queue, arrivals: list[tuple[float, Item]], slots: int) -> _Outcome:
    """Run arrivals (time, item) through a queue; each request takes its expected seconds."""
    outcome = _Outcome()
    arrived_s = {item.item_id: at for at, item in arrivals}
    # Events are (time, 0 for an arrival and 1 for the end of a request, number, item).
    events = [(at, 0, number, item) for number, (at, item) in enumerate(arrivals)]
    heapq.heapify(events)
    numbers = itertools.count(len(events))
    free = slots
    while events:
        now, kind, _, item = heapq.heappop(events)
        if kind == 0:
            outcome.shed += [(now, shed) for shed in queue.offer(item, now)]
        else:
            free += 1
        while free:
            taken = queue.take(now)
            outcome.shed += [(now, shed) for shed in taken.shed]
            if taken.item is None:
                break
            free -= 1
            started = taken.item
            end = now + started.cost_s
            heapq.heappush(events, (end, 1, next(numbers), started))
            waits = outcome.waits_s.setdefault(started.client_account, [])
            waits.append(now - arrived_s[started.item_id])
            if end > started.deadline_s:
                outcome.late += 1
                continue
            served = outcome.in_time_s.get(started.client_account, 0.0)
            outcome.in_time_s[started.client_account] = served + started.cost_s
    return outcome


def _stream(account: str, rate: float, seconds: float, cost_s: float, wait_limit_s: float = 30.0):
    """Build arrivals of one account at random times, `rate` per second for `seconds`."""
    draw = random.Random(account)
    arrivals = []
    for number in range(int(rate * seconds)):
        at = draw.uniform(0.0, seconds)
        arrivals.append((at, Item(f"{account}-{number}", account, cost_s, at + wait_limit_s)))
    return arrivals


def test_a_hot_account_does_not_starve_the_others() -> None:
    """
    One account sends ten times as many requests as the slots can serve; three others send few.

    In a first-come, first-served queue, the requests of the three accounts would wait behind those
    of the hot account.
    """
    arrivals = _stream("hot", 100.0, 30.0, 0.5, wait_limit_s=20.0)
    for number in range(3):
        arrivals += _stream(f"small-{number}", 1.0, 30.0, 0.5, wait_limit_s=20.0)

    fair = _serve(FairQueue.from_weights({}, 5), arrivals, 5)
    plain = _serve(_FirstComeQueue(5), arrivals, 5)

    assert fair.max_wait_s("small") < 2.0
    assert plain.max_wait_s("small") > 20.0
    assert all(shed.item.client_account == "hot" for _, shed in fair.shed)


def test_accounts_share_busy_slots_by_weight() -> None:
    arrivals = _stream("heavy", 20.0, 60.0, 0.5) + _stream("light", 20.0, 60.0, 0.5)

    outcome = _serve(FairQueue.from_weights({"heavy": 3.0, "light": 1.0}, 4), arrivals, 4)

    share = outcome.in_time_s["heavy"] / sum(outcome.in_time_s.values())
    assert share == pytest.approx(0.75, abs=0.05)


def test_short_requests_overtake_long_ones_without_starving_them() -> None:
    """
    An account sends long generations and, a second later, the first of many short lookups.

    In order of arrival, each lookup would wait for all generations before it; if short requests
    always went first, the generations would not run while lookups keep arriving.
    """
    long = [(0.0, Item(f"long-{number}", "forge", 10.0, 500.0)) for number in range(10)]
    short = [
        (1.0 + number / 4, Item(f"short-{number}", "forge", 0.2, 500.0)) for number in range(400)
    ]

    fair = _serve(FairQueue.from_weights({}, 2), long + short, 2)
    plain = _serve(_FirstComeQueue(2), long + short, 2)

    median = sorted(fair.waits_s["forge"])[205]
    assert median < 0.5 * sorted(plain.waits_s["forge"])[205]
    assert len(fair.waits_s["forge"]) == 410
    assert not fair.shed


def test_requests_served_under_double_load_meet_their_deadlines() -> None:
    """
    For two minutes requests arrive at twice the rate that the slots can serve; callers time out
    after ten seconds.

    Without shedding, requests would start after their callers have timed out, and the endpoints
    would be fully busy with work whose results nobody receives.
    """
    arrivals = []
    for number in range(4):
        arrivals += _stream(f"account-{number}", 5.0, 120.0, 1.0, wait_limit_s=10.0)

    fair = _serve(FairQueue.from_weights({}, 10), arrivals, 10)
    plain = _serve(_FirstComeQueue(10), arrivals, 10)

    assert fair.late == 0
    assert sum(fair.in_time_s.values()) > 0.9 * 120 * 10
    assert sum(plain.in_time_s.values()) < 0.5 * 120 * 10
    assert min(fair.in_time_s.values()) > 0.85 * max(fair.in_time_s.values())


def test_rejected_requests_fit_at_their_retry_times() -> None:
    """
    Sixty requests of one second each arrive at once at two slots; callers time out after ten
    seconds.

    With a Retry-After that is too early, the retry would be rejected again.
    """
    burst = [(0.0, Item(f"r-{number}", "forge", 1.0, 10.0)) for number in range(60)]
    rejected = _serve(FairQueue.from_weights({}, 2), burst, 2).shed
    assert len(rejected) > 30

    retries = []
    for at, shed in rejected:
        retry_s = at + shed.retry_after_s
        retries.append((retry_s, Item(f"again-{shed.item.item_id}", "forge", 1.0, retry_s + 10.0)))
    outcome = _serve(FairQueue.from_weights({}, 2), burst + retries, 2)

    assert not [shed for _, shed in outcome.shed if shed.item.item_id.startswith("again")]
    assert outcome.in_time_s["forge"] == 60.0


def test_a_request_that_cannot_finish_in_time_is_rejected_on_arrival() -> None:
    queue = FairQueue.from_weights({}, 1)
    for number in range(9):
        queue.offer(Item(f"r{number}", "forge", 1.0, 100.0), 0.0)

    (shed,) = queue.offer(Item("late", "forge", 1.0, 5.0), 0.0)

    assert (shed.item.item_id, shed.full) == ("late", False)
    assert queue.offer(Item("mill", "mill", 1.0, 5.0), 0.0) == ()


def test_a_request_with_a_large_token_bound_is_served_by_an_idle_queue() -> None:
    """
    A caller asks for up to 100,000 tokens, usually gets a hundred, and times out after a minute.

    If its work were estimated for all these tokens, the request would be rejected on an idle
    system, and again at each retry.
    """
    queue = FairQueue.from_weights({}, 1)
    large = Item.from_estimate("large", "forge", 1250.0, 60.0, now=0.0)

    assert queue.offer(large, 0.0) == ()
    assert queue.take(0.1).item == large
    behind = Item.from_estimate("behind", "forge", 1250.0, 60.0, now=1.0)
    queue.offer(Item("first", "forge", 7.0, 100.0), 1.0)
    assert [shed.item.item_id for shed in queue.offer(behind, 1.0)] == ["behind"]


def test_running_requests_count_towards_the_expected_wait() -> None:
    queue = FairQueue.from_weights({}, 1)
    queue.offer(Item("running", "forge", 8.0, 100.0), 0.0)
    running = queue.take(0.0).item

    (shed,) = queue.offer(Item("late", "forge", 1.0, 5.0), 0.0)
    assert shed.item.item_id == "late"

    queue.charge_actual_time(running, 1.0)
    assert queue.offer(Item("again", "forge", 1.0, 6.0), 1.0) == ()


def test_an_idle_account_accumulates_no_credit() -> None:
    """
    One account is idle while a hundred requests of another account are served; then both send
    requests.

    With credit for its idle time, the first account would get all slots until it had been served as
    much as the other one.
    """
    queue = FairQueue.from_weights({}, 1)
    for number in range(200):
        queue.offer(Item(f"b{number}", "busy", 1.0, 1e9), 0.0)
    for _ in range(100):
        queue.take(0.0)
    for number in range(100):
        queue.offer(Item(f"i{number}", "idle", 1.0, 1e9), 0.0)

    taken = [queue.take(0.0).item.client_account for _ in range(20)]

    assert 9 <= taken.count("busy") <= 11


def test_a_full_queue_drops_from_the_longest_queue_not_the_new_request(monkeypatch) -> None:
    monkeypatch.setattr(queueing, "MAX_WAITING", 10)
    queue = FairQueue.from_weights({}, 1)
    for number in range(10):
        assert queue.offer(Item(f"hot-{number}", "hot", 0.1, 100.0), 0.0) == ()

    (shed,) = queue.offer(Item("small-0", "small", 0.1, 100.0), 0.0)

    assert shed.item.item_id == "hot-9" and shed.full
    assert queue.queued_count == 10


def test_a_queued_request_that_cannot_finish_is_rejected_while_no_slot_is_free() -> None:
    queue = FairQueue.from_weights({}, 1)
    queue.offer(Item("r", "forge", 1.0, 10.0), 0.0)

    assert queue.shed_expired(8.9) == ()
    (shed,) = queue.shed_expired(9.1)

    assert shed.item.item_id == "r" and not shed.full
    assert queue.take(9.2) == TakeResult(None)


def test_requests_of_a_withdrawn_account_are_removed() -> None:
    queue = FairQueue.from_weights({}, 1)
    queue.offer(Item("a", "forge", 1.0, 10.0), 0.0)
    queue.offer(Item("b", "mill", 1.0, 10.0), 0.0)

    removed = queue.remove(lambda item: item.client_account == "forge")

    assert [item.item_id for item in removed] == ["a"]
    assert queue.take(0.0).item.item_id == "b"


def test_an_account_with_underestimated_work_gets_no_more_than_its_share() -> None:
    queue = FairQueue.from_weights({}, 1)
    taken = {"underestimated": 0.0, "accurate": 0.0}
    for number in range(200):
        queue.offer(Item(f"u{number}", "underestimated", 0.1, 1e9), 0.0)
        queue.offer(Item(f"a{number}", "accurate", 1.0, 1e9), 0.0)
    for _ in range(100):
        item = queue.take(0.0).item
        taken[item.client_account] += 1.0
        queue.charge_actual_time(item, 1.0)

    assert taken["underestimated"] == pytest.approx(taken["accurate"], abs=2)


def test_no_backlog_remains_after_an_overload() -> None:
    arrivals = _stream("hot", 40.0, 30.0, 1.0, wait_limit_s=10.0)
    later = [
        (60.0 + number, Item(f"later-{number}", "mill", 1.0, 70.0 + number)) for number in range(9)
    ]

    outcome = _serve(FairQueue.from_weights({}, 10), arrivals + later, 10)

    assert max(outcome.waits_s["mill"]) == 0.0
