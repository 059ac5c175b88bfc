"""
Places waiting items by the predicted ends of texts, on engines whose speeds are learned.

The predictions follow the callers' estimates, the numbers of events that runners report, and the
learned speeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.dispatch import Placement
from ibisspring_decisions.placement import (
    MAX_HELD_S,
    EngineForecast,
    place_by_end,
    remaining_events,
)
from ibisspring_jobs.forecasts import ends_in_s, expected_events_of
from ibisspring_jobs.reservations import ReservedSlots

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_decisions.dispatch import EngineCapacity, WaitingItem
    from ibisspring_decisions.engine_speed import LearnedSpeeds
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.items import ItemKey, Items
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobsState


class PredictedPlacement:
    """
    Places items of the open jobs.

    :param reserved: slots that wait for runs which move to them.
    """

    def __init__(
        self,
        state: JobsState,
        items: Items,
        engines: Engines,
        speeds: LearnedSpeeds,
        counters: Counters,
    ) -> None:
        self.reserved = ReservedSlots()
        self._state = state
        self._items = items
        self._engines = engines
        self._speeds = speeds
        self._counters = counters
        self._held_since: dict[ItemKey, float] = {}
        self._registered_services: set[str] = set()

    def place(
        self,
        service: str,
        record_by_engine: Mapping[str, EndpointRecord],
        runs: Iterable[Run],
        now: float,
    ) -> Iterable[Placement]:
        """
        Place waiting items of a service.

        :param runs: all runs in progress.
        :param now: seconds since boot.
        """
        records = record_by_engine.values()
        if service not in self._registered_services:
            # The first decision of an epoch may come before the first check of the leader.
            self._registered_services.add(service)
            self._engines.register_starts(service, now)
        capacities = self._engines.free_capacities(service, records, runs, now)
        placements = self._place_moved(capacities, now)
        waiting = self._items.waiting(service, self._engines, now)
        if placements:
            placed_keys = {placement.key for placement in placements}
            waiting = (item for item in waiting if item.key not in placed_keys)

        def may_wait(item: WaitingItem) -> bool:
            return now - self._held_since.get(item.key, now) < MAX_HELD_S

        forecasts = self._forecasts(capacities, runs, now)
        placed = place_by_end(waiting, forecasts, self._remaining, may_wait)
        self._count_held(placed.held_back, placed.placements, now)
        return (*placements, *placed.placements)

    def _place_moved(self, capacities: Sequence[EngineCapacity], now: float) -> list[Placement]:
        """Place the items whose runs moved, each in its reserved slot; keep the others' slots."""
        if not self.reserved.engine_by_key(now):
            return []
        capacity_by_engine = {capacity.engine: capacity for capacity in capacities}
        placements = []
        for key, engine in self.reserved.engine_by_key(now).items():
            capacity = capacity_by_engine.get(engine)
            if capacity is None or capacity.free_slots <= 0:
                continue
            job_record = self._state.job_by_id.get(key[0])
            if (
                job_record is None
                or job_record.ended
                or job_record.held
                or key[1] not in job_record.item_by_id
            ):
                self.reserved.release(key)
                continue
            if self._items.is_busy(key):
                capacity.free_slots -= 1
                continue
            self.reserved.release(key)
            if engine not in self._engines.allowed(job_record.job, now):
                continue
            item = job_record.item_by_id[key[1]]
            produced = self._items.progress_of(key).events
            remaining = remaining_events(expected_events_of(item), produced)
            event_s = self._speeds.expected_event_s(engine, capacity.running + 1)
            placements.append(Placement(key, engine, remaining * event_s))
            capacity.free_slots -= 1
            capacity.running += 1
        return placements

    def _forecasts(
        self, capacities: Sequence[EngineCapacity], runs: Iterable[Run], now: float
    ) -> list[EngineForecast]:
        def forecast(capacity: EngineCapacity) -> EngineForecast:
            engine = capacity.engine

            def event_s(running: int) -> float:
                return self._speeds.expected_event_s(engine, running)

            def ends() -> list[float]:
                own = (run for run in runs if run.endpoint == engine and not run.scoring)
                return [ends_in_s(run, now) for run in own]

            return EngineForecast(capacity, event_s, ends)

        return [forecast(capacity) for capacity in capacities]

    def _remaining(self, item: WaitingItem) -> float:
        job_item = self._state.job_by_id[item.key[0]].item_by_id[item.key[1]]
        return remaining_events(
            expected_events_of(job_item), self._items.progress_of(item.key).events
        )

    def _count_held(
        self, held: Iterable[ItemKey], placements: Iterable[Placement], now: float
    ) -> None:
        for placement in placements:
            since = self._held_since.pop(placement.key, None)
            if since is not None:
                self._counters.observe("placement_held_seconds", now - since, "placed")
        for key in held:
            if key not in self._held_since:
                self._held_since[key] = now
                self._counters.add("placement.held_back")

    def remove_finished(self, job: str) -> None:
        """Forget the held items of a job that ended or whose items have results."""
        job_record = self._state.job_by_id.get(job)
        open_items = job_record.item_by_id if job_record is not None else {}
        for key in [key for key in self._held_since if key[0] == job and key[1] not in open_items]:
            del self._held_since[key]


__all__ = ["PredictedPlacement"]
