"""Tests of the dispatcher with preemption in force."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace

import pytest
from unit.jobs.overload_system import OverloadSystem, submit_steps

from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_decisions.group_order import GroupTier
from ibisspring_decisions.preemption import MAX_PREEMPTIONS_PER_S, MIN_RUN_S
from ibisspring_jobs.preempting import _is_better

SHARES = LoadPolicy(shares=True)
PREEMPTION = LoadPolicy(shares=True, preemption=True)
PATIENT_DUE_S = 60.0
URGENT_DUE_S = 3.5


def system_with_full_slots(policy: LoadPolicy) -> OverloadSystem:
    """Return a system whose slots are all taken by long items of a job with time to spare."""
    system = OverloadSystem(policy, engines=2)
    patient = [[60] * 8 for _ in range(4)]
    system.submit("patient", "large", patient, due_s=PATIENT_DUE_S, give_up_s=PATIENT_DUE_S + 5)
    system.run_until(2.0)
    return system


def submit_urgent(system: OverloadSystem) -> None:
    """Submit a job that is in time only if it gets slots at once."""
    system.submit("urgent", "left", [[20] * 8], due_s=URGENT_DUE_S, give_up_s=20.0)


def assert_runs_last_a_second(system: OverloadSystem) -> None:
    """Check that an item that was stopped ran for a second before it was stopped again."""
    stopped: set[str] = set()
    for at_s, item in system.moved:
        starts = [start.at_s for start in system.run_starts if start.item == item]
        started_at = max(start_s for start_s in starts if start_s <= at_s)
        assert item not in stopped or at_s - started_at >= MIN_RUN_S
        stopped.add(item)


def test_urgent_group_is_in_time_and_the_others_too() -> None:
    """An urgent step waited until items ended that were due a minute later."""
    whole_at = {}
    for policy in (SHARES, PREEMPTION):
        system = system_with_full_slots(policy)
        submit_urgent(system)
        system.run_until(20.0)
        whole_at[policy] = system.whole_at_by_group["urgent", "g0"]
        assert len(system.whole_at_by_group) == 5
        assert system.idle_steps == 0
        system.assert_texts_whole()
    assert whole_at[SHARES] > 2.0 + URGENT_DUE_S
    assert whole_at[PREEMPTION] <= 2.0 + URGENT_DUE_S


def test_preempted_text_is_kept() -> None:
    """A preempted item that started from the beginning would waste what its engine made."""
    system = system_with_full_slots(PREEMPTION)
    submit_urgent(system)
    system.run_until(20.0)
    preempted = {item for _, item in system.moved}
    assert preempted
    resumed = {start.item: start.resume_after for start in system.run_starts}
    assert min(resumed[item] for item in preempted) >= 10


def test_nothing_is_preempted_for_a_group_that_is_in_time() -> None:
    """A stopped run costs its engine the reading of prompt and text."""
    system = system_with_full_slots(PREEMPTION)
    system.submit("later", "left", [[20] * 8], due_s=15.0, give_up_s=20.0)
    system.run_until(20.0)
    assert system.moved == []


@pytest.mark.parametrize("fault", ["leader", "runner", "both"])
@pytest.mark.parametrize("delay_s", [0.2, 0.3, 0.4, 0.6])
def test_fault_during_preemption_loses_nothing(fault: str, delay_s: float) -> None:
    """A run is ordered to stop, and its runner or the leader is lost before it has stopped."""
    system = system_with_full_slots(PREEMPTION)
    submit_urgent(system)
    system.run_until(2.0 + delay_s)
    if fault in ("runner", "both"):
        system.lose_runner()
    if fault in ("leader", "both"):
        system.change_leader()
    system.run_until(30.0)
    assert len(system.whole_at_by_group) == 5
    system.assert_texts_whole()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_preemption_is_bounded_under_overload(seed: int) -> None:
    """Preemption that chases every change of the plan would only read prompts."""
    system = OverloadSystem(PREEMPTION)
    submit_steps(system, random.Random(seed), 1.6, 24.0)
    without = OverloadSystem(SHARES)
    submit_steps(without, random.Random(seed), 1.6, 24.0)
    moved_per_s = Counter(int(at_s) for at_s, _ in system.moved)
    assert max(moved_per_s.values(), default=0) <= 2 * MAX_PREEMPTIONS_PER_S
    assert_runs_last_a_second(system)
    system.assert_texts_whole()
    accounts = ("large", "left", "right")
    assert system.in_time_part(accounts, 24.0) >= 0.9 / 1.6


def test_resumed_items_run_for_a_second() -> None:
    """Urgent steps that follow each other would stop the same items again and again."""
    system = OverloadSystem(PREEMPTION, engines=2)
    patient = [[80] * 8 for _ in range(2)]
    system.submit("patient", "large", patient, due_s=PATIENT_DUE_S, give_up_s=PATIENT_DUE_S)
    system.run_until(2.0)
    for number in range(6):
        system.submit(f"urgent-{number}", "left", [[10] * 8] * 2, due_s=1.9, give_up_s=9.0)
        system.run_until(system.now + 1.6)
    assert system.moved
    assert_runs_last_a_second(system)


def test_group_that_can_wait_stops_nobody_yet() -> None:
    """A slot may become free while the group can still wait for it."""
    system = system_with_full_slots(PREEMPTION)
    system.submit("urgent", "left", [[20] * 8], due_s=4.0, give_up_s=20.0)
    due_at, longest_s = 2.0 + 4.0, 2.0
    system.run_until(20.0)
    first_stop = min(at_s for at_s, _ in system.moved)
    assert first_stop >= due_at - longest_s - 1.2
    assert system.whole_at_by_group["urgent", "g0"] <= due_at


def test_plan_that_loses_a_group_is_not_better() -> None:
    """Stopping runs for one group must not make another one late."""
    in_time, late = (SimpleNamespace(tier=tier) for tier in (GroupTier.IN_TIME, GroupTier.LATE))
    urgent = SimpleNamespace(key=("j", "urgent"))
    made = SimpleNamespace(planned_by_key={("j", "urgent"): late, ("j", "other"): in_time})
    saved = SimpleNamespace(planned_by_key={("j", "urgent"): in_time, ("j", "other"): in_time})
    swapped = SimpleNamespace(planned_by_key={("j", "urgent"): in_time, ("j", "other"): late})
    assert _is_better(made, saved, urgent)
    assert not _is_better(made, swapped, urgent)
    assert not _is_better(made, made, urgent)
