"""`ibisspring endpoint`: list and drain endpoints."""

from __future__ import annotations

import getpass

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import propose, read, show
from ibisspring_core.messages.commands import DrainEndpoint
from ibisspring_core.request_ids import new_request_id


@click.group()
def endpoint() -> None:
    """List endpoints, and drain one before it is stopped."""


@endpoint.command(name="list")
@with_options
def list_endpoints(options: Options) -> None:
    """List the endpoints that announce themselves."""
    answer = read(options, "endpoints")
    show(options, answer, endpoint_lines(answer["endpoints"]) or ["no endpoint announces itself"])


@endpoint.command()
@click.argument("endpoint_id", metavar="ENDPOINT")
@click.option("--cancel", is_flag=True, help="Lift the drain: the endpoint gets work again.")
@click.option("--request-id", default=None, help="Ask again for a drain whose answer was lost.")
@with_options
def drain(options: Options, endpoint_id: str, cancel: bool, request_id: str | None) -> None:
    """
    Give ENDPOINT no new work; it is stopped once it is idle.

    Running requests finish. `ibisspring endpoint list` shows it as draining until it is gone.
    """
    request_id = request_id or new_request_id()
    flag = " --cancel" if cancel else ""
    again = f"ibisspring endpoint drain {endpoint_id}{flag} --request-id {request_id}"
    propose(options, DrainEndpoint(endpoint_id, getpass.getuser(), cancel), request_id, again)
    state = "gets work again" if cancel else "gets no new work"
    answer = {"endpoint": endpoint_id, "draining": not cancel, "request_id": request_id}
    show(options, answer, [f"{endpoint_id} {state}"])


def endpoint_lines(endpoints: list[dict]) -> list[str]:
    """
    Format endpoints for people.

    :param endpoints: from the query `endpoints`.
    :return: one line each.
    """
    lines = []
    for record in endpoints:
        versions = record["version_by_adapter"].items()
        shown = ", ".join(f"{name or 'base'}={version}" for name, version in sorted(versions))
        state = "draining" if record["draining"] else record["state"]
        lines.append(
            f"{record['endpoint']:<20} {record['service']:<16} {record['data_centre']:<12} "
            f"{record['kind']:<9} {state:<9} {shown}".rstrip()
        )
    return lines


__all__ = ["endpoint", "endpoint_lines"]
