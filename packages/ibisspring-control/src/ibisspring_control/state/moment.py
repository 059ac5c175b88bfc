"""Position of a command in the replicated log, passed to the functions that apply commands."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LogPosition:
    """
    Log index and timestamp of a committed command.

    :param index: index of the command's entry in the replicated log.
    :param stamped_s: wall-clock seconds that the leader wrote into the log entry; the same on every
        replica. The time of a later command may be earlier if the leader changed in between.
    """

    index: int
    stamped_s: float


__all__ = ["LogPosition"]
