"""`ibisspring explain`: from an id to what happened, out of log lines."""

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
    from ibisspring_cli.explanations import Explanation, Told
    from ibisspring_cli.log_lines import ClockNote


@click.command()
@click.argument("wanted", metavar="ID")
@click.argument("files", metavar="[FILE]...", nargs=-1, type=click.File("r", errors="replace"))
@with_options
def explain(options: Options, wanted: str, files: tuple[Any, ...]) -> None:
    """
    Tell from log lines what happened to ID.

    ID is a request, job, item, endpoint or daemon. FILEs hold the daemons' log lines, one or many
    processes each; without any, standard input is read. Lines that name ID are marked with `>`, the
    others say what the daemons believed and did meanwhile. The newest reason is explained last.

    \b
      ibisspring explain 4a57cfd8742933ce /var/log/ibisspring/*.log
      journalctl -o cat -u ibisspringd | ibisspring explain engine-7
    """
    texts = [text for file in files or (sys.stdin,) for text in file]
    lines = parse_lines(texts)
    explanation = explain_id(wanted, lines)
    if not explanation.told:
        message = f"none of {len(lines)} log lines names {wanted!r}"
        fail(options, EXIT_REFUSED, Reason.BAD_REQUEST.value, message)
    show(options, _as_json(wanted, explanation), _as_text(wanted, explanation))


def _as_text(wanted: str, explanation: Explanation) -> list[str]:
    told = explanation.told
    processes = {one.line.process for one in told if one.direct}
    count = sum(one.direct for one in told)
    lines = [f"{wanted}: {count} lines of {len(processes)} processes", ""]
    lines += [_line(one) for one in told]
    lines += ["", "ordered by each VM's wall clock, within a VM by its boot clock:"]
    lines += [f"  {_clock(note)}" for note in explanation.clocks]
    for kind, left_out in sorted(explanation.left_out.items()):
        lines.append(f"left out meanwhile: {left_out} lines of {kind}")
    lines += [f"meaning of {meaning}" for meaning in explanation.meanings]
    return lines


def _line(one: Told) -> str:
    mark = ">" if one.direct else " "
    fields = " ".join(f"{name}={_value(value)}" for name, value in one.line.fields.items())
    return (
        f"{mark} {one.at_s:+9.3f} s  {one.line.process:<20} {one.line.kind:<26} {fields}".rstrip()
    )


def _value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _clock(note: ClockNote) -> str:
    steps = ", ".join(f"{step:+.3f} s" for step in note.steps_s)
    start = f", start {note.start + 1}" if note.start else ""
    return f"{note.process}{start}: {note.lines} lines" + (
        f"; its clock was set: {steps}" if steps else ""
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
            for one in explanation.told
        ],
        "meanings": list(explanation.meanings),
        "clocks": [
            {"process": note.process, "start": note.start, "steps_s": list(note.steps_s)}
            for note in explanation.clocks
        ],
        "left_out": explanation.left_out,
    }


__all__ = ["explain"]
