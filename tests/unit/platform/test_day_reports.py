from __future__ import annotations

import json

import pytest

from bench.lost_worth import losses, main
from ibisspring_platform.day_reports import read_report

REPORT = {
    "G": 0.7,
    "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.5]],
    "prices": [["new connections to servers", 600.0, 0.08], ["cloud calls", 12.0, 0.0003]],
    "classes": [{"name": "lookup", "n": 90, "worth": 0.95, "late": 4, "p99_ms": 800.0}],
    "windows": [
        {"name": "0", "n": 9, "worth": 1.0},
        {"name": "42", "n": 12, "worth": 0.4, "refused": 3},
    ],
    "events": [
        {"at_s": 2.0, "to_s": 4.0, "kind": "srv_slow"},
        {"at_s": 41.5, "to_s": 42.5, "kind": "kill_all"},
    ],
    "hints": ["not read"],
}


@pytest.fixture
def report(tmp_path):
    path = tmp_path / "day.json"
    path.write_text(json.dumps(REPORT))
    return path


def test_losses_add_up_to_the_parts_and_prices(report) -> None:
    worth_lost_by_cause = losses(read_report(report))

    assert worth_lost_by_cause["part: worst windows"] == pytest.approx(0.15)
    assert worth_lost_by_cause["part: whole day"] == pytest.approx(0.07)
    assert worth_lost_by_cause["price: new connections to servers"] == 0.08
    assert sum(worth_lost_by_cause.values()) == pytest.approx(0.15 + 0.07 + 0.08 + 0.0003)


def test_window_lists_the_disturbances_that_overlap_it(report) -> None:
    day = read_report(report)

    assert [event.kind for event in day.events_overlapping(day.windows[1])] == ["kill_all"]
    assert [event.kind for event in day.events_overlapping(day.windows[0])] == []


def test_main_prints_the_tables_and_draws_the_losses(report, capsys, monkeypatch, tmp_path) -> None:
    monkeypatch.setattr("bench._report.PLOTS", tmp_path)
    main((str(report),))

    printed = capsys.readouterr().out
    assert "| price: new connections to servers | 0.080 | 0.080 |" in printed
    assert "kill_all" in printed
    assert (tmp_path / "lost-worth.png").exists()
