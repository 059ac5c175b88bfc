from __future__ import annotations

from ibisspring_core.errors import Reason
from ibisspring_core.messages.views import EntryView, PeerRecord
from ibisspring_core.rules import key_digest
from ibisspring_entry.lease.holding import LeaseState

RULE_COMMENT = "# asked: archive desk, ticket 118"
GRANTED = f"client_account forge key sha256:{key_digest('key')} rate 1/s weight 1 {RULE_COMMENT}"
WITHDRAWN = f"client_account forge rate 1/s weight 1 {RULE_COMMENT}"


def test_a_lease_counts_from_the_sending_of_its_renewal() -> None:
    """
    The reply to a renewal arrives after 10 seconds. By then the leader counts the lease as lapsed
    and has reported to an operator that the key is withdrawn on every entry.

    If the lease counted from the receipt of the reply, the entry would accept that key for 3 more
    seconds.
    """
    state = LeaseState()
    state.apply(EntryView(5, 1, GRANTED), 1)

    state.extend(sent_s=100.0, lease_s=3.0)

    assert state.lapsed(110.0)
    assert not state.lapsed(102.9)
    refusal = state.refusal()
    assert (refusal.reason, refusal.not_run) == (Reason.LEASE_LAPSED, True)


def test_an_older_view_never_replaces_a_newer_one() -> None:
    """
    Two replies to renewals arrive out of order: the view without the withdrawn key is already in
    force when the older view arrives.

    If the older view were applied, the withdrawn key would be valid again.
    """
    state = LeaseState()
    state.apply(EntryView(5, 1, GRANTED), 1)
    assert state.rules.client_account_of("key") == "forge"
    assert state.apply(EntryView(9, 2, WITHDRAWN), 1)

    assert not state.accepts(EntryView(5, 1, GRANTED))

    assert state.rules.client_account_of("key") is None
    assert state.accepts(EntryView(9, 2, WITHDRAWN))


def test_without_a_view_there_is_no_lease() -> None:
    state = LeaseState()
    state.extend(sent_s=100.0, lease_s=3.0)

    assert state.lapsed(100.1)


def test_rules_that_do_not_parse_are_not_accepted() -> None:
    state = LeaseState()
    state.apply(EntryView(5, 1, GRANTED), 1)

    assert not state.accepts(EntryView(6, 2, "a rule of a later release"))


def test_peers_missing_from_a_new_leaders_incomplete_view_are_kept() -> None:
    """
    A newly elected leader has received a renewal from one entry only, and its view lists only this
    entry.

    If this entry treated the list as complete, it would use the complete rate of each client
    account although its peers use their shares too.
    """
    peers = {name: PeerRecord(name, 1, "derby", "a") for name in ("e1", "e2")}
    state = LeaseState()
    state.apply(EntryView(5, 1, GRANTED, peer_by_daemon=peers), 1)

    incomplete_view = EntryView(
        5, 1, GRANTED, peer_by_daemon={"e1": peers["e1"]}, peers_complete=False
    )
    state.apply(incomplete_view, 2)
    assert sorted(state.view.peer_by_daemon) == ["e1", "e2"]

    state.apply(EntryView(5, 1, GRANTED, peer_by_daemon={"e1": peers["e1"]}), 3)
    assert sorted(state.view.peer_by_daemon) == ["e1"]
