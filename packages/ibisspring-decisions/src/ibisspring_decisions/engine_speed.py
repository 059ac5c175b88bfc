"""
The own speed and the present state of each engine.

Load pattern: the engines of a service differ in speed by a factor of two or more, each of them is
slower for parts of a second now and then, and some degrade for seconds.

This module holds the types that placement, moves, the log and the entries share.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class EngineState(enum.Enum):
    """An engine's present speed compared with its own usual speed."""

    NORMAL = "normal"
    NOISY = "noisy"
    DEGRADED = "degraded"


@dataclass(frozen=True)
class KnownSpeed:
    """
    The learned speed of one start of an engine, as it is kept in the log.

    :param engine: id of the engine.
    :param incarnation: start of the engine; a speed of another start is not used.
    :param event_s: usual seconds per event of one stream while the engine is half full.
    """

    engine: str
    incarnation: int
    event_s: float


class EngineSpeeds(Protocol):
    """Learns the speed of each engine from the events of its streams."""

    def event_s(self, engine: str, running: int) -> float:
        """
        Return the usual seconds per event of one stream.

        :param running: number of streams that the engine would run.
        :return: the median of the known engines for an engine that is not known.
        """
        ...

    def state(self, engine: str) -> EngineState:
        """Return the engine's present state; NORMAL for an engine that is not known."""
        ...


__all__ = ["EngineSpeeds", "EngineState", "KnownSpeed"]
