"""The binary ibisspring."""

from __future__ import annotations

import click

from ibisspring_cli.control import control


@click.group()
def main() -> None:
    """Operate an ibisspring system."""


main.add_command(control)

__all__ = ["main"]
