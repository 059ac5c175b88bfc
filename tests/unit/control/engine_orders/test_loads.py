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


def test_loads_are_ordered_in_waves_as_engines_announce_the_version() -> None:
    engines = tuple(_engine(number) for number in range(4))
    table = LoadTable(2, LOAD_TIMEOUT_S)

    first = table.plan(TARGET, engines, 0.0)
    assert len(first) == 2
    assert table.plan(TARGET, engines, 1.0) == ()

    loaded = dataclasses.replace(engines[0], version_by_adapter={"scan-reader": 2})
    second = table.plan(TARGET, (loaded, *engines[1:]), 2.0)
    assert [load.endpoint for load in second] == ["n2"]


def test_a_load_that_is_never_announced_is_ordered_again_as_another_attempt() -> None:
    """
    An engine accepts the order to load a version with 202 but does not load it.

    If the leader treated the answer 202 as success, it would never order the load again.
    """
    table = LoadTable(1, LOAD_TIMEOUT_S)
    (first,) = table.plan(TARGET, (_engine(0),), 0.0)

    assert table.plan(TARGET, (_engine(0),), LOAD_TIMEOUT_S + 0.1) == ()
    (second,) = table.plan(TARGET, (_engine(0),), LOAD_TIMEOUT_S + 1.2)
    assert (first.attempt, second.attempt) == (1, 2)


def test_a_restarted_engine_frees_its_slot_and_is_ordered_at_once() -> None:
    table = LoadTable(1, LOAD_TIMEOUT_S)
    table.plan(TARGET, (_engine(0),), 0.0)
    restarted = _engine(0, incarnation=2)

    table.retain((restarted,))

    assert [load.incarnation for load in table.plan(TARGET, (restarted,), 0.1)] == [2]


def test_an_older_refusal_does_not_fail_a_newer_load() -> None:
    table = LoadTable(1, LOAD_TIMEOUT_S)
    (old,) = table.plan(TARGET, (_engine(0),), 0.0)
    table.record_failure(old, 0.1)
    newer = Target("scorer-lm", "scan-reader", 3)
    (load,) = table.plan(newer, (_engine(0),), 0.2)
    table.record_failure(old, 0.3)

    assert table.loading_count() == 1
    assert load.attempt != old.attempt


def test_a_disproved_version_is_ordered_again_after_an_increasing_pause() -> None:
    """
    An engine announces version 2 but its tokens are of version 1, also after the load is repeated.

    If the leader trusted the announcement, the engine would stay on old weights until the next
    version. If the leader repeated the load without an increasing delay, the loads of this engine
    would permanently occupy a slot of the weight store.
    """
    table = LoadTable(1, LOAD_TIMEOUT_S)
    engine = _engine(0, version=2)
    disproof = Disproof("n0", 1, "scan-reader", 2)

    table.record_disproof(disproof, 0.0)
    assert table.plan(TARGET, (engine,), 0.5) == ()
    assert len(table.plan(TARGET, (engine,), 1.1)) == 1
    table.record_disproof(disproof, 1.2)
    assert table.plan(TARGET, (engine,), 1.1 + LOAD_TIMEOUT_S + 0.1) == ()
    table.record_disproof(disproof, 40.0)
    assert table.plan(TARGET, (engine,), 41.1) == ()
    assert len(table.plan(TARGET, (engine,), 42.1)) == 1
