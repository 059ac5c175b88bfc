"""
Selects the runs that give their slot to a group which would be late otherwise.

A preempted run is stopped by its runner like a moved one: its last events are reported and
committed, and its item waits until the order of groups lets it continue after them.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import eliot

from ibisspring_decisions.group_order import GroupTier
from ibisspring_decisions.preemption import (
    MAX_PREEMPTIONS_PER_S,
    MIN_RUN_S,
    RunningItem,
    UrgentGroup,
    choose_preempted,
)
from ibisspring_jobs.group_work import events_left, group_id_of
from ibisspring_jobs.moves import TOKENS_PER_EVENT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_decisions.group_order import GroupKey, GroupWork, PlannedGroup
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.group_plans import GroupPlans, ServicePlan
    from ibisspring_jobs.items import ItemKey, Items
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.surroundings import DispatchContext

# Seconds from the order to stop a run until its item could run again elsewhere, without reading.
STOP_AND_START_S = 0.2
# Seconds that an engine takes to read a token of a prompt or a text that it has not cached.
READ_TOKEN_S = 0.00002
# Seconds between two decisions of a service; each may compute several plans.
DECIDE_EVERY_S = 0.25
# Seconds that a group may still wait for a slot before others are stopped for it.
MAX_SPARE_S = 1.0
# Groups that are tried in one decision.
MAX_TRIED_GROUPS = 2


class Preemption:
    """Selects runs to stop, during one epoch of the dispatcher."""

    def __init__(
        self,
        context: DispatchContext,
        engines: Engines,
        items: Items,
        plans: GroupPlans,
        run_by_number: Mapping[int, Run],
    ) -> None:
        self._context = context
        self._engines = engines
        self._items = items
        self._plans = plans
        self._run_by_number = run_by_number
        self._decided_at_by_service: dict[str, float] = {}
        self._preempted_at_by_service: dict[str, deque[float]] = {}
        self._preempted_items: set[ItemKey] = set()

    def select(self, service: str, now: float) -> list[Run]:
        """
        Return the runs of a service that are to stop now; they are marked as moved.

        :param now: seconds since boot.
        """
        if now - self._decided_at_by_service.get(service, float("-inf")) < DECIDE_EVERY_S:
            return []
        self._decided_at_by_service[service] = now
        self._forget_ended_items()
        allowed_by_job = self._items.startable_jobs(service, self._engines, now)
        jobs = self._items.records(allowed_by_job)
        made = self._plans.plan(service, jobs, now)
        budget = self._budget(service, now)
        for work in self._urgent(made)[:MAX_TRIED_GROUPS]:
            group = self._urgent_group(work, allowed_by_job[work.key[0]])
            numbers = choose_preempted(self._candidates(made, work, now), group, budget)
            runs = [self._run_by_number[number] for number in numbers]
            if runs and self._try(service, runs, made, work, now):
                self._record(service, runs, work, now)
                return runs
        return []

    def _urgent(self, made: ServicePlan) -> list[GroupWork]:
        """
        Return the groups that are late but could be in time if their items started now.

        A group that can wait a while is left alone, because a slot may become free by then.
        """
        wall_s = self._context.wall_s()
        urgent = []
        for planned in made.plan.groups:
            work = made.work_by_key[planned.key]
            if planned.tier is not GroupTier.LATE or not work.waiting_s:
                continue
            spare_s = work.due_s - wall_s - STOP_AND_START_S - max(work.longest_s, work.runs_end_s)
            if 0.0 <= spare_s <= MAX_SPARE_S:
                urgent.append(work)
        return urgent

    def _urgent_group(self, work: GroupWork, allowed: frozenset[str]) -> UrgentGroup:
        job_id, group_id = work.key
        items = self._items.records([job_id])[0].item_by_id.values()
        waiting = sum(
            1
            for item in items
            if group_id_of(item) == group_id and not self._items.is_busy((job_id, item.item))
        )
        return UrgentGroup(waiting, work.longest_s, allowed)

    def _candidates(self, made: ServicePlan, urgent: GroupWork, now: float) -> list[RunningItem]:
        candidates = []
        for run in self._run_by_number.values():
            item = self._items.item_of(run)
            event_s = made.event_s_by_engine.get(run.endpoint)
            if run.scoring or run.moved or item is None or event_s is None:
                continue
            key: GroupKey = (run.job, group_id_of(item))
            planned = made.planned_by_key.get(key)
            if planned is None or key == urgent.key:
                continue
            slack_s = self._slack_s(planned, made.work_by_key[key])
            produced = run.resume_after + run.events
            read_tokens = item.prompt_tokens + produced * TOKENS_PER_EVENT
            is_young = now - run.started_at < MIN_RUN_S
            candidates.append(
                RunningItem(
                    number=run.number,
                    engine=run.endpoint,
                    slack_s=slack_s,
                    remaining_s=events_left(item, produced) * event_s,
                    resume_cost_s=STOP_AND_START_S + READ_TOKEN_S * read_tokens,
                    preempted=is_young and (run.job, run.item) in self._preempted_items,
                )
            )
        return candidates

    def _slack_s(self, planned: PlannedGroup, work: GroupWork) -> float:
        """Return the slack of a group; 0.0 if it is late in the plan but could be in time."""
        if planned.tier is GroupTier.SURPLUS:
            return float("inf")
        slack_s = work.due_s - planned.end_s
        shortest_s = max(work.longest_s, work.runs_end_s)
        if slack_s < 0.0 and self._context.wall_s() + shortest_s <= work.due_s:
            return 0.0
        return slack_s

    def _try(
        self, service: str, runs: list[Run], made: ServicePlan, urgent: GroupWork, now: float
    ) -> bool:
        """Mark runs as moved if the plan without them has the group in time and loses none."""
        for run in runs:
            run.moved = True
        if self._plans.replan_if(service, now, lambda tried: _is_better(made, tried, urgent)):
            return True
        for run in runs:
            run.moved = False
        return False

    def _budget(self, service: str, now: float) -> int:
        recent = self._preempted_at_by_service.setdefault(service, deque())
        while recent and now - recent[0] >= 1.0:
            recent.popleft()
        return max(0, MAX_PREEMPTIONS_PER_S - len(recent))

    def _forget_ended_items(self) -> None:
        self._preempted_items = {key for key in self._preempted_items if self._items.is_open(key)}

    def _record(self, service: str, runs: list[Run], urgent: GroupWork, now: float) -> None:
        for run in runs:
            self._preempted_at_by_service[service].append(now)
            self._preempted_items.add((run.job, run.item))
            self._context.counters.add("dispatch.preempted")
        eliot.log_message(
            "dispatch:preempted",
            service=service,
            job=urgent.key[0],
            group=urgent.key[1],
            left_s=round(urgent.due_s - self._context.wall_s(), 3),
            longest_s=round(urgent.longest_s, 3),
            items=[run.item for run in runs],
        )


def _is_better(made: ServicePlan, tried: ServicePlan, urgent: GroupWork) -> bool:
    """Whether a plan has a group in time and all those that another plan has."""
    for key, planned in made.planned_by_key.items():
        if planned.tier is not GroupTier.IN_TIME and key != urgent.key:
            continue
        now_planned = tried.planned_by_key.get(key)
        # A group that is missing has become whole since the earlier plan.
        if now_planned is not None and now_planned.tier is not GroupTier.IN_TIME:
            return False
    return urgent.key in tried.planned_by_key


__all__ = ["Preemption"]
