"""
Routing: which endpoint gets a request.

Load pattern: many requests of unequal length on few endpoints of several data centres, with load
reports that lag.

Without it: round robin sends as much to an endpoint that is stuck in long jobs as to an idle one,
and "least loaded by the last report" sends every entry's requests to the same endpoint until the
next report.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(frozen=True)
class Candidate:
    """
    An endpoint that may take the request.

    :param running: its reported requests in work.
    :param queued: its reported requests waiting.
    :param capacity: requests that it works on at a time.
    :param in_flight: requests that this entry has under way there.
    """

    endpoint: str
    data_centre: str
    kind: str
    running: int
    queued: int
    capacity: int
    in_flight: int


class Router:
    """What one entry has learned of the endpoints by using them."""

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._source = source

    @classmethod
    def from_data_centre(cls, data_centre: str, source: random.Random) -> Router:
        """
        Build a router.

        :param data_centre: where this entry stands.
        :param source: random numbers.
        :return: the router.
        """
        return cls(data_centre, source)

    def choose(self, candidates: tuple[Candidate, ...], now: float) -> str | None:
        """
        Choose one of the candidates.

        :param candidates: endpoints that may take the request.
        :param now: seconds on a steady clock.
        :return: the endpoint's id, or None where there is no candidate.
        """
        if not candidates:
            return None
        pair = self._source.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._cost).endpoint

    def failed(self, endpoint: str, now: float) -> None:
        """
        Learn that an endpoint failed a request.

        :param endpoint: its id.
        :param now: seconds on the same clock.
        """

    def _cost(self, candidate: Candidate) -> float:
        work = max(candidate.running + candidate.queued, candidate.in_flight)
        return (work + 1) / max(1, candidate.capacity)


__all__ = ["Candidate", "Router"]
