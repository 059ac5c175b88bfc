from __future__ import annotations

from ibisspring_decisions.weights import RETRY_MOST_S, EngineView, plan_wave, retry_at_s


def test_half_of_the_engines_go_on_serving() -> None:
    """
    New weights for six engines and a weight store with room for all.

    Ordered at once, no engine would serve while they load, and callers would be refused.
    """
    engines = tuple(EngineView(f"n{number}", 1) for number in range(6))

    assert len(plan_wave(engines, 2, 10, 0.0)) == 3


def test_the_weight_store_is_not_asked_past_its_rate() -> None:
    engines = tuple(EngineView(f"n{number}", 1) for number in range(10))

    assert len(plan_wave(engines, 2, 2, 0.0)) == 2
    assert plan_wave(engines, 2, 0, 0.0) == ()


def test_a_single_engine_is_swapped_all_the_same() -> None:
    assert plan_wave((EngineView("n0", 1),), 2, 1, 0.0) == ("n0",)


def test_a_failing_engine_does_not_hold_up_the_others() -> None:
    """
    One engine fails each swap; one place in the weight store.

    Retried at once it would take the place again and again while good engines serve old weights.
    """
    broken = EngineView("n0", 1, failures=1, failed_s=0.0)
    good = EngineView("n1", 1)

    assert plan_wave((broken, good), 2, 1, 100.0) == ("n1",)
    assert plan_wave((broken,), 2, 1, 0.5) == ()
    assert retry_at_s(50, 0.0) == RETRY_MOST_S


def test_engines_without_the_adapter_and_the_idlest_come_first() -> None:
    engines = (EngineView("a", 0, running=5), EngineView("b", 0, running=1), EngineView("c", None))

    assert plan_wave(engines, 1, 9, 0.0) == ("c",)
    assert plan_wave((*engines, EngineView("d", 1)), 1, 9, 0.0) == ("c", "b")
