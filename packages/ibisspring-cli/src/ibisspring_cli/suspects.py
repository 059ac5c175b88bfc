"""`ibisspring suspects`: requests under which endpoints ended."""

from __future__ import annotations

import getpass

import click
import msgspec

from ibisspring_cli.directory_leader import call_directory
from ibisspring_cli.options import Options, split_addresses, with_optional_seeds, with_options
from ibisspring_cli.session import EXIT_FINDINGS, fail, propose, read, show
from ibisspring_core.errors import Reason
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    CrashSuspect,
    ReadSuspects,
    SuspectsChanged,
    SuspectsRead,
)
from ibisspring_core.request_ids import new_request_id
from ibisspring_core.suspect_state import standing_of


@click.group()
def suspects() -> None:
    """Show the requests under which endpoints ended, or release one of them."""


@suspects.command("list")
@with_optional_seeds
@with_options
def list_suspects(options: Options, seeds: tuple[str, ...]) -> None:
    """List the requests, those with the most ends first, each with the endpoints that ended."""
    known = _read(options, split_addresses(seeds))
    lines = [line for suspect in known for line in _lines(suspect)]
    found = [
        {**msgspec.to_builtins(suspect), "standing": standing_of(suspect).value}
        for suspect in known
    ]
    show(options, {"suspects": found}, lines or ["no request is suspected"])


@suspects.command()
@click.argument("identity")
@with_optional_seeds
@with_options
def release(options: Options, identity: str, seeds: tuple[str, ...]) -> None:
    """Forget the ends under the request IDENTITY, so that it is sent again."""
    addresses = split_addresses(seeds)
    known = {one.identity: one for one in _read(options, addresses)}
    if identity not in known:
        fail(options, EXIT_FINDINGS, Reason.BAD_REQUEST.value, "no request has this identity")
    message = ClearSuspect(identity, len(known[identity].ends), getpass.getuser())
    if addresses:
        call_directory(options, addresses, message, SuspectsChanged, changes=True)
    else:
        propose(options, message, new_request_id(), f"ibisspring suspects release {identity}")
    show(options, {"released": identity}, [f"{identity}: released"])


def _read(options: Options, seeds: tuple[str, ...]) -> tuple[CrashSuspect, ...]:
    if seeds:
        answer = call_directory(options, seeds, ReadSuspects(), SuspectsRead, changes=False)
        return answer.suspects
    return msgspec.convert(read(options, "suspects")["suspects"], tuple[CrashSuspect, ...])


def _lines(suspect: CrashSuspect) -> list[str]:
    account = suspect.client_account or "a public route"
    head = f"{suspect.identity}: {standing_of(suspect).value}, {suspect.method} {suspect.target}"
    lines = [f"{head} of {account} to {suspect.service}"]
    for end in suspect.ends:
        trial = ", in a trial" if end.in_trial else ""
        lines.append(
            f"  {end.endpoint} start {end.incarnation} ended under {end.request}, sent by "
            f"{end.daemon} with {end.in_flight - 1} others{trial}"
        )
    return lines


__all__ = ["suspects"]
