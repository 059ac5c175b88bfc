"""
The order of the items of each service by the plan of their groups, on the leader of the jobs' log.

A plan is computed anew from the items without a listed result, the runs and the engines' paces. As
this takes some time for each group, a plan is used for PLAN_EVERY_S seconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eliot

from ibisspring_decisions.group_order import GroupPlan, GroupTier, GroupWork, plan_groups
from ibisspring_jobs.group_work import GroupWorks, OpenGroup, events_left
from ibisspring_jobs.items import ItemOrder
from ibisspring_jobs.run_paces import DEFAULT_EVENT_S, RunPaces

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from ibisspring_decisions.group_order import GroupKey, PlannedGroup
    from ibisspring_jobs.engine_time import EngineTime
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.items import Items
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobRecord
    from ibisspring_jobs.surroundings import DispatchContext

# Seconds for which a plan is used while the jobs stay the same.
PLAN_EVERY_S = 0.25
# Shortest time between two plans of a service. The items of a job that arrives meanwhile come after
# the planned ones.
MIN_PLAN_INTERVAL_S = 0.05
# Seconds without overload after which an overload is reported as ended.
OVERLOAD_END_S = 2.0


@dataclass(frozen=True)
class ServicePlan:
    """
    A plan with what it was computed from.

    :param records: the jobs whose groups are in the plan.
    :param order: their ids, and the order of their items.
    :param work_by_key: the work of each group.
    :param planned_by_key: the place of each group.
    :param slots: number of slots of all engines.
    :param event_s_by_engine: seconds per event of each engine's runs.
    :param made_at: seconds since boot.
    """

    records: tuple[JobRecord, ...]
    order: ItemOrder
    plan: GroupPlan
    work_by_key: Mapping[GroupKey, GroupWork]
    planned_by_key: Mapping[GroupKey, PlannedGroup]
    slots: int
    event_s_by_engine: Mapping[str, float]
    made_at: float


class GroupPlans:
    """
    The plans of all services, during one epoch of the dispatcher.

    :param run_by_number: the runs in progress.
    :param event_s: returns the seconds per event on an engine that runs a number of items; by
        default the recent pace of its runs.
    """

    def __init__(
        self,
        context: DispatchContext,
        engines: Engines,
        items: Items,
        engine_time: EngineTime,
        run_by_number: Mapping[int, Run],
        event_s: Callable[[str, int], float] | None = None,
    ) -> None:
        self._context = context
        self._engines = engines
        self._items = items
        self._engine_time = engine_time
        self._run_by_number = run_by_number
        self._paces = RunPaces()
        self.event_s = event_s or self._paces.event_s
        self._works = GroupWorks(items)
        self._plan_by_service: dict[str, ServicePlan] = {}
        self._overloaded_at_by_service: dict[str, float] = {}

    def item_order(self, service: str, jobs: Sequence[JobRecord], now: float) -> ItemOrder:
        """Return the order of the items of a service's open jobs."""
        return self.plan(service, jobs, now).order

    def plan(self, service: str, jobs: Sequence[JobRecord], now: float) -> ServicePlan:
        """
        Return the plan of a service's groups.

        :param jobs: the open jobs of the service.
        :param now: seconds since boot.
        """
        known = self._plan_by_service.get(service)
        if known is not None:
            age_s = now - known.made_at
            limit_s = PLAN_EVERY_S
            if known.order.jobs != frozenset(job_record.job.job for job_record in jobs):
                limit_s = MIN_PLAN_INTERVAL_S
            if 0.0 <= age_s < limit_s:
                return known
        made = self._make_plan(service, jobs, now)
        self._plan_by_service[service] = made
        self._note_overload(service, made, now)
        return made

    def predicted_end_s(self, job: str) -> float | None:
        """
        Return the predicted time at which the last wanted group of a job is whole.

        :return: wall-clock time in seconds since 1970; None for a job without open wanted groups
            in the last plan.
        """
        ends_s = [
            planned.end_s
            for made in self._plan_by_service.values()
            for planned in made.plan.groups
            if planned.key[0] == job and planned.tier is not GroupTier.SURPLUS
        ]
        return max(ends_s, default=None)

    def groups_of(
        self, jobs: Sequence[JobRecord], event_s_of: Callable[[str], float], waiting_event_s: float
    ) -> tuple[list[GroupWork], dict[GroupKey, OpenGroup]]:
        """Return the work and the items of all open groups of the given jobs."""
        run_by_key = {
            (run.job, run.item): run for run in self._run_by_number.values() if not run.scoring
        }
        works: list[GroupWork] = []
        group_by_key: dict[GroupKey, OpenGroup] = {}
        for job_record in jobs:
            groups = self._works.open_groups(job_record, run_by_key, event_s_of, waiting_event_s)
            works.extend(self._works.works(job_record, groups))
            group_by_key.update((group.key, group) for group in groups)
        return works, group_by_key

    def _make_plan(self, service: str, jobs: Sequence[JobRecord], now: float) -> ServicePlan:
        runs = self._run_by_number.values()
        self._paces.observe(runs, now)
        capacities = self._engines.free_capacities(
            service, self._context.serving(service), runs, now
        )
        event_s_by_engine = {
            capacity.engine: self.event_s(capacity.engine, max(1, capacity.running))
            for capacity in capacities
        }
        slots_by_engine = {
            capacity.engine: max(0, capacity.free_slots) + capacity.running
            for capacity in capacities
        }
        slots = sum(slots_by_engine.values())
        waiting_event_s = _mean_event_s(event_s_by_engine, slots_by_engine)

        def event_s_of(engine: str) -> float:
            return event_s_by_engine.get(engine, waiting_event_s)

        works, group_by_key = self.groups_of(jobs, event_s_of, waiting_event_s)
        job_by_id = {job_record.job.job: job_record for job_record in jobs}
        self._works.forget_other_jobs(self._known_jobs(service, job_by_id))
        wall_s = self._context.wall_s()
        active = {job_record.job.client_account for job_record in jobs}
        plan = plan_groups(
            works,
            slots,
            wall_s,
            self._engine_time.ledger(service).standings(active, wall_s),
            self._busy_s(event_s_by_engine),
        )
        items = None
        if not plan.by_rank:
            items = tuple(
                (planned.key[0], item)
                for planned in plan.groups
                for item in sorted(
                    group_by_key[planned.key].items,
                    key=lambda item: (-item.expected_tokens, item.item),
                )
            )
        return ServicePlan(
            tuple(jobs),
            ItemOrder(frozenset(job_by_id), items),
            plan,
            {work.key: work for work in works},
            {planned.key: planned for planned in plan.groups},
            slots,
            event_s_by_engine,
            now,
        )

    def _known_jobs(self, service: str, job_by_id: Mapping[str, JobRecord]) -> frozenset[str]:
        elsewhere = [
            plan.order.jobs for name, plan in self._plan_by_service.items() if name != service
        ]
        return frozenset(job_by_id).union(*elsewhere)

    def _busy_s(self, event_s_by_engine: Mapping[str, float]) -> list[float]:
        """Return the seconds until each slot is free that no run is being stopped on."""
        busy_s = []
        for run in self._run_by_number.values():
            if run.scoring or run.moved or run.endpoint not in event_s_by_engine:
                continue
            item = self._items.item_of(run)
            if item is not None:
                left = events_left(item, run.resume_after + run.events)
                busy_s.append(left * event_s_by_engine[run.endpoint])
        return busy_s

    def replan_if(self, service: str, now: float, accept: Callable[[ServicePlan], bool]) -> bool:
        """
        Compute the plan of a service's groups anew, and use it if it is accepted.

        :param accept: decides on the new plan.
        """
        known = self._plan_by_service[service]
        tried = self._make_plan(service, known.records, now)
        if not accept(tried):
            return False
        self._plan_by_service[service] = tried
        return True

    def _note_overload(self, service: str, made: ServicePlan, now: float) -> None:
        """Log the begin of an overload with the accounts' shares."""
        if not made.plan.overloaded:
            return
        if service not in self._overloaded_at_by_service:
            self._context.counters.add("dispatch.overload_began")
            self._log_overload(service, made, "began")
        self._overloaded_at_by_service[service] = now

    def end_overloads(self, now: float) -> None:
        """
        Log the end of the overloads that no plan has shown for OVERLOAD_END_S seconds.

        :param now: seconds since boot.
        """
        for service, overloaded_at in tuple(self._overloaded_at_by_service.items()):
            if now - overloaded_at >= OVERLOAD_END_S:
                del self._overloaded_at_by_service[service]
                self._log_overload(service, self._plan_by_service[service], "ended")

    def _log_overload(self, service: str, made: ServicePlan, change: str) -> None:
        tiers = Counter(planned.tier for planned in made.plan.groups)
        eliot.log_message(
            "dispatch:overload",
            change=change,
            service=service,
            slots=made.slots,
            remaining_s=round(sum(work.remaining_s for work in made.work_by_key.values()), 1),
            in_time=tiers[GroupTier.IN_TIME],
            late=tiers[GroupTier.LATE],
            surplus=tiers[GroupTier.SURPLUS],
            used_s_by_account={
                share.client_account: share.used_s for share in self._engine_time.shares(service)
            },
            owed_s_by_account={
                share.client_account: round(share.owed_s - share.lent_s, 3)
                for share in self._engine_time.shares(service)
            },
        )


def _mean_event_s(
    event_s_by_engine: Mapping[str, float], slots_by_engine: Mapping[str, int]
) -> float:
    """Return the seconds per event of a slot, as the mean of the slots' rates gives them."""
    rate = sum(slots / event_s_by_engine[engine] for engine, slots in slots_by_engine.items())
    return sum(slots_by_engine.values()) / rate if rate else DEFAULT_EVENT_S


__all__ = ["GroupPlans", "ServicePlan"]
