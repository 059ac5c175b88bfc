"""`ibisspring control`: the control daemons' cluster."""

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
TIMEOUT_S = 130.0


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
    Look after the control VMs.

    The first start of a system is `bootstrap`, once. A VM whose disk was lost is taken in again by
    itself as soon as it is started with an empty data folder; `replace` does the same for another
    VM and waits for the end.
    """
    context.obj = (_split(addresses), as_json)


@control.command()
@click.pass_obj
def status(options: tuple[tuple[str, ...], bool]) -> None:
    """Show each control daemon: its role, term, members, log positions."""
    addresses, as_json = options
    answers = [_ask(address, "status", {}) for address in addresses]
    described = [
        (
            {"address": address, **json.loads(reply.answer)}
            if reply is not None
            else {"address": address, "role": "unreachable"}
        )
        for address, reply in zip(addresses, answers, strict=True)
    ]
    if as_json:
        click.echo(json.dumps(described))
    else:
        for replica in described:
            click.echo(_line(replica))
    if all(reply is None for reply in answers):
        sys.exit(EXIT_UNREACHABLE)


@control.command()
@click.pass_obj
def bootstrap(options: tuple[tuple[str, ...], bool]) -> None:
    """
    Found the cluster; once in the life of a system.

    All control daemons must run and be empty. Where one holds state already, or does not answer,
    nothing is done.
    """
    _finish(_ask_leader(options[0], "bootstrap", {}), options[1], "founded")


@control.command()
@click.argument("daemon")
@click.option("--new", default="", help="Daemon that takes the place; the same one by default.")
@click.pass_obj
def replace(options: tuple[tuple[str, ...], bool], daemon: str, new: str) -> None:
    """
    Put a VM with an empty disk in the place of DAEMON and wait until the old member is removed.

    Only after this has ended may the next VM be taken down.
    """
    arguments = {"daemon": daemon, "new": new}
    _finish(_ask_leader(options[0], "replace", arguments), options[1], f"{daemon} is replaced")


@control.command()
@click.pass_obj
def snapshot(options: tuple[tuple[str, ...], bool]) -> None:
    """Make every reachable control daemon store a snapshot now."""
    for address in options[0]:
        reply = _ask(address, "snapshot", {})
        click.echo(f"{address} {'unreachable' if reply is None else reply.answer.decode()}")


def _split(addresses: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(part for address in addresses for part in address.replace(",", " ").split())


def _ask(address: str, action: str, arguments: dict[str, Any]) -> consensus_pb2.ManageReply | None:
    request = consensus_pb2.ManageRequest(
        action=action, arguments=msgspec.msgpack.encode(arguments)
    )
    with grpc.insecure_channel(address, options=(("grpc.enable_http_proxy", 0),)) as channel:
        try:
            stub = consensus_pb2_grpc.ConsensusStub(channel)
            return stub.Manage(request, timeout=3.0 if action == "status" else TIMEOUT_S)
        except grpc.RpcError:
            return None


def _ask_leader(
    addresses: tuple[str, ...], action: str, arguments: dict[str, Any]
) -> consensus_pb2.ManageReply | None:
    """Ask one daemon after the other until one says more than where the leader is."""
    last = None
    for address in addresses:
        reply = _ask(address, action, arguments)
        if reply is None:
            continue
        last = reply
        if reply.ok or not reply.leader_hint:
            return reply
    return last


def _finish(reply: consensus_pb2.ManageReply | None, as_json: bool, done: str) -> None:
    if reply is None:
        click.echo("no control daemon answers; check --control and that they run", err=True)
        sys.exit(EXIT_UNREACHABLE)
    if not reply.ok:
        click.echo(f"refused: {reply.detail}", err=True)
        sys.exit(EXIT_REFUSED)
    click.echo(reply.answer.decode() if as_json else f"{done}\n{_line(json.loads(reply.answer))}")


def _line(replica: dict[str, Any]) -> str:
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
