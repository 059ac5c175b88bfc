"""`ibisspring evacuate`: keeps new requests from the endpoints of a data centre."""

from __future__ import annotations

import asyncio
from typing import Any, NoReturn

import click
import msgspec

from ibisspring_cli.options import Options, split_addresses, with_options, with_seeds
from ibisspring_cli.session import (
    EXIT_CONFLICT,
    EXIT_FINDINGS,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    fail,
    show,
)
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.evacuations import (
    Evacuate,
    Evacuated,
    Evacuation,
    EvacuationsRead,
    ReadEvacuations,
)
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import PeerClient

# Time limit in seconds for the answer of one control daemon. The leader answers a change at the
# latest 2.5 s after its commit.
CALL_TIMEOUT_S = 4.0


@click.group()
def evacuate() -> None:
    """
    Keep new requests from the endpoints of a data centre, or end this.

    A command that is repeated changes nothing further and is answered in the same way.
    """


@evacuate.command()
@click.argument("data_centre")
@with_seeds
@with_options
def start(options: Options, data_centre: str, seeds: tuple[str, ...]) -> None:
    """Start the evacuation of DATA_CENTRE; returns once all entries in touch act on it."""
    _change(options, data_centre, True, split_addresses(seeds))


@evacuate.command()
@click.argument("data_centre")
@with_seeds
@with_options
def stop(options: Options, data_centre: str, seeds: tuple[str, ...]) -> None:
    """End the evacuation of DATA_CENTRE; its endpoints may be cold for some seconds."""
    _change(options, data_centre, False, split_addresses(seeds))


@evacuate.command("list")
@with_seeds
@with_options
def list_evacuations(options: Options, seeds: tuple[str, ...]) -> None:
    """List all data centres and whether they are evacuated."""
    read = _call(options, split_addresses(seeds), ReadEvacuations())
    known = {evacuation.data_centre: evacuation for evacuation in read.evacuations}
    evacuations = [known.get(name, Evacuation(name, 0, False)) for name in read.data_centres]
    lines = [_line(evacuation) for evacuation in evacuations]
    show(options, {"evacuations": msgspec.to_builtins(evacuations)}, lines)


def _change(options: Options, data_centre: str, active: bool, seeds: tuple[str, ...]) -> None:
    read = _call(options, seeds, ReadEvacuations())
    if data_centre not in read.data_centres:
        message = f"unknown data centre; known are {', '.join(read.data_centres)}"
        fail(options, EXIT_FINDINGS, Reason.BAD_REQUEST.value, message)
    changes = {evacuation.data_centre: evacuation.change for evacuation in read.evacuations}
    message = Evacuate(data_centre, active, changes.get(data_centre, 0))
    changed = _call(options, seeds, message)
    show(
        options,
        {"evacuation": msgspec.to_builtins(changed.evacuation)},
        [_line(changed.evacuation)],
    )


def _line(evacuation: Evacuation) -> str:
    state = "evacuated" if evacuation.active else "in use"
    change = f", change {evacuation.change}" if evacuation.change else ""
    return f"{evacuation.data_centre}: {state}{change}"


def _call(options: Options, seeds: tuple[str, ...], message: Any) -> Any:
    """Call the directory's leader; print the error and exit unless it answers as expected."""
    answer = asyncio.run(_call_leader(seeds, message, options.timeout_s))
    if isinstance(answer, Refusal):
        _fail_refused(options, seeds, message, answer)
    if not isinstance(answer, (Evacuated, EvacuationsRead)):
        fail(options, EXIT_REFUSED, Reason.INTERNAL.value, f"unexpected answer {answer!r}")
    return answer


def _fail_refused(
    options: Options, seeds: tuple[str, ...], message: Any, answer: Refusal
) -> NoReturn:
    if answer.reason is Reason.CONFLICT:
        fail(options, EXIT_CONFLICT, answer.reason.value, answer.detail)
    if answer.reason is Reason.NO_LEADER and isinstance(message, ReadEvacuations):
        tried = f"no control leader answered; tried {', '.join(seeds)}"
        fail(options, EXIT_UNREACHABLE, answer.reason.value, tried)
    code = EXIT_REFUSED if answer.not_run else EXIT_UNKNOWN
    detail = f"{answer.detail}; repeat the command, which does nothing twice"
    fail(options, code, answer.reason.value, detail)


async def _call_leader(seeds: tuple[str, ...], message: Any, timeout_s: float) -> Any:
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    try:
        leader = LeaderClient(client, lambda: seeds)
        return await leader.call(message, timeout_s, CALL_TIMEOUT_S)
    finally:
        await client.stop()


__all__ = ["evacuate"]
