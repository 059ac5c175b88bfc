"""The binary ibisspring."""

from __future__ import annotations

import click

from ibisspring_cli.control import control
from ibisspring_cli.endpoints import endpoint
from ibisspring_cli.explain import explain
from ibisspring_cli.keys import key
from ibisspring_cli.options import Options
from ibisspring_cli.rules import rules
from ibisspring_cli.settings import settings
from ibisspring_cli.status import status
from ibisspring_cli.usage import usage

# "Accepted" waits for the lease of an entry that went silent, and after a change of leader for a
# whole lease; with the longest settings that still lies under the 15 s that a change may take.
TIMEOUT_S = 30.0


@click.group()
@click.option(
    "--control",
    "addresses",
    multiple=True,
    envvar="IBISSPRING_CONTROL",
    help="IP:port of a control daemon; give all of them, or set IBISSPRING_CONTROL (with spaces).",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON; also taken after any command.")
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0.1),
    default=TIMEOUT_S,
    show_default=True,
    help="Longest time in seconds for an answer; an apply may wait for an entry that went silent.",
)
@click.pass_context
def main(
    context: click.Context, addresses: tuple[str, ...], as_json: bool, timeout_s: float
) -> None:
    """
    Operate an ibisspring system.

    \b
    A first session:
      ibisspring settings check settings.yaml     is this daemon's file right?
      ibisspring key new                          a key and the digest for its rule
      ibisspring rules show > rules.txt           the file in force, with its version
      ibisspring rules check rules.txt            every finding, with line and column
      ibisspring rules apply rules.txt --base 3   in force everywhere once it answers
      ibisspring status                           leader, entries, endpoints, trainers
      ibisspring explain ID LOG...                what happened to a request, from log lines

    \b
    Exit codes:
      0  done
      1  refused; the reason is printed and nothing was changed
      2  the command line or a file has findings
      3  no control leader answered; nothing was changed
      4  unknown: it may have been done; run the printed command again
      5  conflict: somebody else changed the rules first
    """
    context.obj = Options.from_command_line(addresses, as_json, timeout_s)
    # The group `control` has these options of its own; given before it they count as well.
    context.default_map = {"control": {"addresses": addresses, "as_json": as_json}}


for command in (control, endpoint, explain, key, rules, settings, status, usage):
    main.add_command(command)

__all__ = ["main"]
