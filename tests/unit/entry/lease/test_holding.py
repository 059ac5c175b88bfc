from __future__ import annotations

from ibisspring_core.errors import Reason
from ibisspring_core.messages.views import EntryView
from ibisspring_core.rules import key_digest
from ibisspring_entry.lease.holding import Holding

ASKED = "# asked: archive desk, ticket 118"
GRANTED = f"client_account forge key sha256:{key_digest('key')} rate 1/s weight 1 {ASKED}"
WITHDRAWN = f"client_account forge rate 1/s weight 1 {ASKED}"


def test_a_grant_counts_from_its_sending_however_late_its_answer_comes() -> None:
    """
    The answer to a renewal is ten seconds under way; the leader has long taken the lease for
    lapsed and told an operator that the key is withdrawn everywhere.

    Counted from the receipt the entry would serve that key for three seconds more.
    """
    holding = Holding()
    holding.take(EntryView(5, 1, GRANTED), 1)

    holding.extend(sent_s=100.0, lease_s=3.0)

    assert holding.lapsed(110.0)
    assert not holding.lapsed(102.9)
    refusal = holding.refusal()
    assert (refusal.reason, refusal.not_run) == (Reason.LEASE_LAPSED, True)


def test_an_older_view_never_comes_back_into_force() -> None:
    """
    Two answers overtake each other: the one without the withdrawn key is in force, then the older
    one arrives.

    Taken, it would give the withdrawn key its power again.
    """
    holding = Holding()
    holding.take(EntryView(5, 1, GRANTED), 1)
    assert holding.rules.client_account_of("key") == "forge"
    assert holding.take(EntryView(9, 2, WITHDRAWN), 1)

    assert not holding.take(EntryView(5, 1, GRANTED), 1)

    assert holding.rules.client_account_of("key") is None
    assert holding.view.index == 9


def test_without_a_view_there_is_no_lease() -> None:
    holding = Holding()
    holding.extend(sent_s=100.0, lease_s=3.0)

    assert holding.lapsed(100.1)


def test_rules_that_do_not_parse_are_not_taken() -> None:
    holding = Holding()
    holding.take(EntryView(5, 1, GRANTED), 1)

    assert not holding.take(EntryView(6, 2, "a rule of a later release"), 1)

    assert holding.view.index == 5
