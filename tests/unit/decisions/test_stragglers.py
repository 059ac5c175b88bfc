from __future__ import annotations

from ibisspring_decisions.stragglers import MovableRun, Pace, choose_moves, slow_engines

EVENT_S = 0.037


def paces(*seconds: float) -> dict[str, Pace]:
    return {name: Pace(value) for name, value in zip("abcde", seconds, strict=False)}


def replay(moves: bool) -> float:
    """Twelve texts of 38 events on an engine that turns 3.6 times as slow; when the last ends."""
    made = dict.fromkeys(range(12), 0.0)
    engine = dict.fromkeys(range(12), "a")
    known = paces(EVENT_S, EVENT_S, EVENT_S)
    now = 0.0
    while any(events < 38 for events in made.values()):
        now += 0.4
        for number in made:
            pace_s = EVENT_S * 3.6 if engine[number] == "a" else EVENT_S
            made[number] += 0.4 / pace_s
        known["a"].measure(EVENT_S * 3.6)
        if not moves:
            continue
        runs = [MovableRun(n, engine[n], 38 - events) for n, events in made.items()]
        for number in choose_moves(runs, slow_engines(known), free_places=12):
            engine[number] = "b"
    return now


def test_texts_leave_an_engine_that_turned_slow_while_they_run() -> None:
    # One of five engines turns slow with twelve texts of a step on it. The step waits seven seconds
    # for texts that take a second and a half elsewhere, and the trainer idles.
    assert replay(moves=False) > 5.0
    assert replay(moves=True) < 2.9


def test_equals_under_different_load_are_not_slow() -> None:
    assert slow_engines(paces(0.032, 0.040, 0.044, 0.037)) == frozenset()
    assert slow_engines(paces(0.037, 0.040, 0.13, 0.037)) == {"c"}


def test_of_two_engines_nobody_knows_which_is_slow() -> None:
    assert slow_engines(paces(0.037, 0.13)) == frozenset()
    assert slow_engines({}) == frozenset()


def test_only_as_many_move_as_find_a_place_and_the_longest_first() -> None:
    runs = [MovableRun(1, "a", 10), MovableRun(2, "a", 90), MovableRun(3, "b", 90)]

    assert choose_moves(runs, frozenset("a"), free_places=1) == (2,)
    assert choose_moves(runs, frozenset("a"), free_places=-3) == ()
    assert choose_moves(runs, frozenset("a"), free_places=5) == (2, 1)


def test_a_run_in_its_last_moments_stays() -> None:
    assert choose_moves([MovableRun(1, "a", 2)], frozenset("a"), free_places=5) == ()
