"""`ibisspring explain`: shows the log lines that explain what happened to an id."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import click

from ibisspring_cli.explanations import explain as explain_id
from ibisspring_cli.log_lines import parse_lines
from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import EXIT_REFUSED, fail, show
from ibisspring_core.errors import Reason

if TYPE_CHECKING:
    from ibisspring_cli.explanations import ExplainedLine, Explanation
    from ibisspring_cli.log_lines import ClockNote
    from ibisspring_cli.wait_times import WaitTime


@click.command()
@click.argument("wanted", metavar="ID")
@click.argument("files", metavar="[FILE]...", nargs=-1, type=click.File("r", errors="replace"))
@with_options
def explain(options: Options, wanted: str, files: tuple[Any, ...]) -> None:
    """
    Show from log lines what happened to ID.

    ID is the id of a request, job, item, endpoint or daemon. Each FILE holds log lines of one or
    more daemons; without FILE, standard input is read. Lines that contain ID are marked with `>`.
    The other lines give the context: what the daemons knew and did from 10 s before to 1 s after
    these lines. The reasons in the marked lines are explained at the end, the latest first.

    \b
      ibisspring explain 4a57cfd8742933ce /var/log/ibisspring/*.log
      journalctl -o cat -u ibisspringd | ibisspring explain engine-7
    """
    texts = [text for file in files or (sys.stdin,) for text in file]
    log_lines = parse_lines(texts)
    explanation = explain_id(wanted, log_lines)
    if not explanation.lines:
        message = f"none of {len(log_lines)} log lines names {wanted!r}"
        fail(options, EXIT_REFUSED, Reason.BAD_REQUEST.value, message)
    show(options, _as_json(wanted, explanation), _as_text(wanted, explanation))


def _as_text(wanted: str, explanation: Explanation) -> list[str]:
    explained = explanation.lines
    processes = {one.line.process for one in explained if one.direct}
    count = sum(one.direct for one in explained)
    lines = [f"{wanted}: {count} lines of {len(processes)} processes", ""]
    lines += [_format_line(one) for one in explained]
    lines += [
        "",
        "lines of different VMs are ordered by wall clock, lines of one VM by its boot clock:",
    ]
    lines += [f"  {_format_clock(note)}" for note in explanation.clocks]
    for kind, dropped in sorted(explanation.dropped_by_kind.items()):
        lines.append(
            f"dropped by the daemons' log limits in this period: {dropped} lines of {kind}"
        )
    lines += [f"meaning of {meaning}" for meaning in explanation.meanings]
    lines += [_format_wait(wait) for wait in explanation.waits]
    return lines


def _format_line(explained: ExplainedLine) -> str:
    mark = ">" if explained.direct else " "
    fields = " ".join(
        f"{name}={_format_value(value)}" for name, value in explained.line.fields.items()
    )
    return (
        f"{mark} {explained.at_s:+9.3f} s  {explained.line.process:<20} "
        f"{explained.line.kind:<26} {fields}".rstrip()
    )


def _format_wait(wait: WaitTime) -> str:
    until = f"for {wait.seconds:.1f} s" if wait.seconds is not None else "until the end of the logs"
    return (
        f"items of {wait.job} waited {until} from {wait.from_s:+.1f} s on: "
        f"{', '.join(wait.reasons)} ({wait.meaning})"
    )


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _format_clock(note: ClockNote) -> str:
    steps = ", ".join(f"{step:+.3f} s" for step in note.steps_s)
    boot = f", boot {note.boot_index + 1}" if note.boot_index else ""
    return f"{note.process}{boot}: {note.line_count} lines" + (
        f"; its wall clock was set by {steps}" if steps else ""
    )


def _as_json(wanted: str, explanation: Explanation) -> dict[str, Any]:
    return {
        "id": wanted,
        "lines": [
            {
                "at_s": one.at_s,
                "direct": one.direct,
                "process": one.line.process,
                "kind": one.line.kind,
                "wall_s": one.line.wall_s,
                "boot_s": one.line.boot_s,
                "fields": one.line.fields,
            }
            for one in explanation.lines
        ],
        "meanings": list(explanation.meanings),
        "clocks": [
            {"process": note.process, "start": note.boot_index, "steps_s": list(note.steps_s)}
            for note in explanation.clocks
        ],
        "waits": [
            {
                "job": wait.job,
                "from_s": wait.from_s,
                "seconds": wait.seconds,
                "reasons": list(wait.reasons),
            }
            for wait in explanation.waits
        ],
        "left_out": explanation.dropped_by_kind,
    }


__all__ = ["explain"]
