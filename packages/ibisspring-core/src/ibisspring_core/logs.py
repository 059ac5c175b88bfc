"""Logs: JSON lines by eliot."""

from __future__ import annotations

import sys
from pathlib import Path

import eliot


def start_logging(path: str | None) -> None:
    """
    Send eliot's messages to a file or to standard error, one JSON object a line.

    :param path: file to append to; None for standard error.
    """
    if path is None:
        eliot.to_file(sys.stderr)
        return
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    eliot.to_file(target.open("a", encoding="utf-8"))


__all__ = ["start_logging"]
