"""`ibisspring status`: the whole system at a glance."""

from __future__ import annotations

import click

from ibisspring_cli.endpoints import endpoint_lines
from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import read, show


@click.command()
@with_options
def status(options: Options) -> None:
    """Show the leader, the rules in force on each entry, endpoints and trainers."""
    answer = read(options, "status")
    show(options, answer, _lines(answer))


def _lines(answer: dict) -> list[str]:
    lines = [
        f"leader {answer['leader']} in term {answer['term']}, "
        f"rules version {answer['rules_version']}, log index {answer['applied_index']}"
    ]
    lines += ["", f"entries ({len(answer['entries'])})"]
    for entry in answer["entries"]:
        behind = "" if entry["view_index"] >= answer["view_index"] else "  (behind)"
        lines.append(
            f"  {entry['daemon']:<18} {entry['data_centre']:<12} "
            f"rules version {entry['rules_version']}, lease {entry['lease_left_s']} s{behind}"
        )
    lines += ["", f"endpoints ({len(answer['endpoints'])})"]
    lines += [f"  {line}" for line in endpoint_lines(answer["endpoints"])]
    lines += ["", f"trainers ({len(answer['trainers'])})"]
    for trainer in answer["trainers"]:
        step = "no step" if trainer["step"] is None else f"step {trainer['step']}"
        lines.append(
            f"  {trainer['trainer']:<18} version {trainer['version']}, {step} "
            f"{trainer['step_state']}".rstrip()
        )
    if answer["draining"]:
        lines += ["", f"draining: {', '.join(answer['draining'])}"]
    if answer["open_orders"]:
        lines += ["", f"open orders: {', '.join(answer['open_orders'])}"]
    return lines


__all__ = ["status"]
