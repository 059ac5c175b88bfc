"""Tests of the ledger of engine time that client accounts have used."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisspring_decisions.account_shares import HALF_LIFE_S, MIN_USED_S, AccountLedger, AccountUsage

CHARGES = st.lists(
    st.tuples(st.sampled_from(["a", "b", "c"]), st.floats(0.0, 100.0), st.floats(0.0, 60.0))
)


def ledger_of(charges: list[tuple[str, float, float]]) -> AccountLedger:
    """Return a ledger with charges of account, slot-seconds and time."""
    ledger = AccountLedger()
    for account, slot_s, at_s in sorted(charges, key=lambda charge: charge[2]):
        ledger.charge(account, slot_s, at_s)
    return ledger


def test_usage_decays_by_half() -> None:
    """An account must not pay for good for slots that nobody else wanted."""
    ledger = ledger_of([("a", 8.0, 0.0)])
    assert ledger.used_s("a", HALF_LIFE_S) == pytest.approx(4.0)
    assert ledger.used_s("a", 3 * HALF_LIFE_S) == pytest.approx(1.0)


def test_clock_that_is_set_back_does_not_raise_usage() -> None:
    """Usage that grew with a clock's step would starve an account that did nothing."""
    ledger = ledger_of([("a", 8.0, 100.0)])
    assert ledger.used_s("a", 0.0) == 8.0
    ledger.charge("a", 1.0, 0.0)
    assert ledger.used_s("a", 100.0) == 9.0


def test_weights_divide_the_time() -> None:
    """An account of weight 3 is owed three quarters of what both used."""
    weight_by_account = {"a": 3.0, "b": 1.0}
    ledger = AccountLedger(weight_by_account.__getitem__)
    ledger.charge("a", 2.0, 0.0)
    ledger.charge("b", 2.0, 0.0)
    assert ledger.owed_s("a", ("a", "b"), 0.0) == pytest.approx(1.0)
    assert ledger.owed_s("b", ("a", "b"), 0.0) == pytest.approx(-1.0)


def test_time_of_idle_accounts_is_lent() -> None:
    """An account that is alone has its share, whatever it uses."""
    ledger = ledger_of([("a", 50.0, 0.0), ("b", 1.0, 0.0)])
    assert ledger.owed_s("a", ("a",), 0.0) == 0.0
    assert ledger.owed_s("a", ("a", "b"), 0.0) < 0.0
    assert ledger.standings(("a",), 0.0)["a"].floor_s == 0.0


def test_decayed_accounts_are_dropped_from_the_log() -> None:
    """Accounts that left long ago must not stay in each commit of the usage."""
    ledger = ledger_of([("gone", MIN_USED_S, 0.0), ("a", 5.0, HALF_LIFE_S)])
    assert [usage.client_account for usage in ledger.to_usage("s", HALF_LIFE_S)] == ["a"]
    assert ledger.accounts() == ("a",)


@given(CHARGES)
def test_owed_time_adds_up_to_nothing(charges: list[tuple[str, float, float]]) -> None:
    """What some accounts are owed, the others have borrowed."""
    ledger = ledger_of(charges)
    active = ("a", "b", "c")
    owed = [ledger.owed_s(account, active, 60.0) for account in active]
    assert sum(owed) == pytest.approx(0.0, abs=1e-6)


@given(CHARGES, st.floats(0.0, 30.0))
def test_restored_ledger_equals_the_kept_one(
    charges: list[tuple[str, float, float]], later_s: float
) -> None:
    """A new leader that forgot usage would let an account take its share twice."""
    ledger = ledger_of(charges)
    usage = (*ledger.to_usage("s", 60.0), AccountUsage("other", "a", 1e6, 60.0))
    restored = AccountLedger.from_usage(usage, "s")
    for account in ("a", "b", "c"):
        expected = pytest.approx(ledger.used_s(account, 60.0 + later_s), abs=MIN_USED_S)
        assert restored.used_s(account, 60.0 + later_s) == expected
