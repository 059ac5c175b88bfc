"""
Cost per served unit and share on the cheap kind: the capacity decisions against fixed fleets.

A day of a service is replayed through `ibisspring_decisions.capacity`, with reclaims of a whole
data centre's cheap endpoints and spans in which a kind is unavailable. No process, network, clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from bench._report import bar_plot, print_table, spread
from ibisspring_decisions.capacity import CHEAP, STANDARD, Capacity, Place, Running, Start, Wanted

# Endpoints of the services that both deployments run: scorer-lm and sorter-llm, archive-app and
# ticketing.
COUNT_BY_SERVICE = {"model, 5 endpoints": 5, "plain, 3 endpoints": 3}
SEEDS = (1, 2, 3, 4, 5)
DAY_S = 86_400
STEP_S = 5
START_S = 60
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
CHEAP_SHARE = 0.6
# Price of a cheap endpoint's second, that of a standard one being 1: offers of clouds lie between
# 0.1 and 0.4.
CHEAP_PRICE = 0.3
RECLAIMS_A_DAY = 6
RECLAIM_SPAN_S = 3_600
UNAVAILABLE_A_DAY = 4
UNAVAILABLE_SPAN_S = 1_800
# Share of all endpoints that the load needs; it is drawn anew every ten minutes.
LOAD_RANGE = (0.5, 1.0)


@dataclass(frozen=True)
class Span:
    """A place that cannot be had; `reclaim` says that what runs there is taken as well."""

    place: Place
    from_s: int
    to_s: int
    reclaim: bool


@dataclass
class Outcome:
    """What a day gave, in endpoint seconds and prices."""

    spent: float = 0.0
    served: float = 0.0
    offered: float = 0.0
    cheap_served: float = 0.0
    worst: float = 1.0

    def row(self) -> tuple[float, float, float, float]:
        return (
            self.spent / self.served,
            self.served / self.offered,
            self.cheap_served / self.served,
            self.worst,
        )


class FixedFleet:
    """An operator's fleet that is started once; what is reclaimed is asked for again each step."""

    def __init__(self, places: list[Place]) -> None:
        self.places = places

    def plan(self, now: int, running: list[Place], starting: list[Place]) -> list[Place]:
        missing = list(self.places)
        for place in [*running, *starting]:
            if place in missing:
                missing.remove(place)
        return missing

    def note(self, place: Place, lost: bool, now: int) -> None:
        """A fixed fleet learns nothing."""

    def stops(self) -> list[Place]:
        return []


class PlannedFleet:
    """The product's decisions."""

    def __init__(self, wanted: Wanted) -> None:
        self.wanted = wanted
        self.capacity = Capacity()
        self._stops: list[Place] = []

    def plan(self, now: int, running: list[Place], starting: list[Place]) -> list[Place]:
        serving = tuple(Running(str(number), place) for number, place in enumerate(running))
        steps = self.capacity.plan("lm", self.wanted, serving, tuple(starting), float(now))
        self._stops = [running[int(step.endpoint)] for step in steps if not isinstance(step, Start)]
        return [step.place for step in steps if isinstance(step, Start)]

    def note(self, place: Place, lost: bool, now: int) -> None:
        if lost:
            self.capacity.note_lost(place, float(now))
        else:
            self.capacity.note_unavailable(place, float(now))

    def stops(self) -> list[Place]:
        return self._stops


def draw_spans(seed: int) -> list[Span]:
    """Draw a day's reclaims and unavailable spans."""
    source = random.Random(seed)
    spans = []
    for _ in range(RECLAIMS_A_DAY):
        start = source.randrange(DAY_S)
        place = Place(source.choice(DATA_CENTRES), CHEAP)
        spans.append(Span(place, start, start + RECLAIM_SPAN_S, reclaim=True))
    for _ in range(UNAVAILABLE_A_DAY):
        start = source.randrange(DAY_S)
        place = Place(source.choice(DATA_CENTRES), source.choice((CHEAP, STANDARD)))
        spans.append(Span(place, start, start + UNAVAILABLE_SPAN_S, reclaim=False))
    return spans


def replay(count: int, fleet: FixedFleet | PlannedFleet, seed: int) -> Outcome:
    """Replay one day."""
    spans = draw_spans(seed)
    source = random.Random(seed + 1000)
    outcome = Outcome()
    running: list[Place] = []
    starting: list[tuple[int, Place]] = []
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
        for place in fleet.stops():
            running.remove(place)
        if now >= 2 * START_S:
            _account(outcome, count, running, starting, load)
    return outcome


def _account(
    outcome: Outcome,
    count: int,
    running: list[Place],
    starting: list[tuple[int, Place]],
    load: float,
) -> None:
    offered = count * load
    served = min(offered, float(len(running)))
    # A starting endpoint costs as much as one that serves.
    paid = [*running, *(place for _, place in starting)]
    outcome.spent += sum(CHEAP_PRICE if place.kind == CHEAP else 1.0 for place in paid) * STEP_S
    outcome.served += served * STEP_S
    outcome.offered += offered * STEP_S
    outcome.worst = min(outcome.worst, served / offered)
    if running:
        cheap = sum(1 for place in running if place.kind == CHEAP)
        outcome.cheap_served += served * cheap / len(running) * STEP_S


def fleets(count: int) -> dict[str, FixedFleet | PlannedFleet]:
    """The product's fleet and the fixed ones that it is compared with."""
    cheap = int(count * CHEAP_SHARE)
    standard = [Place(DATA_CENTRES[number % 3], STANDARD) for number in range(count)]
    spread_out = [Place(DATA_CENTRES[number % 3], CHEAP) for number in range(cheap)]
    in_one = [Place(DATA_CENTRES[0], CHEAP) for _ in range(cheap)]
    return {
        "planned": PlannedFleet(Wanted(DATA_CENTRES, count, CHEAP_SHARE)),
        "fixed, all standard": FixedFleet(standard),
        "fixed, cheap spread": FixedFleet(spread_out + standard[cheap:]),
        "fixed, cheap in one": FixedFleet(in_one + standard[cheap:]),
    }


def main() -> None:
    """Print the table and draw the plot."""
    header = ("service", "fleet", "cost per unit", "served", "on cheap", "worst moment")
    rows = []
    plot: dict[str, dict[str, float]] = {}
    for service, count in COUNT_BY_SERVICE.items():
        plot[service] = {}
        for name in fleets(count):
            days = [replay(count, fleets(count)[name], seed).row() for seed in SEEDS]
            columns = [list(column) for column in zip(*days, strict=True)]
            digits = (3, 4, 2, 2)
            cells = [spread(column, n) for column, n in zip(columns, digits, strict=True)]
            rows.append((service, name, *cells))
            plot[service][name] = sum(columns[0]) / len(SEEDS)
    print_table(header, rows)
    print(f"seeds {SEEDS}, one day each; cost of an all-standard endpoint second = 1")
    print(bar_plot("capacity", "endpoint cost per served unit", plot))


if __name__ == "__main__":
    main()
