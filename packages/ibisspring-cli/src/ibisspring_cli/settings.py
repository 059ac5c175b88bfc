"""`ibisspring settings`: checks a daemon's settings file."""

from __future__ import annotations

import click

from ibisspring_cli.options import Options, with_options
from ibisspring_cli.session import fail_findings, show
from ibisspring_core.settings import Settings, load_settings


@click.group()
def settings() -> None:
    """Check the settings files of daemons."""


@settings.command()
@click.argument("file")
@with_options
def check(options: Options, file: str) -> None:
    """Check FILE without starting a daemon; print all errors with line and column."""
    loaded = load_settings(file)
    if not isinstance(loaded, Settings):
        fail_findings(options, loaded)
    answer = {"findings": [], "daemon": loaded.daemon, "roles": list(loaded.roles)}
    summary = f"{file}: no findings; daemon {loaded.daemon}, roles {', '.join(loaded.roles)}"
    show(options, answer, [summary])


__all__ = ["settings"]
