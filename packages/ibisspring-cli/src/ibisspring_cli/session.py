"""Sends one query or command to the control leader; maps refusals to exit codes."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Any, NoReturn

import click

from ibisspring_core.control_client import ControlClient
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import Refused

if TYPE_CHECKING:
    from ibisspring_cli.options import Options
    from ibisspring_core.errors import Finding

EXIT_REFUSED = 1
EXIT_FINDINGS = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
EXIT_CONFLICT = 5


def read(options: Options, query: str, **arguments: Any) -> dict[str, Any]:
    """
    Send a query to the control leader; if no leader answers, print the error and exit.

    :param query: name of a query of the gRPC service `Control`, such as `status`.
    :param arguments: arguments of the query by name.
    :return: the leader's answer, a JSON object.
    """

    async def call(client: ControlClient) -> Any:
        return await client.read(query, total_s=options.timeout_s, **arguments)

    answer = _run(options, call)
    if isinstance(answer, Refusal):
        _fail_unreachable(options, answer)
    return answer


def propose(options: Options, command: Any, request_id: str, retry_command: str) -> Any:
    """
    Commit a command through the control leader; if it is refused, print the error and exit.

    :param command: command for the replicated state machine, such as `ApplyRules`.
    :param request_id: id by which a retry is recognised, so that the command is applied only once.
    :param retry_command: command line to print for a retry if no answer arrives.
    :return: the state machine's result of the committed command.
    """

    async def call(client: ControlClient) -> Any:
        return await client.propose(command, request_id, total_s=options.timeout_s)

    result = _run(options, call)
    if isinstance(result, Refusal):
        _fail_unanswered(options, result, request_id, retry_command)
    if isinstance(result, Refused):
        code = EXIT_UNKNOWN if result.reason == Reason.MAY_HAVE_RUN.value else EXIT_REFUSED
        fail(options, code, result.reason, result.detail)
    return result


def show(options: Options, answer: dict[str, Any], lines: list[str]) -> None:
    """
    Print the answer to a command as JSON or as text.

    :param answer: JSON object that is printed with `--json`.
    :param lines: lines of text that are printed without `--json`.
    """
    if options.as_json:
        click.echo(json.dumps(answer))
        return
    for line in lines:
        click.echo(line)


def fail(options: Options, code: int, reason: str, message: str, **extra_fields: Any) -> NoReturn:
    """
    Print an error and exit the process.

    :param code: exit code of the process, one of the constants `EXIT_…`.
    :param reason: value of a `Reason`.
    :param message: the error and how to resolve it.
    :param extra_fields: additional fields of the JSON object `error`.
    """
    if options.as_json:
        click.echo(json.dumps({"error": {"reason": reason, "message": message, **extra_fields}}))
    else:
        click.echo(f"{reason}: {message}", err=True)
    sys.exit(code)


def fail_findings(options: Options, findings: tuple[Finding, ...]) -> NoReturn:
    """
    Print all errors found in a file and exit with `EXIT_FINDINGS`.

    :param findings: the errors, each with its file, line and column.
    """
    if options.as_json:
        entries = [
            {
                "file": finding.place,
                "line": finding.line,
                "column": finding.column,
                "message": finding.message,
            }
            for finding in findings
        ]
        click.echo(json.dumps({"findings": entries}))
    else:
        for finding in findings:
            click.echo(str(finding), err=True)
    sys.exit(EXIT_FINDINGS)


def _run(options: Options, call: Any) -> Any:
    """Run `call` with a client for the control daemons and stop the client afterwards."""
    if not options.addresses:
        message = "no control daemon is given; use --control IP:port or IBISSPRING_CONTROL"
        fail(options, EXIT_FINDINGS, Reason.BAD_REQUEST.value, message)

    async def run() -> Any:
        client = ControlClient({address: address for address in options.addresses})
        try:
            return await call(client)
        finally:
            await client.stop()

    return asyncio.run(run())


def _fail_unreachable(options: Options, refusal: Refusal) -> NoReturn:
    addresses = ", ".join(options.addresses)
    message = f"{refusal.detail}; tried {addresses}: check that a majority of the control VMs runs"
    fail(options, EXIT_UNREACHABLE, refusal.reason.value, message)


def _fail_unanswered(
    options: Options, refusal: Refusal, request_id: str, retry_command: str
) -> NoReturn:
    if refusal.not_run:
        _fail_unreachable(options, refusal)
    message = (
        f"no answer; the change may have been made ({refusal.detail}); to retry: {retry_command}"
    )
    fail(options, EXIT_UNKNOWN, refusal.reason.value, message, request_id=request_id)


__all__ = [
    "EXIT_CONFLICT",
    "EXIT_FINDINGS",
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "EXIT_UNREACHABLE",
    "fail",
    "fail_findings",
    "propose",
    "read",
    "show",
]
