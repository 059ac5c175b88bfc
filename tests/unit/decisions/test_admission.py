"""Admission, tested by the number of requests that it admits."""

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

EXCHANGE_EVERY_S = 1.0


@dataclass(frozen=True)
class _Rule:
    rate_per_s: float
    burst: float


class _Entries:
    """
    Entries that exchange their demand once a second.

    :param isolated: indexes of entries that neither send nor receive demand.
    """

    def __init__(self, count: int, rules: dict[str, _Rule]) -> None:
        self.admissions = [Admission.from_rules(rules, 0.0) for _ in range(count)]
        self.isolated: set[int] = set()
        self.exchanged_s = -EXCHANGE_EVERY_S
        self.received: dict[tuple[int, int], PeerDemand] = {}

    def exchange(self, now: float) -> None:
        """Exchange demand between the entries if the last exchange was a second ago."""
        if now - self.exchanged_s < EXCHANGE_EVERY_S:
            return
        self.exchanged_s = now
        demands = [admission.demand(now) for admission in self.admissions]
        for at, admission in enumerate(self.admissions):
            for peer, demand in enumerate(demands):
                if peer != at and not self.isolated & {at, peer}:
                    self.received[(at, peer)] = PeerDemand(now, demand)
            others = [peer for peer in range(len(demands)) if peer != at]
            unknown = PeerDemand(None, {})
            admission.divide_by_demand(
                tuple(self.received.get((at, peer), unknown) for peer in others), now
            )

    def run(self, arrivals: list[tuple[float, int, str]]) -> dict[str, int]:
        """Process requests (time, entry, account) and return the number admitted by account."""
        admitted: dict[str, int] = {}
        for now, entry, account in sorted(arrivals):
            self.exchange(now)
            if isinstance(self.admissions[entry].admit(account, now), Admitted):
                admitted[account] = admitted.get(account, 0) + 1
        return admitted


def _steady(rate: float, start: float, end: float, entry: int, account: str = "forge"):
    """Build evenly spaced requests (time, entry, account), `rate` per second."""
    count = int((end - start) * rate)
    return [(start + number / rate, entry, account) for number in range(count)]


def test_rejected_requests_of_a_burst_are_admitted_at_their_retry_times() -> None:
    """
    A job starts and sends a hundred requests at once under a rate of ten per second.

    If the rejections did not state different retry times, all rejected requests would be retried at
    once and most of them rejected again.
    """
    admission = Admission.from_rules({"forge": _Rule(10.0, 10.0)}, 0.0)
    # Pending requests are (time of the next try, rejections so far).
    pending: list[tuple[float, int]] = [(0.0, 0)] * 100
    rejections_when_admitted: list[int] = []
    while pending:
        now, rejections = heapq.heappop(pending)
        answer = admission.admit("forge", now)
        if isinstance(answer, Admitted):
            rejections_when_admitted.append(rejections)
            continue
        heapq.heappush(pending, (now + answer.retry_after_s, rejections + 1))

    assert rejections_when_admitted.count(0) == 10
    assert max(rejections_when_admitted) == 1


def test_an_account_connected_to_one_entry_gets_most_of_its_rate() -> None:
    """
    All connections of an account lead to one of nine entries.

    If the rate were divided evenly over the entries, the account would get a ninth of its rate.
    """
    entries = _Entries(9, {"forge": _Rule(90.0, 9.0)})

    admitted = entries.run(_steady(200.0, 0.0, 30.0, entry=3))["forge"]

    even = 90.0 / 9 * 30
    assert admitted > 2.5 * even
    assert admitted <= 90.0 * 30 + 9


@pytest.mark.parametrize("entries_asked", [1, 3, 9])
def test_all_entries_together_never_admit_more_than_the_rate(entries_asked: int) -> None:
    entries = _Entries(9, {"forge": _Rule(90.0, 9.0)})
    warm_up = [arrival for at in range(entries_asked) for arrival in _steady(60.0, 0.0, 5.0, at)]
    entries.run(warm_up)
    later = [arrival for at in range(entries_asked) for arrival in _steady(60.0, 5.0, 25.0, at)]

    admitted = entries.run(later)["forge"]

    assert admitted <= 90.0 * 20 + 2 * 9
    assert admitted >= 0.75 * min(90.0, 60.0 * entries_asked) * 20


def test_a_hot_account_does_not_reduce_the_rate_of_others() -> None:
    rules = {"forge": _Rule(10.0, 5.0), "mill": _Rule(10.0, 5.0)}
    hot = _steady(500.0, 0.0, 20.0, 0, "forge")

    admitted = _Entries(1, rules).run(hot + _steady(9.0, 0.0, 20.0, 0, "mill"))

    assert admitted["mill"] == 180
    assert admitted["forge"] <= 10 * 20 + 5


def test_partitioned_entries_together_stay_within_the_rate() -> None:
    """
    One of three entries is cut off from the others while each receives more than the rate.

    If both sides used the complete rate, they would admit twice what the rule allows; if a side
    used none of it, callers within their rate would be rejected.
    """
    entries = _Entries(3, {"forge": _Rule(30.0, 3.0)})
    entries.run([arrival for at in range(3) for arrival in _steady(40.0, 0.0, 10.0, at)])
    entries.isolated = {2}
    entries.run([arrival for at in range(3) for arrival in _steady(40.0, 10.0, 14.0, at)])

    isolated = entries.run(_steady(40.0, 14.0, 34.0, 2))["forge"]
    entries.exchanged_s = 13.0
    others = [arrival for at in range(2) for arrival in _steady(40.0, 14.0, 34.0, at)]
    connected = entries.run(others)["forge"]

    assert 0.9 * 10 * 20 <= isolated <= 10 * 20 + 3
    assert 0.9 * 20 * 20 <= connected <= 20 * 20 + 4


def test_requests_after_an_overload_are_admitted_at_once() -> None:
    admission = Admission.from_rules({"forge": _Rule(10.0, 10.0)}, 0.0)
    for number in range(2000):
        admission.admit("forge", number / 100)

    answers = [admission.admit("forge", 22.0 + number / 10) for number in range(50)]

    assert all(isinstance(answer, Admitted) for answer in answers)


def test_a_changed_rule_gives_other_accounts_no_new_burst() -> None:
    rules = {"forge": _Rule(1.0, 5.0), "mill": _Rule(1.0, 5.0)}
    admission = Admission.from_rules(rules, 0.0)
    for _ in range(5):
        admission.admit("forge", 0.0)

    admission.set_rules({**rules, "mill": _Rule(2.0, 9.0)}, 0.0)

    assert isinstance(admission.admit("forge", 0.0), NotAdmitted)


def test_an_account_without_a_rule_is_never_admitted() -> None:
    admission = Admission.from_rules({}, 0.0)

    assert admission.admit("nobody", 0.0) == NotAdmitted(MAX_RETRY_AFTER_S)
