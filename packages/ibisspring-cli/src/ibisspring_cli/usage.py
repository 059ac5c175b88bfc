"""`ibisspring usage`: shows each client account's tokens, calls and seconds per usage window."""

from __future__ import annotations

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import read, show


@click.group()
def usage() -> None:
    """Show the recorded usage of each client account."""


@usage.command(name="show")
@click.option(
    "--window", type=int, default=None, help="Number of one window; by default all stored windows."
)
@with_options
def show_usage(options: Options, window: int | None) -> None:
    """
    Show usage windows: open, closed (the figures are final) or reported.

    Usage marked `late` belongs to an earlier window that was already closed.
    """
    arguments = {} if window is None else {"window": window}
    answer = read(options, "usage", **arguments)
    lines = []
    for entry in answer["windows"]:
        state = _state_of(entry)
        lines.append(f"window {entry['window']} ({state})")
        for line in entry["lines"]:
            late = "  late" if line["late"] else ""
            lines.append(
                f"  {line['client_account']:<20} {line['service']:<16} "
                f"{line['tokens']:>10} tokens {line['calls']:>8} calls "
                f"{line['endpoint_s']:>10.1f} s{late}"
            )
    show(options, answer, lines or ["no usage is recorded"])


def _state_of(window: dict) -> str:
    if window["reported"]:
        return "reported"
    return "closed" if window["closed_index"] else "open"


__all__ = ["usage"]
