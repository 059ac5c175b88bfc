from __future__ import annotations

import dataclasses

from ibisspring_control.engine_orders.loads import LoadTable, Target
from ibisspring_core.messages.endpoints import Disproof, EndpointRecord

LOAD_TIMEOUT_S = 30.0
TARGET = Target("scorer-lm", "scan-reader", 2)


def _engine(number: int, version: int = 1, incarnation: int = 1) -> EndpointRecord:
    return EndpointRecord(
        f"n{number}",
        incarnation,
        1,
        "scorer-lm",
        "engine",
        "standard",
        "derby",
        f"127.0.0.1:{number}",
        version_by_adapter={"scan-reader": version},
    )


def test_waves_follow_what_the_engines_announce() -> None:
    engines = tuple(_engine(number) for number in range(4))
    table = LoadTable(2, LOAD_TIMEOUT_S)

    first = table.plan(TARGET, engines, 0.0)
    assert len(first) == 2
    assert table.plan(TARGET, engines, 1.0) == ()

    loaded = dataclasses.replace(engines[0], version_by_adapter={"scan-reader": 2})
    second = table.plan(TARGET, (loaded, *engines[1:]), 2.0)
    assert [load.endpoint for load in second] == ["n2"]


def test_a_swap_that_never_shows_is_ordered_again_under_another_attempt() -> None:
    """
    An engine takes the order with 202 and does not swap.

    The leader would count it as swapped for ever, had it believed the 202.
    """
    table = LoadTable(1, LOAD_TIMEOUT_S)
    (first,) = table.plan(TARGET, (_engine(0),), 0.0)

    assert table.plan(TARGET, (_engine(0),), LOAD_TIMEOUT_S + 0.1) == ()
    (second,) = table.plan(TARGET, (_engine(0),), LOAD_TIMEOUT_S + 1.2)
    assert (first.attempt, second.attempt) == (1, 2)


def test_a_restarted_engine_is_ordered_at_once_and_frees_its_place() -> None:
    table = LoadTable(1, LOAD_TIMEOUT_S)
    table.plan(TARGET, (_engine(0),), 0.0)
    restarted = _engine(0, incarnation=2)

    table.keep_only((restarted,))

    assert [load.incarnation for load in table.plan(TARGET, (restarted,), 0.1)] == [2]


def test_an_older_refusal_does_not_fail_a_newer_load() -> None:
    table = LoadTable(1, LOAD_TIMEOUT_S)
    (old,) = table.plan(TARGET, (_engine(0),), 0.0)
    table.failed(old, 0.1)
    newer = Target("scorer-lm", "scan-reader", 3)
    (load,) = table.plan(newer, (_engine(0),), 0.2)
    table.failed(old, 0.3)

    assert table.loading() == 1
    assert load.attempt != old.attempt


def test_a_disproved_announcement_is_ordered_again_after_a_pause_that_grows() -> None:
    """
    An engine announces version 2 and its tokens are of version 1; told again, it lies again.

    Its word taken, it would stay on old weights until the next version; ordered at once each time,
    it would keep a place of the weight store for ever.
    """
    table = LoadTable(1, LOAD_TIMEOUT_S)
    liar = _engine(0, version=2)
    lie = Disproof("n0", 1, "scan-reader", 2)

    table.disprove(lie, 0.0)
    assert table.plan(TARGET, (liar,), 0.5) == ()
    assert len(table.plan(TARGET, (liar,), 1.1)) == 1
    table.disprove(lie, 1.2)
    assert table.plan(TARGET, (liar,), 1.1 + LOAD_TIMEOUT_S + 0.1) == ()
    table.disprove(lie, 40.0)
    assert table.plan(TARGET, (liar,), 41.1) == ()
    assert len(table.plan(TARGET, (liar,), 42.1)) == 1
