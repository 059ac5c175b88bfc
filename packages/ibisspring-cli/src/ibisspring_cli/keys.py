"""`ibisspring key`: make and list keys of client accounts."""

from __future__ import annotations

import secrets

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import read, show
from ibisspring_core.rules import key_digest

KEY_BYTES = 32


@click.group()
def key() -> None:
    """Make and list keys. A key is granted and withdrawn by the rules, by its digest."""


@key.command()
@with_options
def new(options: Options) -> None:
    """
    Make a key: give it to the caller, put its digest into the rules.

    The key is shown once and kept nowhere.
    """
    made = secrets.token_urlsafe(KEY_BYTES)
    digest = f"sha256:{key_digest(made)}"
    lines = [f"key     {made}", f"digest  {digest}", f"Add to the account's rule: key {digest}"]
    show(options, {"key": made, "digest": digest}, lines)


@key.command(name="list")
@with_options
def list_keys(options: Options) -> None:
    """List the keys in force by client account, the first digits of their digests."""
    answer = read(options, "keys")
    lines = [f"{entry['client_account']:<30} {entry['digest']}…" for entry in answer["keys"]]
    show(options, answer, lines or ["no keys are granted"])


__all__ = ["key"]
