"""
How many endpoints of which kind run where.

Load pattern: a service needs a number of endpoints in given data centres. The cheap kind costs a
fraction of the standard one, but a whole data centre's cheap endpoints may be reclaimed on seconds'
notice, and either kind may be unavailable in a data centre for a while.

Without it: an operator's fixed fleet is either all standard, and costs the most, or lost at once
with the reclaim. Replacing reclaimed endpoints by cheap ones in the same data centre has them
reclaimed again; asking an unavailable kind again every second is a storm of refused orders;
stopping at the first sight of one endpoint too many makes the fleet go up and down with every late
announcement.

Grounds of the figures: a reclaim takes back what the data centre needs for hours, so the cheap kind
is left alone there for `RECLAIM_PAUSE_S` (10 min). An unavailable kind is asked for again after
`UNAVAILABLE_PAUSE_S` (60 s): sooner is a storm, and the other kind serves in the meantime. A
surplus is only stopped after `SURPLUS_HOLD_S` (60 s), longer than an endpoint's silence until it is
taken as gone (5 s) and than its start. A move back to the cheap kind takes one endpoint at a time,
its replacement first, so that it never costs service. Two or more cheap endpoints of a data centre
that are gone within `RECLAIM_SPAN_S` (10 s) are a reclaim; one alone may be a crash.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

STANDARD = "standard"
CHEAP = "cheap"
RECLAIM_PAUSE_S = 600.0
UNAVAILABLE_PAUSE_S = 60.0
SURPLUS_HOLD_S = 60.0
RECLAIM_SPAN_S = 10.0
RECLAIM_LEAST = 2


@dataclass(frozen=True)
class Wanted:
    """
    What the `place` rule of a service asks for.

    :param data_centres: in order of preference.
    :param count: endpoints over all data centres.
    :param cheap_share: largest share of `count` that may be of the cheap kind, 0 to 1.
    """

    data_centres: tuple[str, ...]
    count: int
    cheap_share: float


@dataclass(frozen=True)
class Place:
    """A kind in a data centre."""

    data_centre: str
    kind: str


@dataclass(frozen=True)
class Running:
    """
    An endpoint that serves.

    :param in_flight: requests on it, as announced.
    """

    endpoint: str
    place: Place
    in_flight: int = 0


@dataclass(frozen=True)
class Start:
    """Start one endpoint."""

    place: Place


@dataclass(frozen=True)
class Stop:
    """Drain an endpoint, then stop it."""

    endpoint: str


class Capacity:
    """What the plans remember; places are shared by all services, as a reclaim takes them all."""

    def __init__(self) -> None:
        self._paused_until_by_place: dict[Place, float] = {}
        self._lost_s_by_place: dict[Place, list[float]] = {}
        self._surplus_since_by_service: dict[str, float] = {}

    def note_unavailable(self, place: Place, now: float) -> None:
        """
        Note that the platform had no such endpoint.

        :param place: what was asked for.
        :param now: seconds.
        """
        self._pause(place, now + UNAVAILABLE_PAUSE_S)

    def note_lost(self, place: Place, now: float) -> None:
        """
        Note that an endpoint is gone which nobody stopped.

        :param place: where it ran.
        :param now: seconds.
        """
        lost = [at for at in self._lost_s_by_place.get(place, []) if now - at <= RECLAIM_SPAN_S]
        lost.append(now)
        self._lost_s_by_place[place] = lost
        if place.kind == CHEAP and len(lost) >= RECLAIM_LEAST:
            self._pause(place, now + RECLAIM_PAUSE_S)

    def plan(
        self,
        service: str,
        wanted: Wanted,
        running: tuple[Running, ...],
        pending: tuple[Place, ...],
        now: float,
    ) -> tuple[Start | Stop, ...]:
        """
        Decide what to start and what to stop for one service now.

        :param service: its name.
        :param wanted: its rule.
        :param running: its endpoints that serve and do not drain.
        :param pending: those ordered and not announced yet, one item each.
        :param now: seconds.
        :return: the steps; empty when the fleet is as it should be or nothing can be had.
        """
        placed = tuple(
            endpoint for endpoint in running if endpoint.place.data_centre in wanted.data_centres
        )
        places = [*(endpoint.place for endpoint in placed), *pending]
        missing = wanted.count - len(places)
        if missing > 0:
            self._surplus_since_by_service.pop(service, None)
            return self._starts(wanted, places, missing, now)
        if pending:
            return ()
        move = self._move(wanted, places, now) if missing == 0 else None
        if move is not None:
            return (move,)
        return self._stops(service, wanted, running, now)

    def _starts(
        self, wanted: Wanted, places: list[Place], missing: int, now: float
    ) -> tuple[Start, ...]:
        starts = []
        for _ in range(missing):
            place = self._best_place(wanted, places, now)
            if place is None:
                break
            places.append(place)
            starts.append(Start(place))
        return tuple(starts)

    def _best_place(self, wanted: Wanted, places: list[Place], now: float) -> Place | None:
        for kind in (CHEAP, STANDARD):
            if kind == CHEAP and _cheap(places) >= _most_cheap(wanted):
                continue
            place = self._emptiest(wanted, places, kind, now)
            if place is not None:
                return place
        return None

    def _emptiest(self, wanted: Wanted, places: list[Place], kind: str, now: float) -> Place | None:
        best = None
        best_rank = (0, 0, 0)
        for preference, data_centre in enumerate(wanted.data_centres):
            place = Place(data_centre, kind)
            if self._paused_until_by_place.get(place, 0.0) > now:
                continue
            same_kind = places.count(place)
            # A reclaim takes all cheap endpoints of a data centre at once, so that no data centre
            # gets more than its part of them, also while another has none to give.
            if kind == CHEAP and same_kind >= _most_cheap_each(wanted):
                continue
            there = sum(1 for other in places if other.data_centre == data_centre)
            rank = (there, same_kind, preference)
            if best is None or rank < best_rank:
                best = place
                best_rank = rank
        return best

    def _move(self, wanted: Wanted, places: list[Place], now: float) -> Start | None:
        """
        Start one endpoint of the kind that is short; the surplus ends with one of the other kind.
        """
        cheap = _cheap(places)
        most_cheap = _most_cheap(wanted)
        if cheap == most_cheap:
            return None
        kind = CHEAP if cheap < most_cheap else STANDARD
        place = self._emptiest(wanted, places, kind, now)
        return Start(place) if place is not None else None

    def _stops(
        self, service: str, wanted: Wanted, running: tuple[Running, ...], now: float
    ) -> tuple[Stop, ...]:
        if len(running) <= wanted.count:
            self._surplus_since_by_service.pop(service, None)
            return ()
        since_s = self._surplus_since_by_service.setdefault(service, now)
        if now - since_s < SURPLUS_HOLD_S:
            return ()
        self._surplus_since_by_service[service] = now
        outside = [
            endpoint
            for endpoint in running
            if endpoint.place.data_centre not in wanted.data_centres
        ]
        cheap = _cheap([endpoint.place for endpoint in running])
        kind = CHEAP if cheap > _most_cheap(wanted) else STANDARD
        chosen = _most_crowded(outside or _of_kind(running, kind) or list(running))
        return (Stop(chosen.endpoint),)

    def _pause(self, place: Place, until_s: float) -> None:
        known_s = self._paused_until_by_place.get(place, 0.0)
        self._paused_until_by_place[place] = max(known_s, until_s)


def _cheap(places: list[Place]) -> int:
    return sum(1 for place in places if place.kind == CHEAP)


def _most_cheap(wanted: Wanted) -> int:
    return math.floor(wanted.count * wanted.cheap_share + 1e-9)


def _most_cheap_each(wanted: Wanted) -> int:
    return math.ceil(_most_cheap(wanted) / len(wanted.data_centres))


def _of_kind(running: tuple[Running, ...], kind: str) -> list[Running]:
    return [endpoint for endpoint in running if endpoint.place.kind == kind]


def _most_crowded(candidates: list[Running]) -> Running:
    count_by_data_centre: dict[str, int] = {}
    for endpoint in candidates:
        data_centre = endpoint.place.data_centre
        count_by_data_centre[data_centre] = count_by_data_centre.get(data_centre, 0) + 1
    return max(
        candidates,
        key=lambda endpoint: (
            count_by_data_centre[endpoint.place.data_centre],
            -endpoint.in_flight,
            endpoint.endpoint,
        ),
    )


__all__ = ["CHEAP", "STANDARD", "Capacity", "Place", "Running", "Start", "Stop", "Wanted"]
