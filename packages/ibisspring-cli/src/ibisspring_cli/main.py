"""The binary ibisspring."""

from __future__ import annotations

import click


@click.group()
def main() -> None:
    """Operate an ibisspring system."""


__all__ = ["main"]
