from __future__ import annotations

from ibisspring_decisions.stragglers import MovableRun, Pace, choose_moves, slow_engines

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
