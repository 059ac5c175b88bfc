"""`ibisspring key`: creates and lists the API keys of client accounts."""

from __future__ import annotations

import secrets

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import read, show
from ibisspring_core.rules import key_digest

# Number of random bytes in an API key.
KEY_BYTES = 32


@click.group()
def key() -> None:
    """
    Create and list API keys.

    The rules grant and withdraw a key by its digest.
    """


@key.command()
@with_options
def new(options: Options) -> None:
    """
    Create a key. Give the key to the caller and add its digest to the rules.

    The key is printed once and not stored.
    """
    api_key = secrets.token_urlsafe(KEY_BYTES)
    digest = f"sha256:{key_digest(api_key)}"
    lines = [f"key     {api_key}", f"digest  {digest}", f"Add to the account's rule: key {digest}"]
    show(options, {"key": api_key, "digest": digest}, lines)


@key.command(name="list")
@with_options
def list_keys(options: Options) -> None:
    """List the granted keys: client account and first digits of the key's digest."""
    answer = read(options, "keys")
    lines = [f"{entry['client_account']:<30} {entry['digest']}…" for entry in answer["keys"]]
    show(options, answer, lines or ["no keys are granted"])


__all__ = ["key"]
