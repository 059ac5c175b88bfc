from __future__ import annotations

from ibisspring_core.messages.directory import Member, Renew, UsageCount
from ibisspring_directory.membership import choose_across_data_centres
from ibisspring_directory.sessions import SESSION_ACTIVE_S, Sessions
from ibisspring_directory.usage import WindowCounts


def renew(name: str, role: str = "entry", **fields) -> Renew:
    return Renew(f"10.0.0.{name}:1", name, "derby", fields.pop("incarnation", "s"), role, **fields)


def test_a_change_waits_only_for_active_entries() -> None:
    # An operator changes a route while one entry is frozen. If the answer waited for the frozen
    # entry, it would be sent too late. If it were sent before the other entries have the change,
    # these would still forward requests by the old route after the answer.
    sessions = Sessions()
    sessions.record(renew("1", table_version=4), 10.0)
    sessions.record(renew("2", table_version=3), 10.0)
    sessions.record(renew("3", "store", table_version=-1), 10.0)

    assert sessions.with_older_table(4, 10.0) == ("2",)
    assert sessions.with_older_table(4, 10.1 + SESSION_ACTIVE_S) == ()
    sessions.record(renew("2", table_version=4), 10.2)
    assert sessions.with_older_table(4, 10.2) == ()


def test_the_wall_clock_offset_is_the_median_over_all_daemons() -> None:
    # The wall clock of the leader jumps by more than two seconds. If the daemons used this clock,
    # requests would be counted in the wrong usage windows, and the reports of all client accounts
    # would be wrong.
    sessions = Sessions()
    for name in ("1", "2", "3"):
        sessions.record(renew(name, wall_s=1000.0 + 10.0), 10.0)

    assert sessions.wall_offset_s(10.0, own_offset_s=1002.4) == 1000.0
    sessions.record(renew("1", wall_s=1000.0 + 10.0 - 2.4), 10.0)
    assert sessions.wall_offset_s(10.0, own_offset_s=1002.4) == 1000.0


def test_a_restarted_daemon_is_reported_as_new() -> None:
    sessions = Sessions()

    assert sessions.record(renew("1"), 1.0)
    assert not sessions.record(renew("1"), 2.0)
    assert sessions.record(renew("1", incarnation="again"), 3.0)


def test_the_last_store_to_report_leadership_is_the_leader() -> None:
    sessions = Sessions()
    sessions.record(renew("1", "store", leads_jobs=True), 1.0)
    sessions.record(renew("2", "store", leads_jobs=True), 1.5)

    assert sessions.job_leader(1.6).renew.daemon == "2"
    assert sessions.job_leader(9.0) is None


def test_later_counts_of_an_entry_replace_its_earlier_ones() -> None:
    # An entry sends a renewal again if the answer to it was lost. If the counts of both renewals
    # were added up, a request would be billed twice.
    counts = WindowCounts()
    counts.merge(renew("1", usage=(UsageCount(7, "forge", 2),)), 6)
    counts.merge(renew("1", usage=(UsageCount(7, "forge", 3), UsageCount(6, "forge", 9))), 6)
    counts.merge(renew("2", usage=(UsageCount(7, "forge", 1), UsageCount(7, "mill", 1))), 6)
    counts.merge(renew("1", incarnation="again", usage=(UsageCount(7, "forge", 1),)), 6)

    assert counts.close(7) == (("forge", 5), ("mill", 1))
    assert counts.close(8) == ()


def test_founders_are_spread_over_data_centres() -> None:
    members = [
        Member(f"10.0.{n}.1:1", f"s{n}", data_centre, f"d{n}", True)
        for n, data_centre in enumerate(("derby", "derby", "stoke", "walsall"))
    ]

    assert {founder.data_centre for founder in choose_across_data_centres(members, 3)} == {
        "derby",
        "stoke",
        "walsall",
    }
    assert len(choose_across_data_centres(members[:2], 3)) == 2
