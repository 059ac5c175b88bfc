from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspring_decisions.cold_shares import SHARE_LEASE_S, ColdShares, owner_count, owners_of
from ibisspring_decisions.paced_sends import WINDOW_S, PacedSends

LIMIT = 16
STARTED_S = SHARE_LEASE_S + WINDOW_S


def names(count: int) -> list[str]:
    return [f"e{number}" for number in range(count)]


def test_a_returned_data_centre_is_served_by_few_entries_each() -> None:
    # Seventy-six entries forward requests to engines that are all cold. If each got its part of the
    # sixteen requests a second, none could send any.
    shares = ColdShares(0.0)

    granted = [shares.grant("x", name, names(76), LIMIT, STARTED_S) for name in names(76)]

    assert sorted(granted)[-5:] == [0, 4, 4, 4, 4]
    assert sum(granted) == LIMIT


def test_one_entry_gets_the_whole_budget() -> None:
    assert ColdShares(0.0).grant("x", "e0", ["e0"], LIMIT, STARTED_S) == LIMIT


def test_engines_have_different_owners() -> None:
    owners = {owners_of(f"x{number}", names(20), LIMIT) for number in range(8)}

    assert len(owners) > 4


def test_a_lost_owner_keeps_its_share_until_its_lease_has_expired() -> None:
    # An owner is cut off and may still use its share. An entry that takes its place gets nothing
    # before the lease and one more window have passed.
    shares = ColdShares(0.0)
    entries = names(10)
    owners = owners_of("x", entries, LIMIT)
    for name in owners:
        shares.grant("x", name, entries, LIMIT, STARTED_S)
    lost = min(owners)
    left = [name for name in entries if name != lost]
    (joined,) = owners_of("x", left, LIMIT) - owners
    for name in owners - {lost}:
        shares.grant("x", name, left, LIMIT, STARTED_S + 0.4)

    assert shares.grant("x", joined, left, LIMIT, STARTED_S + 0.5) == 0
    assert shares.grant("x", joined, left, LIMIT, 2 * STARTED_S - 0.01) == 0
    assert shares.grant("x", joined, left, LIMIT, 2 * STARTED_S) == LIMIT // 4


def test_a_new_leader_grants_nothing_while_its_predecessors_shares_may_be_in_use() -> None:
    shares = ColdShares(100.0)

    assert shares.grant("x", "e0", ["e0"], LIMIT, 100.0 + STARTED_S - 0.01) == 0
    assert shares.grant("x", "e0", ["e0"], LIMIT, 100.0 + STARTED_S) == LIMIT


@settings(deadline=None, max_examples=100)
@given(
    seed=st.integers(0, 2**32),
    limit=st.integers(1, 24),
    entries=st.integers(1, 9),
    leader_changes=st.lists(st.floats(0.5, 6.0), max_size=3),
)
def test_all_entries_together_never_exceed_the_limit(seed, limit, entries, leader_changes) -> None:
    """
    Entries join, leave, are cut off and frozen; leaders change; each sends as much as it may.

    An entry's clock starts anywhere. It counts its share from the moment at which it asked; the
    answer reaches it after a random delay, or never.
    """
    source = random.Random(seed)
    shares = ColdShares(0.0)
    change_at = sorted(leader_changes)
    offset = {name: source.uniform(-1e6, 1e6) for name in names(entries)}
    share_until = {name: (0, float("-inf")) for name in names(entries)}
    paced = {name: PacedSends(float("-inf")) for name in names(entries)}
    cut_until = dict.fromkeys(names(entries), 0.0)
    sent_at: list[float] = []
    now = 0.0
    while now < 15.0:
        now += source.uniform(0.01, 0.1)
        if change_at and now > change_at[0]:
            change_at.pop(0)
            shares = ColdShares(now)
        name = source.choice(names(entries))
        if source.random() < 0.05:
            cut_until[name] = now + source.uniform(0.0, 4.0)
        if now >= cut_until[name] and source.random() < 0.6:
            active = [other for other in names(entries) if now >= cut_until[other] - 1.0]
            granted = shares.grant("x", name, active, limit, now + source.uniform(0.0, 0.2))
            if source.random() < 0.9:
                share_until[name] = (granted, now + offset[name] + SHARE_LEASE_S)
        clock = now + offset[name]
        share, until = share_until[name]
        if clock >= until:
            continue
        for _ in range(min(paced[name].free("x", share, False, clock), source.randint(0, 8))):
            paced[name].record("x", clock)
            sent_at.append(now)
    for first in sent_at:
        assert sum(1 for other in sent_at if first <= other < first + 1.0) <= limit


def test_the_number_of_owners_follows_the_budget() -> None:
    assert owner_count(76, 3) == 1
    assert owner_count(76, 17) == 4
    assert owner_count(2, 17) == 2
