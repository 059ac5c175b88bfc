"""Entry point of the executable `ibisspring`."""

from __future__ import annotations

import click

from ibisspring_cli.accounts import accounts
from ibisspring_cli.control import control
from ibisspring_cli.endpoints import endpoint
from ibisspring_cli.evacuate import evacuate
from ibisspring_cli.explain import explain
from ibisspring_cli.jobs import jobs
from ibisspring_cli.keys import key
from ibisspring_cli.options import Options
from ibisspring_cli.rules import rules
from ibisspring_cli.settings import settings
from ibisspring_cli.status import status
from ibisspring_cli.suspects import suspects
from ibisspring_cli.usage import usage

# Default time limit, in seconds, for the answer to a command. A rules change is acknowledged only
# when the lease of each entry that stopped answering has expired and, after a change of the leader,
# when the time of one full lease has passed. Even with the longest permitted leases, this takes
# less than the 15 s allowed for a rules change.
DEFAULT_TIMEOUT_S = 30.0


@click.group()
@click.option(
    "--control",
    "addresses",
    multiple=True,
    envvar="IBISSPRING_CONTROL",
    help="IP:port of a control daemon; give all of them, or set IBISSPRING_CONTROL to all of them, "
    "separated by spaces.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON; may also follow the command.")
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0.1),
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Time limit in seconds for an answer; `rules apply` waits for leases of silent entries.",
)
@click.pass_context
def main(
    context: click.Context, addresses: tuple[str, ...], as_json: bool, timeout_s: float
) -> None:
    """
    Operate an ibisspring system.

    \b
    A first session:
      ibisspring settings check settings.yaml     check a daemon's settings file
      ibisspring key new                          create an API key and its digest for the rules
      ibisspring rules show > rules.txt           save the current rules and their version
      ibisspring rules check rules.txt            list all errors, with line and column
      ibisspring rules apply rules.txt --base 3   replace version 3; waits for all entries
      ibisspring status                           show leader, entries, endpoints, trainers
      ibisspring evacuate start derby             keep new requests from a data centre
      ibisspring suspects list                    show requests that endpoints end under
      ibisspring jobs show JOB                    show why a job's items wait
      ibisspring explain ID LOG...                show from log files what happened to a request

    \b
    Exit codes:
      0  success
      1  refused; the reason is printed and nothing was changed
      2  errors in the command line or in a file
      3  no control leader answered; nothing was changed
      4  unknown: the change may have been made; run the printed command to retry
      5  conflict: another operator changed the rules first
    """
    context.obj = Options.from_command_line(addresses, as_json, timeout_s)
    # The group `control` declares these options itself; values given before the group's name
    # become its defaults.
    context.default_map = {"control": {"addresses": addresses, "as_json": as_json}}


COMMANDS = (
    accounts,
    control,
    endpoint,
    evacuate,
    explain,
    jobs,
    key,
    rules,
    settings,
    status,
    suspects,
    usage,
)
for command in COMMANDS:
    main.add_command(command)

__all__ = ["main"]
