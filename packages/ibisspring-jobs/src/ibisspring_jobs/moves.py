"""
Selects runs that move from slow engines to others.

A moved run is stopped by its runner, and its item continues at the other engine after the last
event that the run produced.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.placement import TOKENS_PER_EVENT
from ibisspring_decisions.stragglers import MIN_REMAINING_EVENTS, MovableRun, choose_moves

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.items import Items
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobsState
    from ibisspring_jobs.surroundings import DispatchContext

# Seconds that a run must have lasted before it may move to another engine. Its first events show
# nothing about the speed of the engine, and an item that has just moved is not moved again.
MIN_RUN_BEFORE_MOVE_S = 0.4


def runs_to_move(
    state: JobsState,
    context: DispatchContext,
    engines: Engines,
    items: Items,
    runs: Sequence[Run],
    now: float,
) -> list[Run]:
    """
    Select the runs on engines much slower than the median that other engines have slots for.

    :param runs: all runs in progress.
    :param now: seconds since boot.
    :return: the runs to move; empty while no engine is slow.
    """
    slow = engines.paces.slow()
    if not slow:
        return []
    run_by_number = {run.number: run for run in runs}
    runs_on_slow = [run for run in runs if run.endpoint in slow and not run.scoring]
    job_by_id = {run.job: state.job_by_id[run.job].job for run in runs_on_slow}
    allowed_by_job = {job_id: engines.allowed(job, now) for job_id, job in job_by_id.items()}
    selected = []
    for service in {job.service for job in job_by_id.values()}:
        waiting = sum(1 for _ in items.waiting(service, engines, now))
        capacities = engines.free_capacities(service, context.serving(service), runs, now)
        free_by_engine = {capacity.engine: max(0, capacity.free_slots) for capacity in capacities}
        movable = [
            MovableRun(
                run.number, run.endpoint, _remaining_events(items, run), allowed_by_job[run.job]
            )
            for run in runs_on_slow
            if run.endpoint in free_by_engine
            and not run.moved
            and now - run.started_at > MIN_RUN_BEFORE_MOVE_S
        ]
        moves = choose_moves(movable, slow, free_by_engine, waiting)
        selected.extend(run_by_number[number] for number in moves)
    return selected


def _remaining_events(items: Items, run: Run) -> float:
    """
    Estimate the events that a run still has to produce.

    :return: the expected number of events of the text minus those produced so far, and at least
        MIN_REMAINING_EVENTS; 0.0 if the item's result is listed or the job has ended.
    """
    item = items.item_of(run)
    if item is None:
        return 0.0
    produced = run.resume_after + run.events
    return max(item.expected_tokens / TOKENS_PER_EVENT - produced, MIN_REMAINING_EVENTS)


__all__ = ["runs_to_move"]
