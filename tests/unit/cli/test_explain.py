from __future__ import annotations

import json

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from ibisspring_cli.explanations import explain
from ibisspring_cli.log_lines import merge_in_time_order, parse_lines
from ibisspring_cli.main import main


def log_line(process: str, wall_s: float, kind: str, boot_s: float | None = None, **fields) -> str:
    boot = {} if boot_s is None else {"boot_s": boot_s}
    header = {"message_type": kind, "timestamp": wall_s, "process": process, **boot}
    return json.dumps({**fields, **header}) + "\n"


LOG_OF_REFUSALS = [
    log_line("core-1", 99.0, "directory:endpoint_silent", 9.0, endpoint="e7"),
    log_line("core-1", 80.0, "directory:endpoint_silent", -10.0, endpoint="e7"),
    log_line(
        "edge-1", 99.5, "forward:try_failed", 5.0, request="r2", endpoint="e7", reason="timeout"
    ),
    log_line(
        "edge-1", 100.0, "forward:try_failed", 5.5, request="r1", endpoint="e7", reason="timeout"
    ),
    log_line("edge-1", 100.1, "forward:refused", 5.6, request="r1", tries=["e7"], reason="timeout"),
    log_line("edge-1", 100.2, "directory_view:table", 5.7, version=3),
    log_line("edge-2", 100.0, "forward:refused", 7.0, request="r9", tries=["e8"], reason="timeout"),
]


def kinds(explained) -> list[tuple[str, bool]]:
    return [(one.line.kind, one.direct) for one in explained]


def test_a_request_is_explained_with_its_endpoints_and_the_known_state() -> None:
    explanation = explain("r1", parse_lines(LOG_OF_REFUSALS))

    assert kinds(explanation.lines) == [
        ("directory:endpoint_silent", False),
        ("forward:try_failed", True),
        ("forward:refused", True),
        ("directory_view:table", False),
    ]
    assert explanation.lines[0].at_s == -1.0
    assert len(explanation.meanings) == 1
    assert explanation.meanings[0].startswith("timeout: ")


def test_a_job_is_explained_with_the_lines_of_its_items() -> None:
    lines = parse_lines(
        [
            log_line("s1", 1.0, "jobs:accepted", job="j1", items=2),
            log_line(
                "e1", 2.0, "runner:ended", job="j1", item="i1", endpoint="g1", reason="broken"
            ),
            log_line("s1", 2.1, "dispatch:run_failed", item="i1", endpoint="g1", reason="broken"),
            log_line(
                "s1", 2.2, "dispatch:run_failed", item="other", endpoint="g1", reason="broken"
            ),
            log_line("e1", 2.3, "runner:ended", job="j2", item="other", endpoint="g1", reason=""),
        ]
    )

    of_job = explain("j1", lines)
    of_item = explain("i1", lines)

    assert [one.line.kind for one in of_job.lines] == [
        "jobs:accepted",
        "runner:ended",
        "dispatch:run_failed",
    ]
    assert kinds(of_item.lines) == [
        ("jobs:accepted", False),
        ("runner:ended", True),
        ("dispatch:run_failed", True),
    ]


def test_setting_the_wall_clock_does_not_change_the_order() -> None:
    """
    The wall clock of one VM is 5 s ahead when it writes one line, and is then set back.

    If lines were ordered by wall clock, the line written with the wrong time would follow the later
    lines that other VMs logged because of it.
    """
    lines = parse_lines(
        [
            log_line("edge-1", 100.0, "a", 50.0),
            log_line("edge-1", 106.0, "b", 51.0),
            log_line("edge-1", 102.0, "c", 52.0),
            log_line("edge-1", 103.0, "d", 53.0),
            log_line("core-1", 101.5, "x", 7.0),
        ]
    )

    timed, notes = merge_in_time_order(lines)

    assert [one.kind for _, one in timed] == ["a", "b", "x", "c", "d"]
    steps = {note.process: note.steps_s for note in notes}
    assert steps == {"edge-1": (5.0, -5.0), "core-1": ()}


def test_two_boots_of_a_vm_are_distinguished() -> None:
    lines = parse_lines(
        [log_line("edge-1", 10_000.0, "a", 5_000.0), log_line("edge-1", 10_005.0, "b", 2.0)]
    )

    timed, notes = merge_in_time_order(lines)

    assert [at_s for at_s, _ in timed] == [10_000.0, 10_005.0]
    assert [note.boot_index for note in notes] == [0, 1]


def test_lines_dropped_in_the_same_period_are_counted() -> None:
    lines = parse_lines(
        [
            *LOG_OF_REFUSALS,
            log_line("edge-1", 100.4, "log:left_out", 5.9, count={"forward:refused": 7}),
            log_line("edge-1", 300.0, "log:left_out", 205.5, count={"forward:refused": 9}),
        ]
    )

    assert explain("r1", lines).dropped_by_kind == {"forward:refused": 7}


def test_text_that_is_not_a_log_line_is_skipped() -> None:
    texts = ["", "Traceback", "{broken", '{"message_type": "a"}', '[{"message_type": "a"}]']

    assert parse_lines(texts) == []
    (parsed,) = parse_lines(["  12.5 edge-1 " + log_line("edge-1", 1.0, "a")])
    assert (parsed.kind, parsed.wall_s, parsed.boot_s) == ("a", 1.0, None)


@pytest.fixture
def log_path(tmp_path):
    path = tmp_path / "edge-1.log"
    path.write_text("".join(LOG_OF_REFUSALS))
    return str(path)


def test_the_command_prints_the_lines_and_the_meaning_of_the_reason(log_path) -> None:
    result = CliRunner().invoke(main, ["explain", "r1", log_path])

    assert result.exit_code == 0, result.output
    output_lines = result.output.splitlines()
    assert output_lines[0] == "r1: 2 lines of 1 processes"
    assert output_lines[2].split()[:3] == ["-1.000", "s", "core-1"]
    assert output_lines[3].split()[:4] == [">", "+0.000", "s", "edge-1"]
    assert "reason=timeout" in output_lines[3]
    assert output_lines[-1].startswith("meaning of timeout: no answer came")


def test_the_command_reads_standard_input_and_prints_json() -> None:
    result = CliRunner().invoke(main, ["explain", "r1", "--json"], input="".join(LOG_OF_REFUSALS))

    answer = json.loads(result.output)
    assert [one["kind"] for one in answer["lines"] if one["direct"]] == [
        "forward:try_failed",
        "forward:refused",
    ]
    assert answer["lines"][1]["boot_s"] == 5.5


def test_an_unknown_id_is_reported(log_path) -> None:
    result = CliRunner().invoke(main, ["explain", "r77", log_path])

    assert result.exit_code == 1
    assert "none of 7 log lines names 'r77'" in result.output


@given(st.lists(st.text(), max_size=20))
def test_any_text_can_be_parsed(texts) -> None:
    merge_in_time_order(parse_lines(texts))


FIELD_NAMES = ("request", "count", "endpoint", "tries", "item", "job", "reason")
SCALARS = st.sampled_from((None, 1, 0.5, "r1", "e7", ""))
FIELD_VALUES = st.one_of(
    SCALARS, st.lists(SCALARS, max_size=2), st.just({"a": 1}), st.just([["e7"]])
)
KINDS = st.sampled_from(("forward:refused", "log:left_out", "directory:endpoint"))


@given(
    st.lists(
        st.tuples(KINDS, st.dictionaries(st.sampled_from(FIELD_NAMES), FIELD_VALUES)), max_size=8
    )
)
def test_lines_with_unexpected_field_types_can_be_explained(messages) -> None:
    lines = [log_line("edge-1", 1.0, kind, 2.0, **fields) for kind, fields in messages]

    explain("r1", parse_lines(lines))


@given(
    st.dictionaries(
        st.sampled_from(("message_type", "timestamp", "process", "boot_s")), FIELD_VALUES
    )
)
def test_unexpected_header_values_can_be_parsed(header) -> None:
    merge_in_time_order(parse_lines([json.dumps(header)]))
