"""Admission, judged by what callers receive."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

import pytest

from ibisspring_decisions.admission import (
    MAX_RETRY_AFTER_S,
    Admission,
    Admitted,
    NotAdmitted,
    PeerDemand,
)

SHARE_EVERY_S = 1.0


@dataclass(frozen=True)
class _Rule:
    rate_per_s: float
    burst: float


class _Entries:
    """Entries that tell each other their demand once a second, but for those that are cut off."""

    def __init__(self, count: int, rules: dict[str, _Rule]) -> None:
        self.admissions = [Admission.from_rules(rules, 0.0) for _ in range(count)]
        self.cut: set[int] = set()
        self.shared_s = -SHARE_EVERY_S
        self.heard: dict[tuple[int, int], PeerDemand] = {}

    def tick(self, now: float) -> None:
        if now - self.shared_s < SHARE_EVERY_S:
            return
        self.shared_s = now
        demands = [admission.demand(now) for admission in self.admissions]
        for at, admission in enumerate(self.admissions):
            for peer, demand in enumerate(demands):
                if peer != at and not self.cut & {at, peer}:
                    self.heard[(at, peer)] = PeerDemand(now, demand)
            others = [peer for peer in range(len(demands)) if peer != at]
            silent = PeerDemand(None, {})
            admission.share(tuple(self.heard.get((at, peer), silent) for peer in others), now)

    def run(self, arrivals: list[tuple[float, int, str]]) -> dict[str, int]:
        """Let requests (time, entry, account) arrive; count the admitted ones by account."""
        admitted: dict[str, int] = {}
        for now, entry, account in sorted(arrivals):
            self.tick(now)
            if isinstance(self.admissions[entry].ask(account, now), Admitted):
                admitted[account] = admitted.get(account, 0) + 1
        return admitted


def _steady(rate: float, start: float, end: float, entry: int, account: str = "forge"):
    count = int((end - start) * rate)
    return [(start + number / rate, entry, account) for number in range(count)]


def test_a_burst_is_refused_early_and_those_who_come_back_as_told_are_let_in() -> None:
    """
    A job starts and sends a hundred requests at once under a rate of ten a second.

    Without a time of its own for each, all refused callers return together and are refused again.
    """
    admission = Admission.from_rules({"forge": _Rule(10.0, 10.0)}, 0.0)
    waiting: list[tuple[float, int]] = [(0.0, 0)] * 100
    visits: list[int] = []
    while waiting:
        now, refused = heapq.heappop(waiting)
        answer = admission.ask("forge", now)
        if isinstance(answer, Admitted):
            visits.append(refused)
            continue
        heapq.heappush(waiting, (now + answer.retry_after_s, refused + 1))

    assert visits.count(0) == 10
    assert max(visits) == 1


def test_connections_on_one_entry_get_nearly_the_whole_rate() -> None:
    """
    All connections of an account sit on one of nine entries.

    Divided evenly it would be given a ninth of what it is granted.
    """
    entries = _Entries(9, {"forge": _Rule(90.0, 9.0)})

    admitted = entries.run(_steady(200.0, 0.0, 30.0, entry=3))["forge"]

    even = 90.0 / 9 * 30
    assert admitted > 2.5 * even
    assert admitted <= 90.0 * 30 + 9


@pytest.mark.parametrize("entries_asked", [1, 3, 9])
def test_all_entries_together_never_give_more_than_the_rate(entries_asked: int) -> None:
    entries = _Entries(9, {"forge": _Rule(90.0, 9.0)})
    warm_up = [arrival for at in range(entries_asked) for arrival in _steady(60.0, 0.0, 5.0, at)]
    entries.run(warm_up)
    later = [arrival for at in range(entries_asked) for arrival in _steady(60.0, 5.0, 25.0, at)]

    admitted = entries.run(later)["forge"]

    assert admitted <= 90.0 * 20 + 2 * 9
    assert admitted >= 0.75 * min(90.0, 60.0 * entries_asked) * 20


def test_a_hot_account_takes_nothing_from_the_others() -> None:
    rules = {"forge": _Rule(10.0, 5.0), "mill": _Rule(10.0, 5.0)}
    hot = _steady(500.0, 0.0, 20.0, 0, "forge")

    admitted = _Entries(1, rules).run(hot + _steady(9.0, 0.0, 20.0, 0, "mill"))

    assert admitted["mill"] == 180
    assert admitted["forge"] <= 10 * 20 + 5


def test_entries_that_lose_sight_of_each_other_keep_a_safe_share() -> None:
    """
    One of three entries is cut off from the others while all are asked for more than the rate.

    Each side taking the whole rate would admit twice what the rule grants; taking nothing would
    turn away callers who are within it.
    """
    entries = _Entries(3, {"forge": _Rule(30.0, 3.0)})
    entries.run([arrival for at in range(3) for arrival in _steady(40.0, 0.0, 10.0, at)])
    entries.cut = {2}
    entries.run([arrival for at in range(3) for arrival in _steady(40.0, 10.0, 14.0, at)])

    cut_off = entries.run(_steady(40.0, 14.0, 34.0, 2))["forge"]
    entries.shared_s = 13.0
    others = [arrival for at in range(2) for arrival in _steady(40.0, 14.0, 34.0, at)]
    seen = entries.run(others)["forge"]

    assert 0.9 * 10 * 20 <= cut_off <= 10 * 20 + 3
    assert 0.9 * 20 * 20 <= seen <= 20 * 20 + 4


def test_after_an_overload_the_next_requests_are_let_in_at_once() -> None:
    admission = Admission.from_rules({"forge": _Rule(10.0, 10.0)}, 0.0)
    for number in range(2000):
        admission.ask("forge", number / 100)

    answers = [admission.ask("forge", 22.0 + number / 10) for number in range(50)]

    assert all(isinstance(answer, Admitted) for answer in answers)


def test_a_changed_rule_gives_no_account_a_fresh_burst() -> None:
    rules = {"forge": _Rule(1.0, 5.0), "mill": _Rule(1.0, 5.0)}
    admission = Admission.from_rules(rules, 0.0)
    for _ in range(5):
        admission.ask("forge", 0.0)

    admission.follow_rules({**rules, "mill": _Rule(2.0, 9.0)}, 0.0)

    assert isinstance(admission.ask("forge", 0.0), NotAdmitted)


def test_an_account_without_a_rule_is_never_let_in() -> None:
    admission = Admission.from_rules({}, 0.0)

    assert admission.ask("nobody", 0.0) == NotAdmitted(MAX_RETRY_AFTER_S)
