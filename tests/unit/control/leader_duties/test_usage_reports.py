from __future__ import annotations

import pytest

from ibisspring_control.leader_duties.usage_reports import ReportSettings, UsageReports
from ibisspring_core.messages.commands import CloseWindow, WindowReported

AFTER_CLOSE_S = 6 * 60 + 10.0


@pytest.fixture
def reports(control, watch, counters, usage_url) -> UsageReports:
    settings = ReportSettings("c1", usage_url, 60.0, timeout_s=20.0, min_lease_s=0.4)
    return UsageReports(control, control, watch, counters, settings)


async def test_a_window_is_closed_then_reported_then_recorded(
    control, reports, leadership, fake_usage
) -> None:
    reports_at_commit = []
    control.on_commit = lambda command: reports_at_commit.append(len(fake_usage.reports))

    await reports.run(leadership, AFTER_CLOSE_S)

    assert control.commands == [CloseWindow(5), WindowReported(5)]
    assert reports_at_commit == [0, 1]
    (report,) = fake_usage.reports
    assert (report["key"], report["from"], report["to"]) == ("window-5", 300.0, 360.0)
    assert report["lines"][0]["tokens"] == 70


async def test_a_window_that_is_not_over_stays_open(
    control, reports, leadership, fake_usage
) -> None:
    await reports.run(leadership, 6 * 60 + 1.0)

    assert control.commands == []
    assert fake_usage.reports == []


async def test_a_report_whose_answer_was_lost_is_resent_with_the_same_figures(
    control, reports, leadership, fake_usage
) -> None:
    # The usage interface accepts a report and its answer is lost. If the retry had another
    # idempotency key, its usage would be counted twice. If the retry had other figures than those
    # that the log fixed when the window was closed, the two reports would differ.
    fake_usage.faults.drop_answer = True
    await reports.run(leadership, AFTER_CLOSE_S)
    fake_usage.faults.drop_answer = False
    await reports.run(leadership, AFTER_CLOSE_S)

    first, second = fake_usage.reports
    assert first["lines"] == second["lines"]
    assert first["key"] == second["key"]
    assert control.commands[-1] == WindowReported(5)


async def test_nothing_is_reported_on_a_lapsed_lease(
    control, reports, leadership, fake_usage
) -> None:
    control.lease_s = 0.0

    await reports.run(leadership, AFTER_CLOSE_S)

    assert fake_usage.reports == []
