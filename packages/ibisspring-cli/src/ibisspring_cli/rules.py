"""`ibisspring rules`: checks, applies and shows the rules file."""

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
    Check, apply and show the rules.

    A rules file has one rule per line, each with a comment that names who requested it.

    \b
    Example of a rule:
      allow stoke-foundry service scorer-lm   # asked: archive desk, ticket 118
    """


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@with_options
def check(options: Options, file: Path) -> None:
    """Check FILE without applying it; print all errors with line and column."""
    text = _read_file(options, file)
    parsed = _parse(options, file, text)
    counts = {
        "client_accounts": len(parsed.client_account_by_name),
        "trainers": len(parsed.trainer_by_name),
        "services": len(parsed.placement_by_service),
    }
    summary = (
        f"{file}: no findings; {counts['client_accounts']} client accounts, "
        f"{counts['trainers']} trainers, {counts['services']} placed services"
    )
    show(options, {"findings": [], **counts}, [summary])


@rules.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Rules version that FILE is based on, as `rules show` prints it; 0 for the first file.",
)
@click.option(
    "--operator", default=None, help="Name recorded with the change; by default the login name."
)
@click.option(
    "--request-id",
    default=None,
    help="Id of an earlier apply request whose answer was lost; sends that request again.",
)
@with_options
def apply(
    options: Options, file: Path, base: int, operator: str | None, request_id: str | None
) -> None:
    """
    Replace the current rules by FILE if their version is still BASE.

    The command succeeds once every live entry uses the new rules. This takes less than a second, or
    up to one entry lease (3 s by default) if an entry has just failed. If another operator changed
    the rules first, nothing is changed, and the command prints that operator's name and the changed
    lines: merge them into FILE and apply it again with the new version as BASE.
    """
    text = _read_file(options, file)
    _parse(options, file, text)
    request_id = request_id or new_request_id()
    retry_command = f"ibisspring rules apply {file} --base {base} --request-id {request_id}"
    command = ApplyRules(base, text, operator or getpass.getuser())
    result = propose(options, command, request_id, retry_command)
    if isinstance(result, RulesConflict):
        _fail_conflict(options, result, base)
    answer = {"version": result.version, "request_id": request_id}
    show(options, answer, [f"version {result.version} is in force on every entry"])


@rules.command(name="show")
@with_options
def show_rules(options: Options) -> None:
    """Print the current rules; the first line states their version."""
    answer = read(options, "rules")
    accepted_at = datetime.datetime.fromtimestamp(answer["accepted_s"], datetime.UTC)
    header = f"# version {answer['version']}"
    if answer["version"]:
        header += f", applied by {answer['operator']} at {accepted_at:%Y-%m-%d %H:%M:%S} UTC"
    # An applied file may still contain the header line that an earlier `rules show` printed.
    lines = [line for line in answer["text"].splitlines() if not line.startswith("# version ")]
    show(options, answer, [header, *lines])


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
        f"the rules in force are version {conflict.version} by {conflict.operator}, not "
        f"version {base}; nothing was changed. Lines changed since version {base}:\n{changed}\n"
        f"Merge these into your file (`ibisspring rules show`) and apply it with --base "
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
