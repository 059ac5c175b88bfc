"""
Cost per served unit and share served by cheap endpoints: planned fleets against fixed ones.

Replays one day of a service through `ibisspring_decisions.capacity`. Several times a day
a reclaim takes all cheap endpoints of a data centre, or a data centre has no endpoints of one kind
available for a while. The replay uses no processes, no network and no clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from bench._report import bar_plot, print_table, spread
from ibisspring_decisions.capacity import (
    CHEAP,
    STANDARD,
    CapacityPlanner,
    CapacityPool,
    RunningEndpoint,
    StartEndpoint,
    WantedFleet,
)

# Endpoint counts of the services that the two deployments run: scorer-lm and sorter-llm are model
# services, archive-app and ticketing are plain ones.
COUNT_BY_SERVICE = {"model, 5 endpoints": 5, "plain, 3 endpoints": 3}
SEEDS = (1, 2, 3, 4, 5)
DAY_S = 86_400
STEP_S = 5
START_S = 60
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
CHEAP_SHARE = 0.6
# Price of a second of a cheap endpoint, where a second of a standard one costs 1. The offers of
# clouds lie between 0.1 and 0.4.
CHEAP_PRICE = 0.3
RECLAIMS_A_DAY = 6
RECLAIM_SPAN_S = 3_600
UNAVAILABLE_A_DAY = 4
UNAVAILABLE_SPAN_S = 1_800
# Range of the share of all endpoints that the load needs; a new share is drawn every ten minutes.
LOAD_RANGE = (0.5, 1.0)


@dataclass(frozen=True)
class Span:
    """A time span in which no endpoint can start in a place; a reclaim also stops those there."""

    place: CapacityPool
    from_s: int
    to_s: int
    reclaim: bool


@dataclass
class Outcome:
    """Totals of one day: price spent, and endpoint seconds offered and served."""

    spent: float = 0.0
    served: float = 0.0
    offered: float = 0.0
    cheap_served: float = 0.0
    worst_served_share: float = 1.0

    def figures(self) -> tuple[float, float, float, float]:
        return (
            self.spent / self.served,
            self.served / self.offered,
            self.cheap_served / self.served,
            self.worst_served_share,
        )


class FixedFleet:
    """A fleet of fixed places; each reclaimed endpoint is ordered again there at every step."""

    def __init__(self, places: list[CapacityPool]) -> None:
        self.places = places

    def plan(
        self, now: int, running: list[CapacityPool], starting: list[CapacityPool]
    ) -> list[CapacityPool]:
        missing = list(self.places)
        for place in [*running, *starting]:
            if place in missing:
                missing.remove(place)
        return missing

    def note(self, place: CapacityPool, lost: bool, now: int) -> None:
        """No-op: a fixed fleet does not react to lost or unavailable endpoints."""

    def endpoints_to_stop(self) -> list[CapacityPool]:
        return []


class PlannedFleet:
    """A fleet that is planned by `ibisspring_decisions.capacity`."""

    def __init__(self, wanted: WantedFleet) -> None:
        self.wanted = wanted
        self.capacity = CapacityPlanner()
        self._to_stop: list[CapacityPool] = []

    def plan(
        self, now: int, running: list[CapacityPool], starting: list[CapacityPool]
    ) -> list[CapacityPool]:
        serving = tuple(RunningEndpoint(str(number), place) for number, place in enumerate(running))
        steps = self.capacity.plan("lm", self.wanted, serving, tuple(starting), float(now))
        self._to_stop = [
            running[int(step.endpoint)] for step in steps if not isinstance(step, StartEndpoint)
        ]
        return [step.place for step in steps if isinstance(step, StartEndpoint)]

    def note(self, place: CapacityPool, lost: bool, now: int) -> None:
        if lost:
            self.capacity.record_loss(place, float(now))
        else:
            self.capacity.record_unavailable(place, float(now))

    def endpoints_to_stop(self) -> list[CapacityPool]:
        return self._to_stop


def draw_spans(seed: int) -> list[Span]:
    """Draw the reclaims and the unavailable spans of one day."""
    source = random.Random(seed)
    spans = []
    for _ in range(RECLAIMS_A_DAY):
        start = source.randrange(DAY_S)
        place = CapacityPool(source.choice(DATA_CENTRES), CHEAP)
        spans.append(Span(place, start, start + RECLAIM_SPAN_S, reclaim=True))
    for _ in range(UNAVAILABLE_A_DAY):
        start = source.randrange(DAY_S)
        place = CapacityPool(source.choice(DATA_CENTRES), source.choice((CHEAP, STANDARD)))
        spans.append(Span(place, start, start + UNAVAILABLE_SPAN_S, reclaim=False))
    return spans


def replay(count: int, fleet: FixedFleet | PlannedFleet, seed: int) -> Outcome:
    """Replay one day; the first two start times are left out of the totals."""
    spans = draw_spans(seed)
    source = random.Random(seed + 1000)
    outcome = Outcome()
    running: list[CapacityPool] = []
    starting: list[tuple[int, CapacityPool]] = []
    load = 1.0
    for now in range(0, DAY_S, STEP_S):
        if now % 600 == 0:
            load = source.uniform(*LOAD_RANGE)
        running.extend(place for at, place in starting if at <= now)
        starting = [(at, place) for at, place in starting if at > now]
        for span in spans:
            if span.reclaim and span.from_s <= now < span.to_s:
                for place in [place for place in running if place == span.place]:
                    running.remove(place)
                    fleet.note(place, True, now)
        for place in fleet.plan(now, running, [place for _, place in starting]):
            blocked = any(span.place == place and span.from_s <= now < span.to_s for span in spans)
            if blocked:
                fleet.note(place, False, now)
            else:
                starting.append((now + START_S, place))
        for place in fleet.endpoints_to_stop():
            running.remove(place)
        if now >= 2 * START_S:
            _add_step(outcome, count, running, starting, load)
    return outcome


def _add_step(
    outcome: Outcome,
    count: int,
    running: list[CapacityPool],
    starting: list[tuple[int, CapacityPool]],
    load: float,
) -> None:
    offered = count * load
    served = min(offered, float(len(running)))
    # An endpoint is paid for from the order on, also while it starts.
    paid = [*running, *(place for _, place in starting)]
    outcome.spent += sum(CHEAP_PRICE if place.kind == CHEAP else 1.0 for place in paid) * STEP_S
    outcome.served += served * STEP_S
    outcome.offered += offered * STEP_S
    outcome.worst_served_share = min(outcome.worst_served_share, served / offered)
    if running:
        cheap = sum(1 for place in running if place.kind == CHEAP)
        outcome.cheap_served += served * cheap / len(running) * STEP_S


def fleets(count: int) -> dict[str, FixedFleet | PlannedFleet]:
    """Return the planned fleet and the fixed fleets that it is compared with, by name."""
    cheap = int(count * CHEAP_SHARE)
    standard = [CapacityPool(DATA_CENTRES[number % 3], STANDARD) for number in range(count)]
    cheap_spread = [CapacityPool(DATA_CENTRES[number % 3], CHEAP) for number in range(cheap)]
    cheap_in_one = [CapacityPool(DATA_CENTRES[0], CHEAP) for _ in range(cheap)]
    return {
        "planned": PlannedFleet(WantedFleet(DATA_CENTRES, count, CHEAP_SHARE)),
        "fixed, all standard": FixedFleet(standard),
        "fixed, cheap spread": FixedFleet(cheap_spread + standard[cheap:]),
        "fixed, cheap in one": FixedFleet(cheap_in_one + standard[cheap:]),
    }


def main() -> None:
    """Print the table and draw the plot."""
    header = ("service", "fleet", "cost per unit", "served", "on cheap", "worst moment")
    rows = []
    plot: dict[str, dict[str, float]] = {}
    for service, count in COUNT_BY_SERVICE.items():
        plot[service] = {}
        for name in fleets(count):
            figures_by_seed = [replay(count, fleets(count)[name], seed).figures() for seed in SEEDS]
            columns = [list(column) for column in zip(*figures_by_seed, strict=True)]
            digits = (3, 4, 2, 2)
            cells = [spread(column, n) for column, n in zip(columns, digits, strict=True)]
            rows.append((service, name, *cells))
            plot[service][name] = sum(columns[0]) / len(SEEDS)
    print_table(header, rows)
    print(f"seeds {SEEDS}, one day each; cost of an all-standard endpoint second = 1")
    print(bar_plot("capacity", "endpoint cost per served unit", plot))


if __name__ == "__main__":
    main()
