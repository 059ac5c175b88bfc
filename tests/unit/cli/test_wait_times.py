from __future__ import annotations

import json

from click.testing import CliRunner
from unit.cli.test_explain import log_line

from ibisspring_cli.explanations import explain
from ibisspring_cli.log_lines import parse_lines
from ibisspring_cli.main import main
from ibisspring_cli.wait_times import MEANING_BY_WAIT
from ibisspring_jobs import wait_causes

LOG_OF_A_LATE_STEP = [
    log_line("s1", 10.0, "jobs:accepted", 1.0, job="j1", items=2),
    log_line("s1", 11.0, "jobs:waits", 2.0, job="j1", reasons=["no_free_slot"], waiting=2),
    log_line("s1", 11.5, "jobs:waits", 2.5, job="j2", reasons=["no_runner"], waiting=2),
    log_line("s1", 14.0, "jobs:waits", 5.0, job="j1", reasons=["held"], waiting=2),
    log_line("s1", 17.5, "jobs:waits", 8.5, job="j1", reasons=[], waiting=0),
    log_line("e1", 18.0, "runner:ended", 4.0, job="j1", item="i1", endpoint="g1"),
]


def test_a_late_step_is_explained_by_what_its_items_waited_for() -> None:
    explanation = explain("j1", parse_lines(LOG_OF_A_LATE_STEP))

    waits = [(wait.from_s, wait.seconds, wait.reasons) for wait in explanation.waits]
    assert waits == [(1.0, 3.0, ("no_free_slot",)), (4.0, 3.5, ("held",))]


def test_an_item_is_explained_by_what_its_job_waited_for() -> None:
    explanation = explain("i1", parse_lines(LOG_OF_A_LATE_STEP))

    assert [wait.job for wait in explanation.waits] == ["j1", "j1"]


def test_a_wait_that_the_logs_do_not_end_is_open() -> None:
    (wait,) = explain("j2", parse_lines(LOG_OF_A_LATE_STEP)).waits

    assert (wait.seconds, wait.reasons) == (None, ("no_runner",))


def test_a_wait_ends_with_its_job() -> None:
    ended = log_line("s1", 16.0, "jobs:ended", 7.0, job="j1", listed=0)

    waits = explain("j1", parse_lines([*LOG_OF_A_LATE_STEP[:4], ended])).waits

    assert waits[-1].seconds == 2.0


def test_a_rejected_job_is_explained_by_its_reason() -> None:
    rejected = log_line(
        "s1", 10.0, "jobs:rejected", job="j1", reason="cannot_finish", retry_after_s=4.0
    )

    (meaning,) = explain("j1", parse_lines([rejected])).meanings

    assert meaning.startswith("cannot_finish: ")


def test_explain_prints_the_waits(tmp_path) -> None:
    log = tmp_path / "s1.log"
    log.write_text("".join(LOG_OF_A_LATE_STEP))

    as_text = CliRunner().invoke(main, ["explain", "j1", str(log)]).output
    as_json = json.loads(CliRunner().invoke(main, ["explain", "j1", str(log), "--json"]).output)

    assert "items of j1 waited for 3.0 s from +1.0 s on: no_free_slot (all slots" in as_text
    assert as_json["waits"][1] == {"job": "j1", "from_s": 4.0, "seconds": 3.5, "reasons": ["held"]}


def test_each_reason_that_the_leader_logs_has_a_meaning() -> None:
    logged = {getattr(wait_causes, name) for name in wait_causes.__all__ if name.isupper()}

    assert logged == set(MEANING_BY_WAIT)
