"""Queueing, judged by what callers receive, beside first come, first served in the same run."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

import pytest

from ibisspring_decisions import queueing
from ibisspring_decisions.queueing import FairQueue, Item, Shed, Turn


class _FirstCome:
    """The plain baseline: one line, nothing refused."""

    def __init__(self, slots: int) -> None:
        self.items: list[Item] = []

    def offer(self, item: Item, now: float) -> tuple[Shed, ...]:
        self.items.append(item)
        return ()

    def take(self, now: float) -> Turn:
        return Turn(self.items.pop(0) if self.items else None)


@dataclass
class _Outcome:
    """What the callers received."""

    waits: dict[str, list[float]] = field(default_factory=dict)
    in_time_s: dict[str, float] = field(default_factory=dict)
    late: int = 0
    shed: list[tuple[float, Shed]] = field(default_factory=list)

    def worst_wait(self, prefix: str) -> float:
        return max(max(waits) for name, waits in self.waits.items() if name.startswith(prefix))


def _serve(queue, arrivals: list[tuple[float, Item]], slots: int) -> _Outcome:
    """Serve arrivals with a number of slots; a request takes its expected seconds."""
    outcome = _Outcome()
    came_s = {item.item_id: at for at, item in arrivals}
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
            turn = queue.take(now)
            outcome.shed += [(now, shed) for shed in turn.shed]
            if turn.item is None:
                break
            free -= 1
            started = turn.item
            end = now + started.cost_s
            heapq.heappush(events, (end, 1, next(numbers), started))
            waits = outcome.waits.setdefault(started.client_account, [])
            waits.append(now - came_s[started.item_id])
            if end > started.deadline_s:
                outcome.late += 1
                continue
            served = outcome.in_time_s.get(started.client_account, 0.0)
            outcome.in_time_s[started.client_account] = served + started.cost_s
    return outcome


def _stream(account: str, rate: float, seconds: float, cost_s: float, patience_s: float = 30.0):
    draw = random.Random(account)
    arrivals = []
    for number in range(int(rate * seconds)):
        at = draw.uniform(0.0, seconds)
        arrivals.append((at, Item(f"{account}-{number}", account, cost_s, at + patience_s)))
    return arrivals


def test_a_hot_account_does_not_starve_the_others() -> None:
    """
    One account sends ten times what the system can do; three others send little.

    First come, first served, their lookups hang behind the hot account's line.
    """
    arrivals = _stream("hot", 100.0, 30.0, 0.5, patience_s=20.0)
    for number in range(3):
        arrivals += _stream(f"small-{number}", 1.0, 30.0, 0.5, patience_s=20.0)

    fair = _serve(FairQueue.from_weights({}, 5), arrivals, 5)
    plain = _serve(_FirstCome(5), arrivals, 5)

    assert fair.worst_wait("small") < 2.0
    assert plain.worst_wait("small") > 20.0
    assert all(shed.item.client_account == "hot" for _, shed in fair.shed)


def test_weights_divide_a_full_system() -> None:
    arrivals = _stream("heavy", 20.0, 60.0, 0.5) + _stream("light", 20.0, 60.0, 0.5)

    outcome = _serve(FairQueue.from_weights({"heavy": 3.0, "light": 1.0}, 4), arrivals, 4)

    share = outcome.in_time_s["heavy"] / sum(outcome.in_time_s.values())
    assert share == pytest.approx(0.75, abs=0.05)


def test_short_requests_pass_long_ones_and_long_ones_are_still_served() -> None:
    """
    An account sends long generations, then short lookups while auditors wait.

    In order of arrival each lookup waits for all long ones before it; with short ones always first
    the long ones would never run.
    """
    long = [(0.0, Item(f"long-{number}", "forge", 10.0, 500.0)) for number in range(10)]
    short = [
        (1.0 + number / 4, Item(f"short-{number}", "forge", 0.2, 500.0)) for number in range(400)
    ]

    fair = _serve(FairQueue.from_weights({}, 2), long + short, 2)
    plain = _serve(_FirstCome(2), long + short, 2)

    median = sorted(fair.waits["forge"])[205]
    assert median < 0.5 * sorted(plain.waits["forge"])[205]
    assert len(fair.waits["forge"]) == 410
    assert not fair.shed


def test_under_twice_the_load_whoever_is_served_is_served_in_time() -> None:
    """
    Twice what the slots can do arrives for two minutes; callers wait ten seconds.

    Without shedding every request is started after its caller has gone, and the endpoints work at
    full for nobody.
    """
    arrivals = []
    for number in range(4):
        arrivals += _stream(f"account-{number}", 5.0, 120.0, 1.0, patience_s=10.0)

    fair = _serve(FairQueue.from_weights({}, 10), arrivals, 10)
    plain = _serve(_FirstCome(10), arrivals, 10)

    assert fair.late == 0
    assert sum(fair.in_time_s.values()) > 0.9 * 120 * 10
    assert sum(plain.in_time_s.values()) < 0.5 * 120 * 10
    assert min(fair.in_time_s.values()) > 0.85 * max(fair.in_time_s.values())


def test_who_is_refused_and_comes_back_as_told_fits() -> None:
    """
    A burst of sixty requests of one second meets two slots and callers who wait ten seconds.

    A Retry-After that does not hold only moves the refusal.
    """
    first = [(0.0, Item(f"r-{number}", "forge", 1.0, 10.0)) for number in range(60)]
    refused = _serve(FairQueue.from_weights({}, 2), first, 2).shed
    assert len(refused) > 30

    again = []
    for at, shed in refused:
        back_s = at + shed.retry_after_s
        again.append((back_s, Item(f"again-{shed.item.item_id}", "forge", 1.0, back_s + 10.0)))
    retried = _serve(FairQueue.from_weights({}, 2), first + again, 2)

    assert not [shed for _, shed in retried.shed if shed.item.item_id.startswith("again")]
    assert retried.in_time_s["forge"] == 60.0


def test_who_cannot_be_served_in_time_is_told_when_it_comes() -> None:
    queue = FairQueue.from_weights({}, 1)
    for number in range(9):
        queue.offer(Item(f"r{number}", "forge", 1.0, 100.0), 0.0)

    (shed,) = queue.offer(Item("late", "forge", 1.0, 5.0), 0.0)

    assert (shed.item.item_id, shed.full) == ("late", False)
    assert queue.offer(Item("mill", "mill", 1.0, 5.0), 0.0) == ()


def test_a_request_with_a_large_bound_is_served_when_nothing_waits() -> None:
    """
    A caller asks for up to 100,000 tokens, usually gets a hundred, and waits a minute.

    Judged by the time that all the tokens would take, it would be refused on an idle system, and
    each time that it comes back as told.
    """
    queue = FairQueue.from_weights({}, 1)
    large = Item.from_estimate("large", "forge", 1250.0, 60.0, now=0.0)

    assert queue.offer(large, 0.0) == ()
    assert queue.take(0.1).item == large
    behind = Item.from_estimate("behind", "forge", 1250.0, 60.0, now=1.0)
    queue.offer(Item("first", "forge", 7.0, 100.0), 1.0)
    assert [shed.item.item_id for shed in queue.offer(behind, 1.0)] == ["behind"]


def test_what_runs_now_counts_as_waiting() -> None:
    queue = FairQueue.from_weights({}, 1)
    queue.offer(Item("running", "forge", 8.0, 100.0), 0.0)
    running = queue.take(0.0).item

    (shed,) = queue.offer(Item("late", "forge", 1.0, 5.0), 0.0)
    assert shed.item.item_id == "late"

    queue.correct(running, 1.0)
    assert queue.offer(Item("again", "forge", 1.0, 6.0), 1.0) == ()


def test_an_account_that_was_idle_saves_up_no_turns() -> None:
    """
    One account was idle for an hour while another was served; then both are busy.

    With saved-up turns the first would have all slots for an hour.
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


def test_a_full_queue_gives_up_the_longest_line_not_the_newcomer(monkeypatch) -> None:
    monkeypatch.setattr(queueing, "MAX_WAITING", 10)
    queue = FairQueue.from_weights({}, 1)
    for number in range(10):
        assert queue.offer(Item(f"hot-{number}", "hot", 0.1, 100.0), 0.0) == ()

    (shed,) = queue.offer(Item("small-0", "small", 0.1, 100.0), 0.0)

    assert shed.item.item_id == "hot-9" and shed.full
    assert queue.waiting == 10


def test_a_hopeless_request_is_answered_while_no_slot_gets_free() -> None:
    queue = FairQueue.from_weights({}, 1)
    queue.offer(Item("r", "forge", 1.0, 10.0), 0.0)

    assert queue.expire(8.9) == ()
    (shed,) = queue.expire(9.1)

    assert shed.item.item_id == "r" and not shed.full
    assert queue.take(9.2) == Turn(None)


def test_a_withdrawn_account_leaves_the_line() -> None:
    queue = FairQueue.from_weights({}, 1)
    queue.offer(Item("a", "forge", 1.0, 10.0), 0.0)
    queue.offer(Item("b", "mill", 1.0, 10.0), 0.0)

    gone = queue.remove(lambda item: item.client_account == "forge")

    assert [item.item_id for item in gone] == ["a"]
    assert queue.take(0.0).item.item_id == "b"


def test_an_account_that_underestimates_its_work_gets_its_share_only() -> None:
    queue = FairQueue.from_weights({}, 1)
    taken = {"sly": 0.0, "fair": 0.0}
    for number in range(200):
        queue.offer(Item(f"s{number}", "sly", 0.1, 1e9), 0.0)
        queue.offer(Item(f"f{number}", "fair", 1.0, 1e9), 0.0)
    for _ in range(100):
        item = queue.take(0.0).item
        taken[item.client_account] += 1.0
        queue.correct(item, 1.0)

    assert taken["sly"] == pytest.approx(taken["fair"], abs=2)


def test_after_an_overload_no_line_lasts() -> None:
    arrivals = _stream("hot", 40.0, 30.0, 1.0, patience_s=10.0)
    later = [
        (60.0 + number, Item(f"l-{number}", "mill", 1.0, 70.0 + number)) for number in range(9)
    ]

    outcome = _serve(FairQueue.from_weights({}, 10), arrivals + later, 10)

    assert max(outcome.waits["mill"]) == 0.0
