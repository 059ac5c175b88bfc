"""Tests of the dispatcher with shares between client accounts in force."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager

import eliot
import pytest
from unit.jobs.overload_system import SERVICE, STEP_S, OverloadSystem, submit_steps

from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_jobs.engine_time import KEEP_EVERY_S
from ibisspring_jobs.items import ItemOrder

SHARES = LoadPolicy(shares=True)
ACCOUNTS = ("large", "left", "right")


def played(policy: LoadPolicy, load: float, until_s: float = 24.0) -> OverloadSystem:
    """Return the system after an overload of the given size."""
    system = OverloadSystem(policy)
    submit_steps(system, random.Random(1), load, until_s)
    return system


@pytest.mark.parametrize("load", [1.2, 1.6, 2.5])
def test_overloaded_dispatcher_finishes_groups_in_time(load: float) -> None:
    """Without the plan, nearly all groups are late once the load exceeds the slots."""
    system = played(SHARES, load)
    in_time = system.in_time_part(ACCOUNTS, 24.0)
    assert in_time >= 0.9 / load
    assert in_time > played(LoadPolicy(), load).in_time_part(ACCOUNTS, 24.0)
    small = system.in_time_part(("left", "right"), 24.0)
    assert small >= min(1.0, 1.0 / (3 * 0.15 * load)) * 0.9
    system.assert_texts_whole()


def test_no_slot_idles_while_an_item_waits() -> None:
    """Shares and tiers decide the order only; a withheld slot would be lost for all."""
    system = played(SHARES, 1.6)
    assert system.idle_steps == 0


def test_order_is_unchanged_while_the_slots_suffice() -> None:
    """Accounts that compete for nothing must be served as without shares."""
    with_shares, without = played(SHARES, 0.5), played(LoadPolicy(), 0.5)
    assert with_shares.run_starts == without.run_starts


@contextmanager
def eliot_messages() -> Iterator[list[dict]]:
    """Collect the log messages of a block."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    # The first destination of a process receives the messages that were logged before it.
    messages.clear()
    try:
        yield messages
    finally:
        eliot.remove_destination(messages.append)


def used_s_by_account(system: OverloadSystem) -> dict[str, float]:
    """Return the usage of each account as the leader knows it."""
    shares = system.dispatcher.engine_time.shares(SERVICE)
    return {share.client_account: share.used_s for share in shares}


def test_usage_outlives_the_leader() -> None:
    """A new leader that starts from nothing would give a heavy account its share again."""
    system = played(SHARES, 1.6, until_s=12.0)
    before_s = used_s_by_account(system)
    system.change_leader()
    after_s = used_s_by_account(system)
    assert set(after_s) == set(ACCOUNTS)
    assert after_s["large"] > after_s["left"]
    lost_s = sum(before_s.values()) - sum(after_s.values())
    assert lost_s <= system.slots * (KEEP_EVERY_S + 2 * STEP_S)
    system.run_until(20.0)
    system.assert_texts_whole()


def test_usage_is_not_committed_while_nothing_runs() -> None:
    """Commits of an idle system would keep the disks of all stores busy."""
    system = played(SHARES, 0.5, until_s=8.0)
    system.run_until(30.0)
    kept = system.state.usage
    system.run_until(36.0)
    assert system.state.usage is kept


def test_surplus_groups_run_in_idle_slots() -> None:
    """A group that nobody waits for still runs to its end if a slot is free."""
    system = OverloadSystem(SHARES, engines=1)
    system.submit("a", "large", [[20] * 8, [20] * 8, [20] * 8], wanted_groups=1, due_s=3.0)
    system.run_until(9.0)
    assert len(system.whole_at_by_group) == 3


def test_wanted_groups_finish_first() -> None:
    """A trainer waits for some groups; if their items alternate with others, all are late."""
    system = OverloadSystem(SHARES, engines=1)
    groups = [[20] * 8 for _ in range(4)]
    system.submit("a", "large", groups, wanted_groups=2, due_s=5.0)
    system.run_until(5.0)
    assert len(system.whole_at_by_group) == 2


def test_late_step_is_finished_after_those_in_time() -> None:
    """A late answer still serves its trainer, so its items must not wait for good."""
    system = OverloadSystem(SHARES, engines=1)
    system.submit("first", "left", [[20] * 8])
    system.run_until(2.5)
    system.submit("late", "large", [[20] * 8], due_s=1.0, give_up_s=30.0)
    system.submit("next", "left", [[20] * 8], due_s=2.5)
    system.run_until(9.0)
    assert system.whole_at_by_group["next", "g0"] <= 5.0
    assert ("late", "g0") in system.whole_at_by_group


def test_items_of_jobs_without_a_plan_still_start() -> None:
    """A job that arrives just after a plan was made must not wait beside free slots."""

    class OldPlanner:
        def item_order(self, service: str, jobs: object, now: float) -> ItemOrder:
            return ItemOrder(frozenset(), ())

    system = OverloadSystem(SHARES, engines=1)
    system.dispatcher.items.planner = OldPlanner()
    system.submit("a", "large", [[5] * 8])
    system.run_until(0.3)
    assert len(system.dispatcher.run_by_number) == 8


def test_overload_is_logged_once_with_the_shares() -> None:
    """Operators see from the log when accounts competed and who had used how much."""
    with eliot_messages() as messages:
        system = played(SHARES, 1.6, until_s=12.0)
        system.run_until(24.0)
    overloads = [line for line in messages if line.get("message_type") == "dispatch:overload"]
    assert [line["change"] for line in overloads] == ["began", "ended"] * (len(overloads) // 2)
    assert overloads
    assert set(overloads[-1]["used_s_by_account"]) == set(ACCOUNTS)
