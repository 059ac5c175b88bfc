from __future__ import annotations

import random

from unit.jobs.overload_system import SERVICE, WALL_AT_BOOT_S, OverloadSystem, submit_steps

from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_jobs.load_reports import predicted_end_s, share_balances


def overloaded(policy: LoadPolicy) -> OverloadSystem:
    system = OverloadSystem(policy)
    submit_steps(system, random.Random(1), load=1.6, until_s=8.0)
    return system


def test_operators_see_what_each_account_has_used_lent_and_is_owed() -> None:
    # An operator who sees no balance cannot tell why one account's items wait behind another's.
    balances = share_balances(overloaded(LoadPolicy(shares=True)).dispatcher)

    assert {service for service, _ in balances} == {SERVICE}
    assert balances[(SERVICE, "large")].lent_s > 0.0
    assert balances[(SERVICE, "left")].owed_s > 0.0
    assert all(balance.used_s > 0.0 for balance in balances.values())


def test_operators_see_when_a_job_will_probably_be_complete() -> None:
    system = overloaded(LoadPolicy(shares=True))
    open_jobs = [job for job, record in system.state.job_by_id.items() if record.item_by_id]

    ends_s = [predicted_end_s(system.dispatcher, job) for job in open_jobs]

    assert any(end_s is not None for end_s in ends_s)
    assert all(end_s > WALL_AT_BOOT_S for end_s in ends_s if end_s is not None)


def test_nothing_is_reported_while_no_ledger_and_no_plan_is_kept() -> None:
    dispatcher = overloaded(LoadPolicy()).dispatcher

    assert share_balances(dispatcher) == {}
    assert predicted_end_s(dispatcher, "any") is None


def test_plans_use_the_learned_speeds_of_engines() -> None:
    # Two estimates of the same pace would let the plan count on ends that the placement denies.
    dispatcher = OverloadSystem(LoadPolicy(shares=True, speeds=True)).dispatcher

    assert dispatcher.plans.event_s == dispatcher.speed_policy.speeds.event_s
