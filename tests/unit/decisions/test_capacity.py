from __future__ import annotations

from ibisspring_decisions.capacity import (
    CHEAP,
    STANDARD,
    CapacityPlanner,
    CapacityPool,
    RunningEndpoint,
    StartEndpoint,
    StopEndpoint,
    WantedFleet,
)

DATA_CENTRES = ("birmingham", "derby", "stoke")
WANTED = WantedFleet(DATA_CENTRES, count=5, cheap_share=0.6)
START_S = 20.0


class _Fleet:
    """
    A simulated fleet that starts and stops endpoints as `CapacityPlanner` plans.

    An endpoint serves `START_S` seconds after its order; a stopped endpoint disappears at once.

    :param orders: number of planned starts and stops.
    :param refused: number of starts that were refused because the kind was unavailable in the data
        centre.
    :param min_serving: lowest number of endpoints that served at a time during the last call of
        `run`.
    """

    def __init__(self, wanted: WantedFleet) -> None:
        self.wanted = wanted
        self.capacity = CapacityPlanner()
        self.now = 0.0
        self.serving: dict[str, CapacityPool] = {}
        self.starting: list[tuple[float, CapacityPool]] = []
        self.unavailable: set[CapacityPool] = set()
        self.orders = 0
        self.refused = 0
        self.stopped = 0
        self.min_serving = 0

    def run(self, span_s: float) -> None:
        """Plan once a second for a number of seconds; `min_serving` is reset first."""
        self.min_serving = len(self.serving)
        for _ in range(int(span_s)):
            self.now += 1.0
            self._announce_started()
            running = tuple(
                RunningEndpoint(name, place) for name, place in sorted(self.serving.items())
            )
            pending = tuple(place for _, place in self.starting)
            for step in self.capacity.plan("lm", self.wanted, running, pending, self.now):
                self._apply(step)
            self.min_serving = min(self.min_serving, len(self.serving))

    def _announce_started(self) -> None:
        for start in list(self.starting):
            if self.now - start[0] < START_S:
                continue
            self.starting.remove(start)
            self.serving[f"{start[1].data_centre}-{self.now:.0f}-{len(self.serving)}"] = start[1]

    def _apply(self, step: StartEndpoint | StopEndpoint) -> None:
        self.orders += 1
        if isinstance(step, StopEndpoint):
            self.stopped += 1
            del self.serving[step.endpoint]
        elif step.place in self.unavailable:
            self.refused += 1
            self.capacity.record_unavailable(step.place, self.now)
        else:
            self.starting.append((self.now, step.place))

    def reclaim(self, data_centre: str) -> None:
        """Lose all cheap endpoints of a data centre, one of them of another service."""
        place = CapacityPool(data_centre, CHEAP)
        self.capacity.record_loss(place, self.now)
        for name in [name for name, other in self.serving.items() if other == place]:
            del self.serving[name]
            self.capacity.record_loss(place, self.now)

    def count(self, kind: str) -> int:
        return sum(1 for place in self.serving.values() if place.kind == kind)

    def data_centres(self, kind: str) -> list[str]:
        return sorted(place.data_centre for place in self.serving.values() if place.kind == kind)


def _started_fleet(wanted: WantedFleet = WANTED) -> _Fleet:
    fleet = _Fleet(wanted)
    fleet.run(60)
    return fleet


def test_the_fleet_matches_the_rule_and_stays_unchanged() -> None:
    fleet = _started_fleet()

    assert (fleet.count(CHEAP), fleet.count(STANDARD)) == (3, 2)
    assert fleet.data_centres(CHEAP) == ["birmingham", "derby", "stoke"]
    fleet.run(600)
    assert fleet.orders == 5


def test_a_reclaim_costs_one_endpoint_and_is_replaced_by_the_standard_kind() -> None:
    # All cheap endpoints in derby are reclaimed at once, which costs the service one endpoint of
    # five. A standard endpoint must replace it: a cheap one in derby would be reclaimed as well.
    fleet = _started_fleet()

    fleet.reclaim("derby")
    fleet.run(40)

    assert fleet.min_serving == 4
    assert len(fleet.serving) == 5
    assert fleet.data_centres(CHEAP) == ["birmingham", "stoke"]


def test_the_move_back_to_the_cheap_kind_never_costs_service() -> None:
    fleet = _started_fleet()
    fleet.reclaim("derby")
    fleet.run(40)

    fleet.run(900)

    assert fleet.min_serving == 5
    assert (fleet.count(CHEAP), fleet.count(STANDARD)) == (3, 2)
    assert fleet.stopped == 1


def test_an_unavailable_cheap_kind_is_replaced_by_the_standard_one_with_few_orders() -> None:
    fleet = _Fleet(WANTED)
    fleet.unavailable = {CapacityPool(data_centre, CHEAP) for data_centre in DATA_CENTRES}

    fleet.run(300)

    assert (fleet.count(CHEAP), fleet.count(STANDARD)) == (0, 5)
    assert fleet.refused <= 3 * 6


def test_an_unavailable_standard_kind_never_breaks_the_cheap_bound() -> None:
    fleet = _Fleet(WANTED)
    fleet.unavailable = {CapacityPool(data_centre, STANDARD) for data_centre in DATA_CENTRES}

    fleet.run(300)

    assert (fleet.count(CHEAP), fleet.count(STANDARD)) == (3, 0)


def test_a_surplus_of_some_seconds_stops_no_endpoint() -> None:
    # A late announcement makes a lost endpoint count as serving for some seconds. If an endpoint
    # were stopped for it, one would be missing afterwards.
    fleet = _started_fleet()
    fleet.serving["lost"] = CapacityPool("derby", STANDARD)
    fleet.run(30)
    del fleet.serving["lost"]
    fleet.run(120)

    assert fleet.stopped == 0


def test_a_changed_rule_moves_the_fleet_without_a_gap() -> None:
    fleet = _started_fleet()

    fleet.wanted = WantedFleet(("birmingham", "stoke"), count=5, cheap_share=0.2)
    fleet.run(1200)

    assert fleet.min_serving == 5
    assert (fleet.count(CHEAP), fleet.count(STANDARD)) == (1, 4)
    assert "derby" not in fleet.data_centres(CHEAP) + fleet.data_centres(STANDARD)
