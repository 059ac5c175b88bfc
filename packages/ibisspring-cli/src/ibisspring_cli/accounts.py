"""`ibisspring accounts`: shows the shares of client accounts."""

from __future__ import annotations

import click
import msgspec

from ibisspring_cli.jobs_leader import call_jobs_leader
from ibisspring_cli.options import Options, split_addresses, with_options, with_seeds
from ibisspring_cli.session import EXIT_UNREACHABLE, fail, show
from ibisspring_cli.share_lines import share_line
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.job_control import ReadShares, SharesRead


@click.group()
def accounts() -> None:
    """Look at client accounts."""


@accounts.command()
@with_seeds
@with_options
def shares(options: Options, seeds: tuple[str, ...]) -> None:
    """Show the engine time that each client account used, and what it lent and is owed."""
    answer = call_jobs_leader(split_addresses(seeds), ReadShares(), options.timeout_s)
    if not isinstance(answer, SharesRead):
        detail = answer.detail if isinstance(answer, Refusal) else repr(answer)
        fail(options, EXIT_UNREACHABLE, Reason.NO_LEADER.value, detail)
    lines = [share_line(share) for share in answer.shares]
    show(options, {"shares": msgspec.to_builtins(answer.shares)}, lines)


__all__ = ["accounts"]
