"""`ibisspring control`: operates the cluster of control daemons."""

from __future__ import annotations

import json
import sys
from typing import Any

import click
import grpc
import msgspec

from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
# Time limit in seconds for the answer to a management request. The control daemon may need up to
# 120 s before it answers `replace`.
MANAGE_TIMEOUT_S = 130.0


@click.group()
@click.option(
    "--control",
    "addresses",
    multiple=True,
    required=True,
    envvar="IBISSPRING_CONTROL",
    help="IP:port of a control daemon; give all of them, or set IBISSPRING_CONTROL.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def control(context: click.Context, addresses: tuple[str, ...], as_json: bool) -> None:
    """
    Operate the cluster of control daemons.

    Run `bootstrap` once, when a system starts for the first time. A control daemon that lost its
    disk rejoins the cluster automatically when it is started with an empty data folder. `replace`
    gives its membership to another VM and waits until the change is complete.
    """
    context.obj = (_split(addresses), as_json)


@control.command()
@click.pass_obj
def status(options: tuple[tuple[str, ...], bool]) -> None:
    """Show the role, term, members and log positions of each control daemon."""
    addresses, as_json = options
    replies = [_send_to(address, "status", {}) for address in addresses]
    replicas = [
        (
            {"address": address, **json.loads(reply.answer)}
            if reply is not None
            else {"address": address, "role": "unreachable"}
        )
        for address, reply in zip(addresses, replies, strict=True)
    ]
    if as_json:
        click.echo(json.dumps(replicas))
    else:
        for replica in replicas:
            click.echo(_format_replica(replica))
    if all(reply is None for reply in replies):
        sys.exit(EXIT_UNREACHABLE)


@control.command()
@click.pass_obj
def bootstrap(options: tuple[tuple[str, ...], bool]) -> None:
    """
    Bootstrap the cluster; run this once in the lifetime of a system.

    All control daemons must be running with empty data folders. If one of them already holds state
    or does not answer, nothing is changed.
    """
    _print_result(_send_to_leader(options[0], "bootstrap", {}), options[1], "cluster bootstrapped")


@control.command()
@click.argument("daemon")
@click.option("--new", default="", help="Daemon that replaces DAEMON; DAEMON itself by default.")
@click.pass_obj
def replace(options: tuple[tuple[str, ...], bool], daemon: str, new: str) -> None:
    """
    Replace DAEMON by a daemon with an empty disk and wait until the old member is removed.

    Do not stop another control VM before this command has succeeded.
    """
    arguments = {"daemon": daemon, "new": new}
    _print_result(
        _send_to_leader(options[0], "replace", arguments), options[1], f"{daemon} is replaced"
    )


@control.command()
@click.pass_obj
def snapshot(options: tuple[tuple[str, ...], bool]) -> None:
    """Make each reachable control daemon store a snapshot immediately."""
    for address in options[0]:
        reply = _send_to(address, "snapshot", {})
        click.echo(f"{address} {'unreachable' if reply is None else reply.answer.decode()}")


def _split(addresses: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(part for address in addresses for part in address.replace(",", " ").split())


def _send_to(
    address: str, action: str, arguments: dict[str, Any]
) -> consensus_pb2.ManageReply | None:
    """Send a management request to one control daemon; return None if the call fails."""
    request = consensus_pb2.ManageRequest(
        action=action, arguments=msgspec.msgpack.encode(arguments)
    )
    with grpc.insecure_channel(address, options=(("grpc.enable_http_proxy", 0),)) as channel:
        try:
            stub = consensus_pb2_grpc.ConsensusStub(channel)
            return stub.Manage(request, timeout=3.0 if action == "status" else MANAGE_TIMEOUT_S)
        except grpc.RpcError:
            return None


def _send_to_leader(
    addresses: tuple[str, ...], action: str, arguments: dict[str, Any]
) -> consensus_pb2.ManageReply | None:
    """
    Send a management request to each control daemon in turn until the leader answers.

    :return: the first reply that does not refer to another daemon as the leader; without one, the
        last reply that does; None if no daemon answers.
    """
    last_reply = None
    for address in addresses:
        reply = _send_to(address, action, arguments)
        if reply is None:
            continue
        last_reply = reply
        if reply.ok or not reply.leader_hint:
            return reply
    return last_reply


def _print_result(
    reply: consensus_pb2.ManageReply | None, as_json: bool, success_text: str
) -> None:
    """Print the reply to a management request; exit with an error code if the request failed."""
    if reply is None:
        click.echo(
            "no control daemon answers; check the addresses in --control and that the daemons run",
            err=True,
        )
        sys.exit(EXIT_UNREACHABLE)
    if not reply.ok:
        click.echo(f"refused: {reply.detail}", err=True)
        sys.exit(EXIT_REFUSED)
    click.echo(
        reply.answer.decode()
        if as_json
        else f"{success_text}\n{_format_replica(json.loads(reply.answer))}"
    )


def _format_replica(replica: dict[str, Any]) -> str:
    if replica["role"] == "unreachable":
        return f"{replica['address']}  unreachable"
    voters = ",".join(voter["daemon"] for voter in replica["voters"])
    learners = ",".join(learner["replica"]["daemon"] for learner in replica["learners"])
    return (
        f"{replica['daemon']}  {replica['role']}  term {replica['term']}  "
        f"commit {replica['commit_index']}/{replica['last_index']}  "
        f"snapshot {replica['snapshot_index']}  leader {replica['leader'] or '-'}  "
        f"voters {voters or '-'}  learners {learners or '-'}"
    )


__all__ = ["control"]
