"""
Selects runs that another engine ends sooner, by the predicted ends of texts.

A moved run is stopped by its runner, and its item continues in a reserved slot of the other engine,
after the last event that the run produced.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.engine_speed import EngineState
from ibisspring_decisions.stragglers import (
    MOVE_REST_S,
    ForecastRun,
    FreeEngine,
    Move,
    MoveBudget,
    choose_gainful_moves,
)
from ibisspring_jobs.forecasts import ends_in_s, remaining_events_of
from ibisspring_jobs.moves import MIN_RUN_BEFORE_MOVE_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisspring_decisions.engine_speed import LearnedSpeeds
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.items import ItemKey
    from ibisspring_jobs.reservations import ReservedSlots
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobsState
    from ibisspring_jobs.surroundings import DispatchContext


class PredictedMoves:
    """Chooses moves within a budget; an item that has moved rests for MOVE_REST_S seconds."""

    def __init__(
        self,
        state: JobsState,
        context: DispatchContext,
        engines: Engines,
        speeds: LearnedSpeeds,
        reserved: ReservedSlots,
    ) -> None:
        self._state = state
        self._context = context
        self._engines = engines
        self._speeds = speeds
        self._reserved = reserved
        self._budget = MoveBudget()
        self._moved_at_by_key: dict[ItemKey, float] = {}

    def choose(self, runs: Sequence[Run], now: float) -> list[tuple[Run, Move]]:
        """
        Choose the runs that move now, and reserve their slots.

        :param runs: all runs in progress.
        :param now: seconds since boot.
        """
        left = self._budget.left(len(runs), now)
        if left <= 0:
            return []
        for key in [key for key, at in self._moved_at_by_key.items() if now - at > MOVE_REST_S]:
            del self._moved_at_by_key[key]
        movable = self._movable_by_service(runs, now)
        run_by_number = {run.number: run for run in runs}
        chosen = []
        for service, forecasts in movable.items():
            if not any(run.reason() for run in forecasts):
                continue
            free = self._free_engines(service, runs, now)
            for move in choose_gainful_moves(forecasts, free, left - len(chosen)):
                run = run_by_number[move.number]
                key = (run.job, run.item)
                self._moved_at_by_key[key] = now
                self._reserved.reserve(key, move.engine, now)
                self._budget.spend(now)
                chosen.append((run, move))
        return chosen

    def _movable_by_service(self, runs: Sequence[Run], now: float) -> dict[str, list[ForecastRun]]:
        wall_s = self._context.wall_s()
        allowed_by_job: dict[str, frozenset[str]] = {}
        movable: dict[str, list[ForecastRun]] = {}
        for run in runs:
            if (
                run.scoring
                or run.moved
                or now - run.started_at <= MIN_RUN_BEFORE_MOVE_S
                or (run.job, run.item) in self._moved_at_by_key
            ):
                continue
            job_record = self._state.job_by_id.get(run.job)
            if job_record is None or run.item not in job_record.item_by_id or job_record.held:
                # The item of a held job would not start again.
                continue
            job = job_record.job
            if run.job not in allowed_by_job:
                allowed_by_job[run.job] = self._engines.allowed(job, now)
            forecast = ForecastRun(
                number=run.number,
                engine=run.endpoint,
                degraded=self._speeds.state(run.endpoint) is EngineState.DEGRADED,
                remaining_events=remaining_events_of(run),
                ends_in_s=ends_in_s(run, now),
                due_in_s=job.submitted_s + job.due_s - wall_s,
                engines=allowed_by_job[run.job],
            )
            movable.setdefault(job.service, []).append(forecast)
        return movable

    def _free_engines(self, service: str, runs: Sequence[Run], now: float) -> list[FreeEngine]:
        records = self._context.serving(service)
        reserved = list(self._reserved.engine_by_key(now).values())
        return [
            FreeEngine(
                capacity.engine,
                capacity.free_slots - reserved.count(capacity.engine),
                self._speeds.expected_event_s(capacity.engine, capacity.running + 1),
            )
            for capacity in self._engines.free_capacities(service, records, runs, now)
            if self._speeds.state(capacity.engine) is EngineState.NORMAL
        ]


__all__ = ["PredictedMoves"]
