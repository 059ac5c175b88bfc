"""The load of each service, as the leader of the jobs' log needs it for the admission of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.engine_room import FurtherSlots
from ibisspring_decisions.fleet_growth import GrowthWatch
from ibisspring_decisions.fleet_size import (
    FleetLimit,
    PlatformOffer,
    limit_beside,
    most_further_endpoints,
    wanted_count,
)
from ibisspring_decisions.job_admission import EngineUse
from ibisspring_jobs.engines import slot_count
from ibisspring_jobs.item_durations import ItemDurations
from ibisspring_jobs.open_work import group_works

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_core.directory_view import DirectoryView
    from ibisspring_core.messages.jobs import Job, JobItem, Outcome
    from ibisspring_core.routes.model import ServiceTerms
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_decisions.group_order import GroupWork
    from ibisspring_jobs.dispatcher import Dispatcher
    from ibisspring_jobs.state import JobRecord, JobsState


class ServiceLoad:
    """
    The load of each service: open work, used slots, and what orders can still add.

    It is in the leader's memory only: a new leader counts on the growth of the fleet again, and
    estimates nothing before it has seen some items end.
    """

    def __init__(self, settings: VmSettings, state: JobsState, view: DirectoryView) -> None:
        self.durations = ItemDurations()
        self._state = state
        self._view = view
        self._shares = settings.policy.shares
        self._limit = FleetLimit.from_policy(
            settings.policy.most_engines, settings.policy.most_price
        )
        self._growth_by_service: dict[str, GrowthWatch] = {}

    def watch_growth(self, peak_by_service: Mapping[str, int], now: float) -> None:
        """
        Compare the fleets with the demand.

        :param peak_by_service: recent maximum of open items, from which the fleets' sizes follow.
        :param now: seconds since boot.
        """
        for service, peak in peak_by_service.items():
            terms = self._terms(service)
            if terms is None or terms.scaling is None:
                continue
            growth = self._growth_by_service.setdefault(service, GrowthWatch())
            wanted = wanted_count(0, peak, terms.capacity)
            growth.update(len(self._view.serving(service)), wanted, now)

    def run_reported(self, dispatcher: Dispatcher, outcome: Outcome, now: float) -> None:
        """
        Learn from a runner's report how long an item occupied its slot.

        :param outcome: the report, before the dispatcher has processed it.
        :param now: seconds since boot.
        """
        run = dispatcher.run_by_number.get(outcome.number)
        if run is None or run.scoring or not (outcome.whole or outcome.kind == "done"):
            return
        # Of runs that continue a text or began in an earlier epoch only a part is known.
        if run.resume_after or run.adopted:
            return
        job_record = self._state.job_by_id.get(run.job)
        item = job_record.item_by_id.get(run.item) if job_record is not None else None
        if item is not None:
            events = outcome.after + outcome.events
            self.durations.observe(
                job_record.job.service, item.expected_tokens, events, now - run.started_at
            )

    def works_of_new(self, job: Job) -> tuple[GroupWork, ...] | None:
        """Return the work of a job that is not accepted yet; None before it can be estimated."""

        def remaining_s(item: JobItem) -> float | None:
            return self.durations.remaining_s(job.service, item.expected_tokens, 0)

        return group_works(job, job.items, remaining_s, wanted_only=self._shares)

    def open_works(self, service: str, dispatcher: Dispatcher) -> tuple[GroupWork, ...]:
        """Return the remaining work of the accepted jobs of a service that are not held."""
        events_by_key = {
            (run.job, run.item): run.resume_after + run.events
            for run in dispatcher.run_by_number.values()
        }
        works: list[GroupWork] = []
        for job_record in self._state.job_by_id.values():
            if job_record.job.service != service or job_record.ended or job_record.held:
                continue
            works.extend(self._works_of(job_record, dispatcher, events_by_key) or ())
        return tuple(works)

    def _works_of(
        self,
        job_record: JobRecord,
        dispatcher: Dispatcher,
        events_by_key: Mapping[tuple[str, str], int],
    ) -> tuple[GroupWork, ...] | None:
        job = job_record.job

        def remaining_s(item: JobItem) -> float | None:
            key = (job.job, item.item)
            if key in dispatcher.items.unscored:
                return 0.0
            parts = job_record.parts_by_item.get(item.item)
            stored = parts[-1].after + parts[-1].events if parts else 0
            events = max(stored, events_by_key.get(key, 0))
            return self.durations.remaining_s(job.service, item.expected_tokens, events)

        total_groups = len(job_record.groups) if "" not in job_record.groups else 0
        return group_works(
            job,
            job_record.item_by_id.values(),
            remaining_s,
            total_groups,
            job_record.carried,
            self._shares,
        )

    def engine_use(self, service: str, dispatcher: Dispatcher, now: float) -> EngineUse:
        """
        Return how the engines of a service are used, and what orders can still add.

        :param now: seconds since boot.
        """
        terms = self._terms(service)
        records = self._view.serving(service)
        slots = sum(slot_count(record, terms) for record in records)
        engines = {record.endpoint for record in records}
        running = 0
        busy = set(dispatcher.items.unscored)
        for run in dispatcher.run_by_number.values():
            busy.add((run.job, run.item))
            running += not run.scoring and run.endpoint in engines
        waiting = 0
        for job_id, job_record in self._state.job_by_id.items():
            if job_record.job.service == service and not job_record.ended and not job_record.held:
                waiting += sum((job_id, item) not in busy for item in job_record.item_by_id)
        return EngineUse(slots, running, waiting, self._further(service, terms, now))

    def _further(
        self, service: str, terms: ServiceTerms | None, now: float
    ) -> tuple[FurtherSlots, ...]:
        if terms is None or terms.scaling is None or not terms.capacity:
            return ()
        scaling = terms.scaling
        growth = self._growth_by_service.setdefault(service, GrowthWatch())
        serves_at = growth.serves_at(scaling.boot_s, now)
        if serves_at is None:
            return ()
        evacuated = self._view.view.evacuated
        count_by_data_centre: dict[str, int] = {}
        for record in self._view.serving(service):
            count = count_by_data_centre.get(record.data_centre, 0)
            count_by_data_centre[record.data_centre] = count + 1
        prices = {
            name: price
            for name, price in scaling.price_by_data_centre.items()
            if name not in evacuated
        }
        offer = PlatformOffer(scaling.most, scaling.boot_s, prices)
        elsewhere = {
            name: count for name, count in count_by_data_centre.items() if name not in prices
        }
        limit = limit_beside(self._limit, elsewhere, scaling.price_by_data_centre)
        engines = most_further_endpoints(offer, count_by_data_centre, limit)
        from_s = self._view.wall_s() + serves_at - now
        return (FurtherSlots(from_s, engines * terms.capacity),) if engines else ()

    def _terms(self, service: str) -> ServiceTerms | None:
        index = self._view.index
        return index.service_by_name.get(service) if index is not None else None


__all__ = ["ServiceLoad"]
