"""Log index and timestamp of a command."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LogPosition:
    """
    Log index and timestamp of a command.

    :param index: log index.
    :param stamped_s: wall-clock seconds that the leader wrote into the log entry; the same on every
        replica, but it may go back when the leader changes.
    """

    index: int
    stamped_s: float


__all__ = ["LogPosition"]
