"""`ibisspring rules`: check, apply and show the rules file."""

from __future__ import annotations

import datetime
import getpass
from pathlib import Path

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import EXIT_CONFLICT, fail, fail_findings, propose, read, show
from ibisspring_core.errors import Finding, Reason
from ibisspring_core.messages.commands import ApplyRules, RulesConflict
from ibisspring_core.request_ids import new_request_id
from ibisspring_core.rules import Rules, parse_rules


@click.group()
def rules() -> None:
    """
    Check, apply and show the rules: one rule a line, each with who asked for it.

    \b
    Example of a rule:
      allow stoke-foundry service scorer-lm   # asked: archive desk, ticket 118
    """


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@with_options
def check(options: Options, file: Path) -> None:
    """Print every finding of FILE with its line and column; changes nothing."""
    text = _read_file(options, file)
    parsed = _parse(options, file, text)
    counts = {
        "client_accounts": len(parsed.client_account_by_name),
        "trainers": len(parsed.trainer_by_name),
        "services": len(parsed.placement_by_service),
    }
    line = (
        f"{file}: no findings; {counts['client_accounts']} client accounts, "
        f"{counts['trainers']} trainers, {counts['services']} placed services"
    )
    show(options, {"findings": [], **counts}, [line])


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Version that FILE was made from; 0 for the first. `rules show` prints it.",
)
@click.option("--operator", default=None, help="Who applies it; by default the login name.")
@click.option(
    "--request-id", default=None, help="Ask again for an earlier apply whose answer was lost."
)
@with_options
def apply(
    options: Options, file: Path, base: int, operator: str | None, request_id: str | None
) -> None:
    """
    Put FILE in force if BASE still is the version in force.

    Answers once every live entry acts on the new rules, which takes under a second, or up to one
    entry lease (3 s by default) when an entry has just been lost. When somebody else was first,
    nothing is changed and you are told who and what changed: look, merge, apply again under the
    new base.
    """
    text = _read_file(options, file)
    _parse(options, file, text)
    request_id = request_id or new_request_id()
    again = f"ibisspring rules apply {file} --base {base} --request-id {request_id}"
    command = ApplyRules(base, text, operator or getpass.getuser())
    result = propose(options, command, request_id, again)
    if isinstance(result, RulesConflict):
        _fail_conflict(options, result, base)
    answer = {"version": result.version, "request_id": request_id}
    show(options, answer, [f"version {result.version} is in force on every entry"])


@rules.command(name="show")
@with_options
def show_rules(options: Options) -> None:
    """Print the rules in force; the first line names their version."""
    answer = read(options, "rules")
    accepted = datetime.datetime.fromtimestamp(answer["accepted_s"], datetime.UTC)
    head = f"# version {answer['version']}"
    if answer["version"]:
        head += f", applied by {answer['operator']} at {accepted:%Y-%m-%d %H:%M:%S} UTC"
    # The head of an earlier `rules show` may stand in the file.
    lines = [line for line in answer["text"].splitlines() if not line.startswith("# version ")]
    show(options, answer, [head, *lines])


def _read_file(options: Options, file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except OSError as error:
        fail_findings(options, (Finding(str(file), 0, 0, f"cannot be read: {error.strerror}"),))
    except UnicodeDecodeError as error:
        message = f"not UTF-8 at byte {error.start}"
        fail_findings(options, (Finding(str(file), 0, 0, message),))


def _parse(options: Options, file: Path, text: str) -> Rules:
    parsed = parse_rules(text, str(file))
    if not isinstance(parsed, Rules):
        fail_findings(options, parsed)
    return parsed


def _fail_conflict(options: Options, conflict: RulesConflict, base: int) -> None:
    changed = "\n".join(f"  {line}" for line in conflict.changed_lines)
    message = (
        f"version {conflict.version} by {conflict.operator} is in force, not {base}; nothing was "
        f"changed. Since {base}:\n{changed}\n"
        f"Merge these into your file (`ibisspring rules show`) and apply with --base "
        f"{conflict.version}."
    )
    fail(
        options,
        EXIT_CONFLICT,
        Reason.CONFLICT.value,
        message,
        version=conflict.version,
        operator=conflict.operator,
        changed_lines=list(conflict.changed_lines),
    )


__all__ = ["rules"]
