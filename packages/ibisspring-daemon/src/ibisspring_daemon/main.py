"""Entry point of the executable `ibisspringd`."""

from __future__ import annotations

import asyncio
import signal
import sys

import click
import eliot

from ibisspring_core.logs import start_logging
from ibisspring_core.settings import Settings, load_settings
from ibisspring_daemon.wiring import build_kernel

EXIT_BAD_SETTINGS = 2


async def run(settings: Settings) -> None:
    """
    Run a daemon until SIGTERM or SIGINT, then stop its services in reverse start order.

    :param settings: validated settings of the daemon.
    """
    kernel = build_kernel(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, kernel.stopping.set)
    await kernel.start()
    eliot.log_message("daemon:started", daemon=settings.daemon, roles=list(settings.roles))
    await kernel.stopping.wait()
    eliot.log_message("daemon:stopping", daemon=settings.daemon)
    await kernel.stop()
    eliot.log_message("daemon:stopped", daemon=settings.daemon)


@click.command()
@click.option("--settings", "path", required=True, help="The daemon's YAML settings file.")
@click.option("--check", is_flag=True, help="Check the settings, print all errors and exit.")
def main(path: str, check: bool) -> None:
    """Run one ibisspring daemon with the roles listed in its settings file."""
    settings = load_settings(path)
    if not isinstance(settings, Settings):
        for finding in settings:
            click.echo(str(finding), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{path}: settings are good")
        return
    start_logging(settings.log_path or None, settings.daemon)
    asyncio.run(run(settings))


__all__ = ["main", "run"]
