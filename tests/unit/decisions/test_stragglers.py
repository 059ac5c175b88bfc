from __future__ import annotations

import pytest

from ibisspring_decisions.stragglers import (
    MIN_MOVES_PER_S,
    MOVE_COST_S,
    ForecastRun,
    FreeEngine,
    MovableRun,
    MoveBudget,
    MoveReason,
    Pace,
    choose_gainful_moves,
    choose_moves,
    slow_engines,
)

EVENT_S = 0.037
ANY_ENGINE = frozenset("abcde")


def paces(*seconds: float) -> dict[str, Pace]:
    return {name: Pace(value) for name, value in zip("abcde", seconds, strict=False)}


def run_step(moves: bool) -> float:
    """
    Run twelve items of 38 events on an engine that has become 3.6 times slower.

    :return: seconds until the last item ends.
    """
    events_by_run = dict.fromkeys(range(12), 0.0)
    engine_by_run = dict.fromkeys(range(12), "a")
    pace_by_engine = paces(EVENT_S, EVENT_S, EVENT_S)
    now = 0.0
    while any(events < 38 for events in events_by_run.values()):
        now += 0.4
        for number in events_by_run:
            pace_s = EVENT_S * 3.6 if engine_by_run[number] == "a" else EVENT_S
            events_by_run[number] += 0.4 / pace_s
        pace_by_engine["a"].add_measurement(EVENT_S * 3.6)
        if not moves:
            continue
        runs = [
            MovableRun(run, engine_by_run[run], 38 - events, ANY_ENGINE)
            for run, events in events_by_run.items()
        ]
        for number in choose_moves(runs, slow_engines(pace_by_engine), {"b": 12}, waiting_items=0):
            engine_by_run[number] = "b"
    return now


def test_runs_move_away_from_an_engine_that_becomes_slow() -> None:
    # One of five engines becomes slow while it runs twelve items of a step. Without moves, the step
    # would wait seven seconds for outputs that take a second and a half on other engines, and the
    # trainer would be idle meanwhile.
    assert run_step(moves=False) > 5.0
    assert run_step(moves=True) < 2.9


def test_equal_engines_under_different_load_are_not_slow() -> None:
    assert slow_engines(paces(0.032, 0.040, 0.044, 0.037)) == frozenset()
    assert slow_engines(paces(0.037, 0.040, 0.13, 0.037)) == {"c"}


def test_with_fewer_than_three_engines_none_counts_as_slow() -> None:
    assert slow_engines(paces(0.037, 0.13)) == frozenset()
    assert slow_engines({}) == frozenset()


def test_runs_move_only_to_free_slots_and_the_longest_first() -> None:
    runs = [
        MovableRun(1, "a", 10, ANY_ENGINE),
        MovableRun(2, "a", 90, ANY_ENGINE),
        MovableRun(3, "b", 90, ANY_ENGINE),
    ]

    assert choose_moves(runs, frozenset("a"), {"b": 1}, waiting_items=0) == (2,)
    assert choose_moves(runs, frozenset("a"), {"b": 1}, waiting_items=4) == ()
    assert choose_moves(runs, frozenset("a"), {"a": 9, "b": 3, "c": 2}, waiting_items=0) == (2, 1)


def test_a_run_is_moved_only_if_an_allowed_endpoint_has_free_slots() -> None:
    # Right after a trainer has published a new version, only the slow engine has weights that the
    # job accepts. The other engines have free slots, but a run that left the slow engine would be
    # placed on it again at once, repeatedly.
    runs = [MovableRun(1, "a", 90, frozenset("a")), MovableRun(2, "a", 50, frozenset("ac"))]

    assert choose_moves(runs, frozenset("a"), {"b": 16}, waiting_items=0) == ()
    assert choose_moves(runs, frozenset("a"), {"b": 16, "c": 1}, waiting_items=0) == (2,)


def test_a_run_with_few_remaining_events_does_not_move() -> None:
    runs = [MovableRun(1, "a", 2, ANY_ENGINE)]
    assert choose_moves(runs, frozenset("a"), {"b": 5}, waiting_items=0) == ()


def forecast_run(number: int, **changes) -> ForecastRun:
    fields = {
        "number": number,
        "engine": "a",
        "degraded": False,
        "remaining_events": 50.0,
        "ends_in_s": 50 * 0.062,
        "due_in_s": 6.0,
        "engines": ANY_ENGINE,
    }
    return ForecastRun(**{**fields, **changes})


def free_engine(engine: str = "b", free_slots: int = 4, event_s: float = 0.028) -> FreeEngine:
    return FreeEngine(engine, free_slots, event_s)


def test_a_run_stays_on_an_engine_that_is_slow_by_nature_while_it_ends_in_time() -> None:
    # Three engines of four are slow by nature. Moves by the median cut one run in eight.
    assert choose_gainful_moves([forecast_run(1)], [free_engine()], 4) == ()


def test_a_run_that_will_be_late_moves_to_a_faster_engine() -> None:
    moves = choose_gainful_moves([forecast_run(1, due_in_s=3.0)], [free_engine()], 4)

    assert [(move.number, move.engine, move.reason) for move in moves] == [
        (1, "b", MoveReason.LATE)
    ]
    assert moves[0].gain_s == pytest.approx(50 * (0.062 - 0.028) - MOVE_COST_S)


def test_a_run_does_not_move_for_a_gain_below_the_cost() -> None:
    # A text that is nearly complete would be read again for nothing.
    late = forecast_run(1, due_in_s=0.1, remaining_events=10.0, ends_in_s=0.62)
    degraded = forecast_run(2, degraded=True, remaining_events=5.0, ends_in_s=0.7)

    assert choose_gainful_moves([late, degraded], [free_engine()], 4) == ()


def test_runs_of_a_degraded_engine_move_even_if_they_are_not_late() -> None:
    runs = [
        forecast_run(number, degraded=True, ends_in_s=50 * 0.15 + number, due_in_s=60.0)
        for number in range(8)
    ]
    moves = choose_gainful_moves(runs, [free_engine("b", 2), free_engine("c", 4, 0.062)], 5)

    assert [move.number for move in moves] == [7, 6, 5, 4, 3]
    assert [move.engine for move in moves] == ["b", "b", "c", "c", "c"]
    assert {move.reason for move in moves} == {MoveReason.DEGRADED}


def test_a_late_run_moves_only_to_an_engine_that_may_continue_it() -> None:
    run = forecast_run(1, due_in_s=1.0, engines=frozenset("ac"))

    assert choose_gainful_moves([run], [free_engine("b")], 4) == ()
    assert choose_gainful_moves([run], [free_engine("a", event_s=0.001)], 4) == ()
    assert choose_gainful_moves([run], [free_engine("c")], 4)[0].engine == "c"


def test_the_moves_of_a_second_are_limited() -> None:
    # Forty runs a second were cut while engines were noisy, and every engine read them again.
    budget = MoveBudget()
    spent = 0
    for tick in range(30):
        now = tick * 0.1
        for _ in range(max(0, budget.left(176, now))):
            budget.spend(now)
            spent += 1
        assert spent <= 4 * (int(now) + 1)
    assert spent == 12
    assert MoveBudget().left(1, 0.0) == MIN_MOVES_PER_S
