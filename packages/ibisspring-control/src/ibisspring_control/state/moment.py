"""When a command is applied."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Moment:
    """
    The place of a command in the log.

    :param index: log index.
    :param stamped_s: wall-clock seconds that the leader wrote into the entry; the same on every
        replica, but it may run back when the leader changes.
    """

    index: int
    stamped_s: float


__all__ = ["Moment"]
