"""Runs one command against the control leader and turns refusals into exit codes."""

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
    Read from the leader; a refusal ends the program.

    :param query: the query's name.
    :param arguments: its arguments.
    :return: the answer.
    """

    async def ask(client: ControlClient) -> Any:
        return await client.read(query, total_s=options.timeout_s, **arguments)

    answer = _run(options, ask)
    if isinstance(answer, Refusal):
        _fail_unreachable(options, answer)
    return answer


def propose(options: Options, command: Any, request_id: str, again: str) -> Any:
    """
    Commit a command; a refusal ends the program.

    :param command: the command.
    :param request_id: kept for a resend.
    :param again: the command line that asks for the same once more.
    :return: the result.
    """

    async def ask(client: ControlClient) -> Any:
        return await client.propose(command, request_id, total_s=options.timeout_s)

    result = _run(options, ask)
    if isinstance(result, Refusal):
        _fail_unanswered(options, result, request_id, again)
    if isinstance(result, Refused):
        code = EXIT_UNKNOWN if result.reason == Reason.MAY_HAVE_RUN.value else EXIT_REFUSED
        fail(options, code, result.reason, result.detail)
    return result


def show(options: Options, answer: dict[str, Any], lines: list[str]) -> None:
    """
    Print an answer.

    :param answer: printed as JSON where that was asked for.
    :param lines: printed otherwise.
    """
    if options.as_json:
        click.echo(json.dumps(answer))
        return
    for line in lines:
        click.echo(line)


def fail(options: Options, code: int, reason: str, message: str, **more: Any) -> NoReturn:
    """
    Print an error and leave.

    :param code: the exit code.
    :param reason: value of a `Reason`.
    :param message: what happened and what to do.
    :param more: further fields of the JSON object.
    """
    if options.as_json:
        click.echo(json.dumps({"error": {"reason": reason, "message": message, **more}}))
    else:
        click.echo(f"{reason}: {message}", err=True)
    sys.exit(code)


def fail_findings(options: Options, findings: tuple[Finding, ...]) -> NoReturn:
    """
    Print every finding of a file and leave.

    :param findings: with their places.
    """
    if options.as_json:
        listed = [
            {
                "file": finding.place,
                "line": finding.line,
                "column": finding.column,
                "message": finding.message,
            }
            for finding in findings
        ]
        click.echo(json.dumps({"findings": listed}))
    else:
        for finding in findings:
            click.echo(str(finding), err=True)
    sys.exit(EXIT_FINDINGS)


def _run(options: Options, ask: Any) -> Any:
    if not options.addresses:
        message = "name the control daemons: --control IP:port or IBISSPRING_CONTROL"
        fail(options, EXIT_FINDINGS, Reason.BAD_REQUEST.value, message)

    async def run() -> Any:
        client = ControlClient({address: address for address in options.addresses})
        try:
            return await ask(client)
        finally:
            await client.stop()

    return asyncio.run(run())


def _fail_unreachable(options: Options, refusal: Refusal) -> NoReturn:
    tried = ", ".join(options.addresses)
    message = f"{refusal.detail}; tried {tried}: check that a majority of the control VMs runs"
    fail(options, EXIT_UNREACHABLE, refusal.reason.value, message)


def _fail_unanswered(options: Options, refusal: Refusal, request_id: str, again: str) -> NoReturn:
    if refusal.not_run:
        _fail_unreachable(options, refusal)
    message = f"no answer, it may have been done ({refusal.detail}); ask again: {again}"
    fail(options, EXIT_UNKNOWN, refusal.reason.value, message, request_id=request_id)


__all__ = ["EXIT_CONFLICT", "fail", "fail_findings", "propose", "read", "show"]
