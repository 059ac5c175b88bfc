"""
Plans how many endpoints of which kind (cheap or standard) run in which data centre.

Load pattern: a service needs a number of endpoints in given data centres. A cheap endpoint costs a
fraction of a standard one, but the platform may reclaim all cheap endpoints of a data centre with a
notice of seconds, and either kind of endpoint may be unavailable in a data centre for a while.

A fixed fleet is either all standard and costs the most, or is lost at once with a reclaim. Simple
automatic policies fail as well. A cheap replacement in the same data centre is reclaimed again. If
an unavailable kind is ordered from the platform every second, the platform has to refuse an order
every second. If an endpoint is stopped as soon as there is one too many, the fleet oscillates: each
late announcement of an endpoint causes a stop and then a start.

The plan therefore orders no cheap endpoint in a data centre for 10 min after a reclaim there and no
endpoint of an unavailable kind for 60 s after the platform refused to start one. It spreads the
cheap endpoints over the data centres and stops a surplus endpoint only when the surplus has lasted
for 60 s. A fleet with the right number of endpoints but too few of one kind is changed one endpoint
at a time, and each replacement starts before the endpoint that it replaces is stopped, so that the
number of serving endpoints never falls during the change.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

STANDARD = "standard"
CHEAP = "cheap"
# Seconds after a reclaim during which no cheap endpoint is ordered in the data centre, because the
# data centre needs the capacity itself for hours.
RECLAIM_PAUSE_S = 600.0
# Seconds after a refused order during which this kind of endpoint is not ordered again in that data
# centre. Shorter intervals cause many refused orders, and endpoints of the other kind serve in the
# meantime.
UNAVAILABLE_PAUSE_S = 60.0
# Seconds for which a service must have too many endpoints before one is stopped. They are longer
# than the 5 s of silence after which an endpoint counts as lost, and longer than the start of an
# endpoint.
SURPLUS_HOLD_S = 60.0
# Two or more cheap endpoints of a data centre that are lost within 10 s are a reclaim; a single
# loss may be a crash.
RECLAIM_WINDOW_S = 10.0
RECLAIM_MIN_LOSSES = 2


@dataclass(frozen=True)
class WantedFleet:
    """
    The fleet that the `place` rule of a service asks for.

    :param data_centres: allowed data centres, in order of preference.
    :param count: number of endpoints over all data centres.
    :param cheap_share: largest share of `count` that may be of the cheap kind, from 0 to 1.
    """

    data_centres: tuple[str, ...]
    count: int
    cheap_share: float


@dataclass(frozen=True)
class CapacityPool:
    """A data centre and a kind of endpoint, `STANDARD` or `CHEAP`."""

    data_centre: str
    kind: str


@dataclass(frozen=True)
class RunningEndpoint:
    """
    An endpoint that serves.

    :param endpoint: id of the endpoint.
    :param place: data centre and kind of the endpoint.
    :param in_flight: number of the endpoint's running and queued requests, as it announced last.
    """

    endpoint: str
    place: CapacityPool
    in_flight: int = 0


@dataclass(frozen=True)
class StartEndpoint:
    """A planned start of one endpoint."""

    place: CapacityPool


@dataclass(frozen=True)
class StopEndpoint:
    """A planned stop of an endpoint, which is drained first."""

    endpoint: str


class CapacityPlanner:
    """
    Plans the starts and stops of the endpoints of all services.

    Losses and refused orders are recorded by data centre and kind for all services together,
    because a reclaim takes the cheap endpoints of all services.
    """

    def __init__(self) -> None:
        self._paused_until_by_place: dict[CapacityPool, float] = {}
        self._loss_times_by_place: dict[CapacityPool, list[float]] = {}
        self._surplus_since_by_service: dict[str, float] = {}

    def record_unavailable(self, place: CapacityPool, now: float) -> None:
        """
        Record that the platform could not start an endpoint of this kind in this data centre.

        :param place: data centre and kind of the refused order.
        :param now: monotonic time in seconds.
        """
        self._pause(place, now + UNAVAILABLE_PAUSE_S)

    def record_loss(self, place: CapacityPool, now: float) -> None:
        """
        Record that an endpoint was lost without a stop order.

        Several losses of cheap endpoints in one data centre in a short time count as a reclaim.

        :param place: the lost endpoint's data centre and kind.
        :param now: monotonic time in seconds.
        """
        losses = [
            at for at in self._loss_times_by_place.get(place, []) if now - at <= RECLAIM_WINDOW_S
        ]
        losses.append(now)
        self._loss_times_by_place[place] = losses
        if place.kind == CHEAP and len(losses) >= RECLAIM_MIN_LOSSES:
            self._pause(place, now + RECLAIM_PAUSE_S)

    def plan(
        self,
        service: str,
        wanted: WantedFleet,
        running: tuple[RunningEndpoint, ...],
        pending: tuple[CapacityPool, ...],
        now: float,
    ) -> tuple[StartEndpoint | StopEndpoint, ...]:
        """
        Plan the endpoints to start or to stop now for one service.

        :param service: name of the service.
        :param wanted: the fleet that the service's `place` rule asks for.
        :param running: the service's endpoints that serve and are not draining.
        :param pending: data centre and kind of each endpoint that was ordered for the service and
            has not announced itself.
        :param now: monotonic time in seconds.
        :return: the starts or stops; empty if the fleet is as wanted or nothing is available.
        """
        in_wanted = tuple(
            endpoint for endpoint in running if endpoint.place.data_centre in wanted.data_centres
        )
        occupied = [*(endpoint.place for endpoint in in_wanted), *pending]
        missing = wanted.count - len(occupied)
        if missing > 0:
            self._surplus_since_by_service.pop(service, None)
            return self._starts(wanted, occupied, missing, now)
        if pending:
            return ()
        replacement = self._replacement(wanted, occupied, now) if missing == 0 else None
        if replacement is not None:
            return (replacement,)
        return self._stops(service, wanted, running, now)

    def _starts(
        self, wanted: WantedFleet, occupied: list[CapacityPool], missing: int, now: float
    ) -> tuple[StartEndpoint, ...]:
        starts = []
        for _ in range(missing):
            place = self._best_place(wanted, occupied, now)
            if place is None:
                break
            occupied.append(place)
            starts.append(StartEndpoint(place))
        return tuple(starts)

    def _best_place(
        self, wanted: WantedFleet, occupied: list[CapacityPool], now: float
    ) -> CapacityPool | None:
        for kind in (CHEAP, STANDARD):
            if kind == CHEAP and _cheap_count(occupied) >= _max_cheap(wanted):
                continue
            place = self._least_occupied(wanted, occupied, kind, now)
            if place is not None:
                return place
        return None

    def _least_occupied(
        self, wanted: WantedFleet, occupied: list[CapacityPool], kind: str, now: float
    ) -> CapacityPool | None:
        """
        Choose the data centre for another endpoint of a kind (cheap or standard).

        :return: the wanted data centre with the fewest endpoints, and the kind; None if this kind
            cannot be ordered in any wanted data centre now.
        """
        best = None
        best_rank = (0, 0, 0)
        for preference, data_centre in enumerate(wanted.data_centres):
            place = CapacityPool(data_centre, kind)
            if self._paused_until_by_place.get(place, 0.0) > now:
                continue
            same_kind = occupied.count(place)
            # A reclaim takes all cheap endpoints of a data centre at once. No data centre gets more
            # than its share of the cheap endpoints, even if another data centre has none available.
            if kind == CHEAP and same_kind >= _max_cheap_per_data_centre(wanted):
                continue
            total = sum(1 for other in occupied if other.data_centre == data_centre)
            rank = (total, same_kind, preference)
            if best is None or rank < best_rank:
                best = place
                best_rank = rank
        return best

    def _replacement(
        self, wanted: WantedFleet, occupied: list[CapacityPool], now: float
    ) -> StartEndpoint | None:
        """
        Plan the start of one endpoint of the kind (cheap or standard) that has too few.

        The surplus that this start causes is removed by a later stop of an endpoint of the other
        kind.
        """
        cheap = _cheap_count(occupied)
        max_cheap = _max_cheap(wanted)
        if cheap == max_cheap:
            return None
        kind = CHEAP if cheap < max_cheap else STANDARD
        place = self._least_occupied(wanted, occupied, kind, now)
        return StartEndpoint(place) if place is not None else None

    def _stops(
        self, service: str, wanted: WantedFleet, running: tuple[RunningEndpoint, ...], now: float
    ) -> tuple[StopEndpoint, ...]:
        """Plan the stop of one endpoint if the surplus has lasted for `SURPLUS_HOLD_S`."""
        if len(running) <= wanted.count:
            self._surplus_since_by_service.pop(service, None)
            return ()
        since_s = self._surplus_since_by_service.setdefault(service, now)
        if now - since_s < SURPLUS_HOLD_S:
            return ()
        self._surplus_since_by_service[service] = now
        in_other_data_centres = [
            endpoint
            for endpoint in running
            if endpoint.place.data_centre not in wanted.data_centres
        ]
        cheap = _cheap_count([endpoint.place for endpoint in running])
        kind = CHEAP if cheap > _max_cheap(wanted) else STANDARD
        chosen = _first_to_stop(in_other_data_centres or _of_kind(running, kind) or list(running))
        return (StopEndpoint(chosen.endpoint),)

    def _pause(self, place: CapacityPool, until_s: float) -> None:
        previous_s = self._paused_until_by_place.get(place, 0.0)
        self._paused_until_by_place[place] = max(previous_s, until_s)


def _cheap_count(places: list[CapacityPool]) -> int:
    return sum(1 for place in places if place.kind == CHEAP)


def _max_cheap(wanted: WantedFleet) -> int:
    return math.floor(wanted.count * wanted.cheap_share + 1e-9)


def _max_cheap_per_data_centre(wanted: WantedFleet) -> int:
    return math.ceil(_max_cheap(wanted) / len(wanted.data_centres))


def _of_kind(running: tuple[RunningEndpoint, ...], kind: str) -> list[RunningEndpoint]:
    return [endpoint for endpoint in running if endpoint.place.kind == kind]


def _first_to_stop(candidates: list[RunningEndpoint]) -> RunningEndpoint:
    """Return an endpoint with the fewest requests in the data centre with the most candidates."""
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


__all__ = [
    "CHEAP",
    "STANDARD",
    "CapacityPlanner",
    "CapacityPool",
    "RunningEndpoint",
    "StartEndpoint",
    "StopEndpoint",
    "WantedFleet",
]
