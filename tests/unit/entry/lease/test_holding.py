from __future__ import annotations

from ibisspring_core.errors import Reason
from ibisspring_core.messages.views import EntryView, PeerRecord
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

    assert not holding.accepts(EntryView(5, 1, GRANTED))

    assert holding.rules.client_account_of("key") is None
    assert holding.accepts(EntryView(9, 2, WITHDRAWN))


def test_without_a_view_there_is_no_lease() -> None:
    holding = Holding()
    holding.extend(sent_s=100.0, lease_s=3.0)

    assert holding.lapsed(100.1)


def test_rules_that_do_not_parse_are_not_taken() -> None:
    holding = Holding()
    holding.take(EntryView(5, 1, GRANTED), 1)

    assert not holding.accepts(EntryView(6, 2, "a rule of a later release"))


def test_entries_that_a_new_leader_has_not_heard_of_stay_known() -> None:
    """
    A leader has just risen and has heard from one entry only; its view names that one.

    Taken as all, the entry would use the whole rate of each client account beside its peers.
    """
    peers = {name: PeerRecord(name, 1, "derby", "a") for name in ("e1", "e2")}
    holding = Holding()
    holding.take(EntryView(5, 1, GRANTED, peer_by_daemon=peers), 1)

    early = EntryView(5, 1, GRANTED, peer_by_daemon={"e1": peers["e1"]}, peers_complete=False)
    holding.take(early, 2)
    assert sorted(holding.view.peer_by_daemon) == ["e1", "e2"]

    holding.take(EntryView(5, 1, GRANTED, peer_by_daemon={"e1": peers["e1"]}), 3)
    assert sorted(holding.view.peer_by_daemon) == ["e1"]
