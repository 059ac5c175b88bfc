"""`ibisspring endpoint`: lists and drains endpoints."""

from __future__ import annotations

import getpass

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import propose, read, show
from ibisspring_core.messages.commands import DrainEndpoint
from ibisspring_core.request_ids import new_request_id


@click.group()
def endpoint() -> None:
    """List endpoints; drain an endpoint before it is stopped."""


@endpoint.command(name="list")
@with_options
def list_endpoints(options: Options) -> None:
    """List the endpoints that currently announce themselves to an entry."""
    answer = read(options, "endpoints")
    show(options, answer, endpoint_lines(answer["endpoints"]) or ["no endpoint announces itself"])


@endpoint.command()
@click.argument("endpoint_id", metavar="ENDPOINT")
@click.option(
    "--cancel", is_flag=True, help="Cancel a drain: the endpoint receives new requests again."
)
@click.option(
    "--request-id",
    default=None,
    help="Id of an earlier drain request whose answer was lost; sends that request again.",
)
@with_options
def drain(options: Options, endpoint_id: str, cancel: bool, request_id: str | None) -> None:
    """
    Drain ENDPOINT: send it no new requests and stop it when it is idle.

    Running requests finish. `ibisspring endpoint list` shows the endpoint as draining until it is
    stopped.
    """
    request_id = request_id or new_request_id()
    flag = " --cancel" if cancel else ""
    retry_command = f"ibisspring endpoint drain {endpoint_id}{flag} --request-id {request_id}"
    propose(
        options, DrainEndpoint(endpoint_id, getpass.getuser(), cancel), request_id, retry_command
    )
    effect = "receives new requests again" if cancel else "receives no new requests"
    answer = {"endpoint": endpoint_id, "draining": not cancel, "request_id": request_id}
    show(options, answer, [f"{endpoint_id} {effect}"])


def endpoint_lines(endpoints: list[dict]) -> list[str]:
    """
    Format endpoints as lines of text for the output of a command.

    :param endpoints: the list `endpoints` in the answer to the query `endpoints` or `status`.
    :return: one line for each endpoint, with its service, data centre, kind, state and versions.
    """
    lines = []
    for record in endpoints:
        versions = record["version_by_adapter"].items()
        version_text = ", ".join(
            f"{name or 'base'}={version}" for name, version in sorted(versions)
        )
        state = "draining" if record["draining"] else record["state"]
        lines.append(
            f"{record['endpoint']:<20} {record['service']:<16} {record['data_centre']:<12} "
            f"{record['kind']:<9} {state:<9} {version_text}".rstrip()
        )
    return lines


__all__ = ["endpoint", "endpoint_lines"]
