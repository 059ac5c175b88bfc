"""`ibisspring evacuate`: keeps new requests from the endpoints of a data centre."""

from __future__ import annotations

import click
import msgspec

from ibisspring_cli.directory_leader import call_directory
from ibisspring_cli.options import Options, split_addresses, with_options, with_seeds
from ibisspring_cli.session import EXIT_FINDINGS, fail, show
from ibisspring_core.errors import Reason
from ibisspring_core.messages.evacuations import (
    Evacuate,
    Evacuated,
    Evacuation,
    EvacuationsRead,
    ReadEvacuations,
)


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
    read = call_directory(
        options, split_addresses(seeds), ReadEvacuations(), EvacuationsRead, changes=False
    )
    known = {evacuation.data_centre: evacuation for evacuation in read.evacuations}
    evacuations = [known.get(name, Evacuation(name, 0, False)) for name in read.data_centres]
    lines = [_line(evacuation) for evacuation in evacuations]
    show(options, {"evacuations": msgspec.to_builtins(evacuations)}, lines)


def _change(options: Options, data_centre: str, active: bool, seeds: tuple[str, ...]) -> None:
    read = call_directory(options, seeds, ReadEvacuations(), EvacuationsRead, changes=False)
    if data_centre not in read.data_centres:
        message = f"unknown data centre; known are {', '.join(read.data_centres)}"
        fail(options, EXIT_FINDINGS, Reason.BAD_REQUEST.value, message)
    changes = {evacuation.data_centre: evacuation.change for evacuation in read.evacuations}
    message = Evacuate(data_centre, active, changes.get(data_centre, 0))
    changed = call_directory(options, seeds, message, Evacuated, changes=True)
    show(
        options,
        {"evacuation": msgspec.to_builtins(changed.evacuation)},
        [_line(changed.evacuation)],
    )


def _line(evacuation: Evacuation) -> str:
    state = "evacuated" if evacuation.active else "in use"
    change = f", change {evacuation.change}" if evacuation.change else ""
    return f"{evacuation.data_centre}: {state}{change}"


__all__ = ["evacuate"]
