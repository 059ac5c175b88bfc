"""Tests of the order of groups under overload; see `overload_load` for the replayed load."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from unit.decisions.overload_load import (
    LoadVariant,
    by_account,
    by_due_time,
    by_plan,
    by_plan_without_shares,
    replay,
)

from ibisspring_decisions import group_order
from ibisspring_decisions.account_shares import FLOOR_PART, AccountLedger, AccountStanding
from ibisspring_decisions.dispatch import WaitingItem, rank_of
from ibisspring_decisions.group_order import (
    GroupPlan,
    GroupTier,
    GroupWork,
    plan_groups,
)

IN_TIME_PART_OF_ROOM = 0.9
MIN_FAIRNESS = 0.95


def work(name: str, **changed: object) -> GroupWork:
    """Return a group of eight waiting items of a second each, due in ten seconds."""
    job, group = name.split("/")
    base = GroupWork((job, group), "training", 0, 10.0, False, 100, 8.0, 1.0)
    return replace(base, **changed)  # type: ignore[arg-type]


def tier_by_name(plan: GroupPlan) -> dict[str, GroupTier]:
    """Return the tier of each group, in plan order."""
    return {"/".join(planned.key): planned.tier for planned in plan.groups}


@pytest.mark.parametrize("load", [1.2, 1.6, 2.5])
@pytest.mark.parametrize("variant", [LoadVariant(), LoadVariant(0.3), LoadVariant(0.0, 0.5)])
def test_overload_leaves_most_of_the_room_to_groups_in_time(
    load: float, variant: LoadVariant
) -> None:
    """Earliest deadline first alone spends the slots on groups that end just too late."""
    outcome = replay(by_plan, load, 1, variant)
    assert outcome.in_time_part() >= IN_TIME_PART_OF_ROOM / load
    assert outcome.fairness(load) > MIN_FAIRNESS
    assert outcome.idle_while_waiting == 0
    assert replay(by_due_time, load, 1, variant).in_time_part() < outcome.in_time_part()


@pytest.mark.parametrize("load", [1.2, 1.6])
def test_account_below_its_share_is_served_whole(load: float) -> None:
    """An account that asks for 15% must not pay for one that asks for 70%."""
    outcome = replay(by_plan, load, 1)
    in_time = outcome.in_time_by_account()
    assert min(in_time["left"], in_time["right"]) == 1.0


def test_shares_alone_finish_no_group_of_the_large_account() -> None:
    """Fair queueing alone keeps the shares, but all groups of the large account come late."""
    alone = replay(by_account, 1.6, 1)
    assert alone.fairness(1.6) < MIN_FAIRNESS
    assert alone.in_time_part() < IN_TIME_PART_OF_ROOM / 1.6


def test_overload_test_alone_favours_short_groups(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without shares, the account with the shortest groups takes the time of the others."""
    variant = LoadVariant(0.0, 0.5)
    shared = replay(by_plan, 1.6, 1, variant).in_time_by_account()
    monkeypatch.setattr(group_order, "SHARE_EXPONENT", 0)
    blind = replay(by_plan_without_shares, 1.6, 1, variant)
    assert blind.fairness(1.6) < MIN_FAIRNESS
    in_time = blind.in_time_by_account()
    assert max(in_time["left"], in_time["right"]) < min(shared["left"], shared["right"]) / 2


def test_load_below_the_room_is_served_as_by_due_time() -> None:
    """The overload test must not cost groups while the slots suffice."""
    outcome = replay(by_plan, 0.9, 1)
    assert outcome.in_time_part() >= 0.9
    assert outcome.fairness(0.9) > MIN_FAIRNESS


def test_group_with_most_work_leaves_the_first_tier() -> None:
    """Two groups fit until they are due if the large one goes, and only one if it stays."""
    works = [
        work("a/large", remaining_s=16.0, longest_s=2.0),
        work("b/small", remaining_s=8.0, due_s=10.5),
        work("c/small", remaining_s=8.0, due_s=10.5),
    ]
    plan = plan_groups(works, 2, 0.0)
    assert plan.overloaded
    assert tier_by_name(plan) == {
        "b/small": GroupTier.IN_TIME,
        "c/small": GroupTier.IN_TIME,
        "a/large": GroupTier.LATE,
    }


def test_account_above_its_share_gives_way() -> None:
    """Of two equal groups, that of the account which has used more leaves the first tier."""
    works = [work("a/1", client_account="used"), work("b/1", client_account="idle")]
    standings = {"used": AccountStanding(1.0, 50.0), "idle": AccountStanding(1.0, 10.0)}
    assert tier_by_name(plan_groups(works, 1, 0.0, standings))["a/1"] is GroupTier.LATE
    heavy = {**standings, "used": AccountStanding(10.0, 50.0)}
    assert tier_by_name(plan_groups(works, 1, 0.0, heavy))["b/1"] is GroupTier.LATE


def test_groups_beyond_the_wanted_ones_come_last() -> None:
    """A trainer that waits for two of four groups must not lose both to the other two."""
    works = [
        work("a/fresh", wanted=2),
        work("a/begun", wanted=2, remaining_s=4.0, done_share=0.5),
        work("a/carried", wanted=2, carried=True),
        work("a/other", wanted=2),
    ]
    plan = plan_groups(works, 2, 0.0)
    assert [planned.key[1] for planned in plan.groups[:2]] == ["begun", "carried"]
    assert {planned.tier for planned in plan.groups[2:]} == {GroupTier.SURPLUS}


def test_carried_groups_are_always_wanted() -> None:
    """A trainer waits for all carried groups, also when they are more than it asked for."""
    works = [work(f"a/{n}", wanted=1, carried=n < 3, due_s=7.0) for n in range(4)]
    plan = plan_groups(works, 2, 0.0)
    surplus = [planned.key[1] for planned in plan.groups if planned.tier is GroupTier.SURPLUS]
    assert surplus == ["3"]


def test_late_group_that_displaces_nobody_keeps_its_place() -> None:
    """A step that is late already still comes first while the others can wait for it."""
    works = [work("late/1", due_s=-1.0), work("next/1", due_s=9.0)]
    plan = plan_groups(works, 2, 0.0)
    assert plan.by_rank
    assert [planned.key[0] for planned in plan.groups] == ["late", "next"]


def test_low_priority_account_reaches_its_floor() -> None:
    """A steady overload of priority 0 must not starve an account of priority 1 for good."""
    ledger = AccountLedger()
    ledger.charge("first", 100.0, 0.0)
    works = [
        *(work(f"high/{n}", client_account="first", due_s=4.0) for n in range(20)),
        *(work(f"low/{n}", client_account="second", priority=1) for n in range(5)),
    ]
    plan = plan_groups(works, 8, 0.0, ledger.standings({"first", "second"}, 0.0))
    assert plan.groups[0].key[0] == "low"
    served_s = FLOOR_PART * 100.0 / 2
    ledger.charge("second", served_s * 1.3, 0.0)
    plan = plan_groups(works, 8, 0.0, ledger.standings({"first", "second"}, 0.0))
    assert plan.groups[0].key[0] == "high"


def test_groups_without_slots_stay_in_the_plan() -> None:
    """A service whose engines are all gone predicts no end and loses no group."""
    plan = plan_groups([work("a/1"), work("b/1")], 0, 0.0)
    assert [planned.end_s for planned in plan.groups] == [float("inf")] * 2


ANY_DUE_S = st.floats(-2.0, 12.0)
# Past, or later than the end of all drawn groups on MANY_SLOTS.
DUE_S_THAT_FIT = st.one_of(st.floats(-2.0, -1.0), st.floats(8.0, 12.0))
MANY_SLOTS = 1000


@st.composite
def group_works(
    draw: st.DrawFn, due_times: st.SearchStrategy[float] = ANY_DUE_S
) -> list[GroupWork]:
    """Return groups of a few jobs, each with one priority, due time and account."""
    works = []
    for job in range(draw(st.integers(1, 4))):
        priority = draw(st.integers(0, 2))
        due_s = draw(due_times)
        account = draw(st.sampled_from(["a", "b", "c"]))
        wanted = draw(st.integers(0, 4))
        for number in range(draw(st.integers(1, 5))):
            waiting_s = draw(st.floats(0.0, 20.0))
            running_s = draw(st.floats(0.0, 5.0))
            works.append(
                GroupWork(
                    (f"job-{job}", f"group-{number}"),
                    account,
                    priority,
                    due_s,
                    draw(st.booleans()),
                    wanted,
                    waiting_s + running_s,
                    min(waiting_s, draw(st.floats(0.0, 5.0))),
                    draw(st.floats(0.0, 1.0)),
                    running_s,
                    running_s,
                )
            )
    return works


STANDINGS = st.dictionaries(
    st.sampled_from(["a", "b", "c"]),
    st.builds(AccountStanding, st.floats(0.1, 10.0), st.floats(0.0, 500.0), st.floats(0.0, 20.0)),
)


@given(
    group_works(),
    st.integers(0, 20),
    STANDINGS,
    st.lists(st.floats(0.0, 5.0), max_size=20),
)
def test_plan_holds_each_group_once(
    works: list[GroupWork],
    slots: int,
    standings: dict[str, AccountStanding],
    busy_s: list[float],
) -> None:
    """A group that is missing from the plan would never start, and its trainer wait for good."""
    plan = plan_groups(works, slots, 0.0, standings, busy_s)
    assert sorted(planned.key for planned in plan.groups) == sorted(work.key for work in works)
    due_s_by_key = {work.key: work.due_s for work in works}
    for planned in plan.groups:
        if planned.tier is GroupTier.IN_TIME:
            assert planned.end_s <= due_s_by_key[planned.key] + 1e-6
    assert plan == plan_groups(list(reversed(works)), slots, 0.0, standings, busy_s)


@given(group_works(DUE_S_THAT_FIT), STANDINGS)
def test_order_is_by_rank_while_all_groups_fit(
    works: list[GroupWork], standings: dict[str, AccountStanding]
) -> None:
    """With enough slots nobody's shares or wanted groups may change the order."""
    plan = plan_groups(works, MANY_SLOTS, 0.0, standings)
    assert plan.by_rank

    def rank(work: GroupWork) -> object:
        item = WaitingItem(
            work.key, work.key, work.due_s, work.priority, work.carried, 0, 0, frozenset()
        )
        return rank_of(item)

    assert [planned.key for planned in plan.groups] == [w.key for w in sorted(works, key=rank)]
