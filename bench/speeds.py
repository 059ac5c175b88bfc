"""Compares ways to place and move texts on engines of two speeds with noise."""

from __future__ import annotations

import dataclasses
from statistics import mean
from typing import TYPE_CHECKING

from bench._report import print_table
from bench._speeds_replay import (
    REPORT_EVERY_S,
    SLOTS,
    START_S,
    Figures,
    Replay,
    ReplayedEngine,
    Text,
)
from ibisspring_decisions.dispatch import EngineCapacity, WaitingItem, place_items
from ibisspring_decisions.engine_speed import EngineState
from ibisspring_decisions.placement import (
    MAX_HELD_S,
    EngineForecast,
    place_by_end,
    remaining_events,
)
from ibisspring_decisions.stragglers import (
    MIN_REMAINING_EVENTS,
    MOVE_COST_S,
    MOVE_REST_S,
    ForecastRun,
    FreeEngine,
    MovableRun,
    MoveBudget,
    choose_gainful_moves,
    choose_moves,
    slow_engines,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = (1, 2, 3, 4)
LOADS = (1.0, 1.4)
MEMORY_TOKENS = 1 << 30
SLACK_FACTOR = 2.0
MIN_RUN_BEFORE_MOVE_S = 0.4


def remaining_of(text: Text) -> float:
    """Return the estimated number of events that a text still has to produce."""
    return remaining_events(text.expected_events, float(int(text.events_made)))


def _items(texts: list[Text], engines: frozenset[str]) -> list[WaitingItem]:
    return [
        WaitingItem(text.key, text.group, text.due_s, 0, text.carried, 0, 0, engines)
        for text in texts
    ]


def _capacity(replay: Replay, engine: ReplayedEngine, slowness: float = 1.0) -> EngineCapacity:
    return EngineCapacity(
        engine.name,
        SLOTS - len(engine.runs),
        MEMORY_TOKENS,
        len(engine.runs),
        slowness,
        {text.group for text in engine.runs},
    )


def place_fast_first(replay: Replay, now: float) -> None:
    """Give each item in order the fastest engine with a free slot, as without learned speeds."""
    if not replay.any_free():
        return
    texts = replay.waiting()
    event_s = {name: replay.paces[name].seconds for name in replay.engines}
    fastest = min((one for one in event_s.values() if one), default=1.0)
    capacities = [
        _capacity(replay, engine, event_s[name] / fastest if event_s[name] else 1.0)
        for name, engine in replay.engines.items()
    ]
    text_by_key = {text.key: text for text in texts}
    for placement in place_items(_items(texts, frozenset(replay.engines)), capacities):
        text = text_by_key[placement.key]
        expected_s = START_S + remaining_of(text) * replay.speeds.event_s(placement.engine, SLOTS)
        replay.start(text, placement.engine, now, expected_s)


def place_by_predicted_end(replay: Replay, now: float) -> None:
    """Place by predicted end, holding items back for fast slots that become free soon."""
    if not replay.any_free():
        return
    speeds = replay.speeds
    texts = replay.waiting()
    forecasts = []
    for name, engine in replay.engines.items():

        def event_s(running: int, name: str = name) -> float:
            return speeds.expected_event_s(name, running)

        def ends(engine: ReplayedEngine = engine) -> list[float]:
            pace_s = speeds.expected_event_s(engine.name, len(engine.runs))
            return [remaining_of(text) * pace_s for text in engine.runs]

        forecasts.append(EngineForecast(_capacity(replay, engine), event_s, ends))
    text_by_key = {text.key: text for text in texts}
    placed = place_by_end(
        _items(texts, frozenset(replay.engines)),
        forecasts,
        lambda item: remaining_of(text_by_key[item.key]),
        lambda item: now - (text_by_key[item.key].held_s or now) < MAX_HELD_S,
    )
    for key in placed.held_back:
        text_by_key[key].held_s = text_by_key[key].held_s or now
    for placement in placed.placements:
        text = text_by_key[placement.key]
        replay.start(text, placement.engine, now, START_S + placement.ends_in_s)


def place_slack_on_slow(replay: Replay, now: float) -> None:
    """
    Give an item the slowest engine on which twice its estimated length ends in time.

    The fast engines stay free for the other items.
    """
    free = {name: SLOTS - len(engine.runs) for name, engine in replay.engines.items()}
    for text in replay.waiting():
        names = [name for name, slots in free.items() if slots > 0]
        if not names:
            return
        remaining = remaining_of(text)
        end_s = {name: remaining * replay.speeds.expected_event_s(name, SLOTS) for name in names}
        in_time = [name for name in names if now + SLACK_FACTOR * end_s[name] <= text.due_s]
        if in_time:
            name = max(in_time, key=lambda one: (end_s[one], free[one], one))
        else:
            name = min(names, key=lambda one: (end_s[one], one))
        replay.start(text, name, now, START_S + end_s[name])
        free[name] -= 1


def move_from_slower_than_median(replay: Replay, now: float) -> None:
    """Move runs from engines slower than the median by a factor, as without learned speeds."""
    slow = slow_engines(replay.paces)
    if not slow:
        return
    text_by_number = dict(
        enumerate(text for engine in replay.engines.values() for text in engine.runs)
    )
    engines = frozenset(replay.engines)
    movable = [
        MovableRun(number, text.engine, max(remaining_of(text), MIN_REMAINING_EVENTS), engines)
        for number, text in text_by_number.items()
        if now - text.started_s > MIN_RUN_BEFORE_MOVE_S
    ]
    free = {name: SLOTS - len(engine.runs) for name, engine in replay.engines.items()}
    for number in choose_moves(movable, slow, free, len(replay.waiting())):
        replay.end_run(text_by_number[number], now)


class GainfulMoves:
    """Moves runs whose predicted gain exceeds the cost, within a budget."""

    def __init__(self) -> None:
        self._budget = MoveBudget()

    def __call__(self, replay: Replay, now: float) -> None:
        """Move runs now."""
        speeds = replay.speeds
        text_by_number = dict(
            enumerate(text for engine in replay.engines.values() for text in engine.runs)
        )
        left = self._budget.left(len(text_by_number), now)
        if left <= 0:
            return
        engines = frozenset(replay.engines)
        runs = [
            self._forecast(replay, number, text, engines, now)
            for number, text in text_by_number.items()
            if now - text.started_s > MIN_RUN_BEFORE_MOVE_S and now - text.moved_s > MOVE_REST_S
        ]
        free = [
            FreeEngine(name, SLOTS - len(one.runs), speeds.expected_event_s(name, SLOTS))
            for name, one in replay.engines.items()
            if speeds.state(name) is EngineState.NORMAL
        ]
        for move in choose_gainful_moves(runs, free, left):
            text = text_by_number[move.number]
            replay.end_run(text, now)
            replay.start(text, move.engine, now + MOVE_COST_S - START_S, move.ends_in_s)
            self._budget.spend(now)

    def _forecast(
        self, replay: Replay, number: int, text: Text, engines: frozenset[str], now: float
    ) -> ForecastRun:
        speeds = replay.speeds
        remaining = remaining_of(text)
        running = len(replay.engines[text.engine].runs)
        return ForecastRun(
            number,
            text.engine,
            speeds.state(text.engine) is EngineState.DEGRADED,
            remaining,
            remaining * speeds.expected_event_s(text.engine, running),
            text.due_s - now,
            engines,
        )


WAYS: dict[str, tuple[Callable[..., None], Callable[[], Callable[..., None]] | None]] = {
    "fast first, moves by the median": (place_fast_first, lambda: move_from_slower_than_median),
    "fast first, no moves": (place_fast_first, None),
    "slack on slow engines, gainful moves": (place_slack_on_slow, GainfulMoves),
    "predicted end, no moves": (place_by_predicted_end, None),
    "predicted end, gainful moves": (place_by_predicted_end, GainfulMoves),
}


def figures_of(way: str, seed: int, load: float = 1.0, degraded: bool = False) -> Figures:
    """Replay one way with one seed."""
    place, make_move = WAYS[way]
    move = make_move() if make_move is not None else None
    return Replay(place, move, seed, load, degraded=degraded).run()


def main() -> None:
    """Print the mean figures of each way over the seeds."""
    fields = [field.name for field in dataclasses.fields(Figures)]
    rows = []
    for degraded in (False, True):
        for load in LOADS:
            for way in WAYS:
                results = [figures_of(way, seed, load, degraded) for seed in SEEDS]
                means = [mean(getattr(one, field) for one in results) for field in fields]
                trouble = "degraded engines" if degraded else "noise"
                rows.append((trouble, f"{load}", way, *(f"{one:.3f}" for one in means)))
    print(f"{len(SEEDS)} seeds; report every {REPORT_EVERY_S} s")
    print_table(("trouble", "load", "way", *fields), rows)


if __name__ == "__main__":
    main()
