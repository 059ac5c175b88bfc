from __future__ import annotations

from ibisspring_decisions.weights import RETRY_MAX_S, EngineLoadState, choose_loads, retry_time_s


def test_half_of_the_engines_continue_to_serve() -> None:
    """
    Six engines need new weights, and the weight store could serve all of them at a time.

    If all engines were ordered to load at once, no engine would serve in the meantime, and requests
    would be refused.
    """
    engines = tuple(EngineLoadState(f"n{number}", 1) for number in range(6))

    assert len(choose_loads(engines, 2, 10, 0.0)) == 3


def test_no_more_loads_than_the_weight_store_has_free_slots() -> None:
    engines = tuple(EngineLoadState(f"n{number}", 1) for number in range(10))

    assert len(choose_loads(engines, 2, 2, 0.0)) == 2
    assert choose_loads(engines, 2, 0, 0.0) == ()


def test_a_single_engine_loads_although_no_other_serves_meanwhile() -> None:
    assert choose_loads((EngineLoadState("n0", 1),), 2, 1, 0.0) == ("n0",)


def test_a_failing_engine_does_not_delay_the_others() -> None:
    """
    One engine fails each load, and the weight store serves one load at a time.

    If the failing engine were retried at once, it would occupy the weight store again and again
    while healthy engines serve old weights.
    """
    failing = EngineLoadState("n0", 1, failures=1, failed_s=0.0)
    healthy = EngineLoadState("n1", 1)

    assert choose_loads((failing, healthy), 2, 1, 100.0) == ("n1",)
    assert choose_loads((failing,), 2, 1, 0.5) == ()
    assert retry_time_s(50, 0.0) == RETRY_MAX_S


def test_engines_without_the_adapter_and_those_with_the_fewest_requests_come_first() -> None:
    engines = (
        EngineLoadState("a", 0, running=5),
        EngineLoadState("b", 0, running=1),
        EngineLoadState("c", None),
    )

    assert choose_loads(engines, 1, 9, 0.0) == ("c",)
    assert choose_loads((*engines, EngineLoadState("d", 1)), 1, 9, 0.0) == ("c", "b")
