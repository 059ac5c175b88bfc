"""Tests of the choice of running items that give their slot to a more urgent group."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ibisspring_decisions.preemption import RunningItem, UrgentGroup, choose_preempted

NOBODY_WAITS = float("inf")
RUNNING = RunningItem(1, "a", 20.0, 5.0, 0.2, preempted=False)
URGENT = UrgentGroup(8, 2.0, frozenset({"a", "b"}))


def test_run_with_time_to_spare_yields() -> None:
    """A step that is due in minutes must not hold the slots that another one needs now."""
    assert choose_preempted([RUNNING], URGENT, 8) == (1,)


def test_run_whose_group_would_be_late_does_not_yield() -> None:
    """Saving one group at the cost of another gains nothing."""
    assert choose_preempted([replace(RUNNING, slack_s=4.1)], URGENT, 8) == ()


def test_run_that_ends_soon_does_not_yield() -> None:
    """Reading prompt and text again would take longer than waiting for the slot."""
    assert choose_preempted([replace(RUNNING, remaining_s=0.3)], URGENT, 8) == ()


def test_item_that_was_just_preempted_does_not_yield() -> None:
    """An item that is stopped again and again never ends."""
    assert choose_preempted([replace(RUNNING, preempted=True)], URGENT, 8) == ()


def test_run_on_another_kind_of_engine_does_not_yield() -> None:
    """A slot that the urgent items may not use is of no help to them."""
    assert choose_preempted([replace(RUNNING, engine="c")], URGENT, 8) == ()


def test_groups_that_nobody_waits_for_yield_first() -> None:
    """What costs callers least is stopped first, and the longest of it."""
    running = [
        replace(RUNNING, number=1),
        replace(RUNNING, number=2, slack_s=-1.0),
        replace(RUNNING, number=3, slack_s=NOBODY_WAITS),
        replace(RUNNING, number=4, slack_s=NOBODY_WAITS, remaining_s=9.0),
    ]
    assert choose_preempted(running, URGENT, 8) == (4, 3, 2, 1)
    assert choose_preempted(running, URGENT, 3) == (4, 3, 2)
    assert choose_preempted(running, replace(URGENT, waiting=1), 8) == (4,)


ITEMS = st.lists(
    st.builds(
        RunningItem,
        st.integers(0, 1000),
        st.sampled_from(["a", "b", "c"]),
        st.one_of(st.floats(-5.0, 20.0), st.just(NOBODY_WAITS)),
        st.floats(0.0, 10.0),
        st.floats(0.0, 1.0),
        st.booleans(),
    ),
    unique_by=lambda item: item.number,
)


@given(ITEMS, st.integers(0, 10), st.integers(0, 10))
def test_chosen_items_may_all_yield(items: list[RunningItem], waiting: int, budget: int) -> None:
    """No more items stop than slots are needed, and none whose group would pay for it."""
    chosen = choose_preempted(items, replace(URGENT, waiting=waiting), budget)
    assert len(chosen) <= min(waiting, budget)
    assert len(set(chosen)) == len(chosen)
    for item in items:
        if item.number not in chosen:
            continue
        assert not item.preempted
        assert item.engine in URGENT.engines
        assert item.remaining_s >= item.resume_cost_s
        assert item.slack_s < 0.0 or item.slack_s > 2 * URGENT.longest_s
