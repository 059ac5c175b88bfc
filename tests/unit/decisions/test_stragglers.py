from __future__ import annotations

from ibisspring_decisions.stragglers import MovableRun, Pace, choose_moves, slow_engines

EVENT_S = 0.037
ANY = frozenset("abcde")


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
        runs = [MovableRun(n, engine[n], 38 - events, ANY) for n, events in made.items()]
        for number in choose_moves(runs, slow_engines(known), {"b": 12}, waiting=0):
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
    runs = [
        MovableRun(1, "a", 10, ANY),
        MovableRun(2, "a", 90, ANY),
        MovableRun(3, "b", 90, ANY),
    ]

    assert choose_moves(runs, frozenset("a"), {"b": 1}, waiting=0) == (2,)
    assert choose_moves(runs, frozenset("a"), {"b": 1}, waiting=4) == ()
    assert choose_moves(runs, frozenset("a"), {"a": 9, "b": 3, "c": 2}, waiting=0) == (2, 1)


def test_a_text_does_not_leave_for_places_where_it_may_not_run() -> None:
    # Right after a new version was named, the slow engine alone has weights that the job takes. The
    # others have places; a text that left would come back to the slow one at once, and again.
    runs = [MovableRun(1, "a", 90, frozenset("a")), MovableRun(2, "a", 50, frozenset("ac"))]

    assert choose_moves(runs, frozenset("a"), {"b": 16}, waiting=0) == ()
    assert choose_moves(runs, frozenset("a"), {"b": 16, "c": 1}, waiting=0) == (2,)


def test_a_run_in_its_last_moments_stays() -> None:
    runs = [MovableRun(1, "a", 2, ANY)]
    assert choose_moves(runs, frozenset("a"), {"b": 5}, waiting=0) == ()
