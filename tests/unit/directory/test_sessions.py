from __future__ import annotations

from ibisspring_core.messages.directory import Member, Renew, UsageCount
from ibisspring_directory.membership import spread
from ibisspring_directory.sessions import IN_TOUCH_S, Sessions
from ibisspring_directory.usage import WindowCounts


def renew(name: str, role: str = "entry", **fields) -> Renew:
    return Renew(f"10.0.0.{name}:1", name, "derby", fields.pop("start", "s"), role, **fields)


def test_a_change_waits_for_entries_in_touch_and_for_no_others() -> None:
    # An operator changes a route while one entry is frozen. Waiting for that one, the order would
    # be answered too late; answered before the others have it, requests would go where they must
    # not.
    sessions = Sessions()
    sessions.take(renew("1", table_version=4), 10.0)
    sessions.take(renew("2", table_version=3), 10.0)
    sessions.take(renew("3", "store", table_version=-1), 10.0)

    assert sessions.lacking(4, 10.0) == ("2",)
    assert sessions.lacking(4, 10.1 + IN_TOUCH_S) == ()
    sessions.take(renew("2", table_version=4), 10.2)
    assert sessions.lacking(4, 10.2) == ()


def test_the_time_of_day_is_that_of_most() -> None:
    # The leader's clock jumps by two seconds; requests would be counted in windows that are not
    # theirs, and the reports of all client accounts would be wrong.
    sessions = Sessions()
    for name in ("1", "2", "3"):
        sessions.take(renew(name, wall_s=1000.0 + 10.0), 10.0)

    assert sessions.wall_offset_s(10.0, own_offset_s=1002.4) == 1000.0
    sessions.take(renew("1", wall_s=1000.0 + 10.0 - 2.4), 10.0)
    assert sessions.wall_offset_s(10.0, own_offset_s=1002.4) == 1000.0


def test_a_daemon_that_started_again_is_told_apart() -> None:
    sessions = Sessions()

    assert sessions.take(renew("1"), 1.0)
    assert not sessions.take(renew("1"), 2.0)
    assert sessions.take(renew("1", start="again"), 3.0)


def test_the_store_that_said_last_that_it_leads_is_the_leader() -> None:
    sessions = Sessions()
    sessions.take(renew("1", "store", leads_jobs=True), 1.0)
    sessions.take(renew("2", "store", leads_jobs=True), 1.5)

    assert sessions.job_leader(1.6).renew.daemon == "2"
    assert sessions.job_leader(9.0) is None


def test_counts_of_an_entry_take_the_place_of_its_earlier_ones() -> None:
    # Renewals are sent again when their answer is lost; added up, a request would be billed twice.
    counts = WindowCounts()
    counts.take(renew("1", usage=(UsageCount(7, "forge", 2),)), 6)
    counts.take(renew("1", usage=(UsageCount(7, "forge", 3), UsageCount(6, "forge", 9))), 6)
    counts.take(renew("2", usage=(UsageCount(7, "forge", 1), UsageCount(7, "mill", 1))), 6)
    counts.take(renew("1", start="again", usage=(UsageCount(7, "forge", 1),)), 6)

    assert counts.close(7) == (("forge", 5), ("mill", 1))
    assert counts.close(8) == ()


def test_founders_stand_in_different_data_centres_where_they_can() -> None:
    members = [
        Member(f"10.0.{n}.1:1", f"s{n}", centre, f"d{n}", True)
        for n, centre in enumerate(("derby", "derby", "stoke", "walsall"))
    ]

    assert {one.data_centre for one in spread(members, 3)} == {"derby", "stoke", "walsall"}
    assert len(spread(members[:2], 3)) == 2
