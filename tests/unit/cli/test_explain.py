from __future__ import annotations

import json

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from ibisspring_cli.explanations import explain
from ibisspring_cli.log_lines import in_one_order, parse_lines
from ibisspring_cli.main import main


def line(process: str, wall_s: float, kind: str, boot_s: float | None = None, **fields) -> str:
    boot = {} if boot_s is None else {"boot_s": boot_s}
    own = {"message_type": kind, "timestamp": wall_s, "process": process, **boot}
    return json.dumps({**fields, **own}) + "\n"


REFUSED = [
    line("core-1", 99.0, "directory:endpoint_silent", 9.0, endpoint="e7"),
    line("core-1", 80.0, "directory:endpoint_silent", -10.0, endpoint="e7"),
    line("edge-1", 99.5, "forward:try_failed", 5.0, request="r2", endpoint="e7", reason="timeout"),
    line("edge-1", 100.0, "forward:try_failed", 5.5, request="r1", endpoint="e7", reason="timeout"),
    line("edge-1", 100.1, "forward:refused", 5.6, request="r1", tries=["e7"], reason="timeout"),
    line("edge-1", 100.2, "directory_view:table", 5.7, version=3),
    line("edge-2", 100.0, "forward:refused", 7.0, request="r9", tries=["e8"], reason="timeout"),
]


def kinds(told) -> list[tuple[str, bool]]:
    return [(one.line.kind, one.direct) for one in told]


def test_a_request_is_explained_with_its_endpoints_and_what_was_believed() -> None:
    explanation = explain("r1", parse_lines(REFUSED))

    assert kinds(explanation.told) == [
        ("directory:endpoint_silent", False),
        ("forward:try_failed", True),
        ("forward:refused", True),
        ("directory_view:table", False),
    ]
    assert explanation.told[0].at_s == -1.0
    assert len(explanation.meanings) == 1
    assert explanation.meanings[0].startswith("timeout: ")


def test_a_job_is_explained_with_the_lines_of_its_items() -> None:
    lines = parse_lines(
        [
            line("s1", 1.0, "jobs:accepted", job="j1", items=2),
            line("e1", 2.0, "runner:ended", job="j1", item="i1", endpoint="g1", reason="broken"),
            line("s1", 2.1, "dispatch:run_failed", item="i1", endpoint="g1", reason="broken"),
            line("s1", 2.2, "dispatch:run_failed", item="other", endpoint="g1", reason="broken"),
            line("e1", 2.3, "runner:ended", job="j2", item="other", endpoint="g1", reason=""),
        ]
    )

    of_job = explain("j1", lines)
    of_item = explain("i1", lines)

    assert [one.line.kind for one in of_job.told] == [
        "jobs:accepted",
        "runner:ended",
        "dispatch:run_failed",
    ]
    assert kinds(of_item.told) == [
        ("jobs:accepted", False),
        ("runner:ended", True),
        ("dispatch:run_failed", True),
    ]


def test_a_clock_that_is_set_changes_no_order() -> None:
    """
    The wall clock of a VM jumps ahead by five seconds for a while.

    Ordered by it, the VM's lines would stand after what they caused elsewhere.
    """
    lines = parse_lines(
        [
            line("edge-1", 100.0, "a", 50.0),
            line("edge-1", 106.0, "b", 51.0),
            line("edge-1", 102.0, "c", 52.0),
            line("edge-1", 103.0, "d", 53.0),
            line("core-1", 101.5, "x", 7.0),
        ]
    )

    timed, notes = in_one_order(lines)

    assert [one.kind for _, one in timed] == ["a", "b", "x", "c", "d"]
    steps = {note.process: note.steps_s for note in notes}
    assert steps == {"edge-1": (5.0, -5.0), "core-1": ()}


def test_two_boots_of_a_vm_are_told_apart() -> None:
    lines = parse_lines(
        [line("edge-1", 10_000.0, "a", 5_000.0), line("edge-1", 10_005.0, "b", 2.0)]
    )

    timed, notes = in_one_order(lines)

    assert [at for at, _ in timed] == [10_000.0, 10_005.0]
    assert [note.start for note in notes] == [0, 1]


def test_what_was_left_out_meanwhile_is_told() -> None:
    lines = parse_lines(
        [
            *REFUSED,
            line("edge-1", 100.4, "log:left_out", 5.9, count={"forward:refused": 7}),
            line("edge-1", 300.0, "log:left_out", 205.5, count={"forward:refused": 9}),
        ]
    )

    assert explain("r1", lines).left_out == {"forward:refused": 7}


def test_what_is_no_line_is_left_out() -> None:
    texts = ["", "Traceback", "{broken", '{"message_type": "a"}', '[{"message_type": "a"}]']

    assert parse_lines(texts) == []
    (one,) = parse_lines(["  12.5 edge-1 " + line("edge-1", 1.0, "a")])
    assert (one.kind, one.wall_s, one.boot_s) == ("a", 1.0, None)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "edge-1.log"
    path.write_text("".join(REFUSED))
    return str(path)


def test_the_command_prints_the_lines_and_what_the_reason_means(log) -> None:
    result = CliRunner().invoke(main, ["explain", "r1", log])

    assert result.exit_code == 0, result.output
    shown = result.output.splitlines()
    assert shown[0] == "r1: 2 lines of 1 processes"
    assert shown[2].split()[:3] == ["-1.000", "s", "core-1"]
    assert shown[3].split()[:4] == [">", "+0.000", "s", "edge-1"]
    assert "reason=timeout" in shown[3]
    assert shown[-1].startswith("meaning of timeout: no answer came")


def test_the_command_reads_standard_input_and_prints_json() -> None:
    result = CliRunner().invoke(main, ["explain", "r1", "--json"], input="".join(REFUSED))

    answer = json.loads(result.output)
    assert [one["kind"] for one in answer["lines"] if one["direct"]] == [
        "forward:try_failed",
        "forward:refused",
    ]
    assert answer["lines"][1]["boot_s"] == 5.5


def test_an_unknown_id_is_said_so(log) -> None:
    result = CliRunner().invoke(main, ["explain", "r77", log])

    assert result.exit_code == 1
    assert "none of 7 log lines names 'r77'" in result.output


@given(st.lists(st.text(), max_size=20))
def test_no_text_breaks_the_reading(texts) -> None:
    in_one_order(parse_lines(texts))


NAMES = ("request", "count", "endpoint", "tries", "item", "job", "reason")
SIMPLE = st.sampled_from((None, 1, 0.5, "r1", "e7", ""))
ODD = st.one_of(SIMPLE, st.lists(SIMPLE, max_size=2), st.just({"a": 1}), st.just([["e7"]]))
KINDS = st.sampled_from(("forward:refused", "log:left_out", "directory:endpoint"))


@given(st.lists(st.tuples(KINDS, st.dictionaries(st.sampled_from(NAMES), ODD)), max_size=8))
def test_no_line_with_odd_fields_breaks_the_explanation(messages) -> None:
    lines = [line("edge-1", 1.0, kind, 2.0, **fields) for kind, fields in messages]

    explain("r1", parse_lines(lines))


@given(st.dictionaries(st.sampled_from(("message_type", "timestamp", "process", "boot_s")), ODD))
def test_a_line_with_an_odd_head_is_left_out(head) -> None:
    in_one_order(parse_lines([json.dumps(head)]))
