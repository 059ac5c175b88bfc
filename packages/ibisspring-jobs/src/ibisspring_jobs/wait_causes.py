"""
Why items of a job wait: it is held, no engine may run it, or slots are taken by other items.

The functions only read the dispatcher; they are used for operators and logs, not for decisions.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.messages.job_control import WaitCause

if TYPE_CHECKING:
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_jobs.dispatcher import Dispatcher
    from ibisspring_jobs.state import JobRecord
    from ibisspring_jobs.surroundings import DispatchContext

HELD = "held"
ADOPTING_RUNS = "adopting_runs"
NO_RUNNER = "no_runner"
NO_ENGINE = "no_engine"
ENGINE_LOADING = "engine_loading"
ENGINE_OLD_VERSION = "engine_old_version"
ENGINE_OUTSIDE_REGIONS = "engine_outside_regions"
ENGINE_PAUSED = "engine_paused"
NO_FREE_SLOT = "no_free_slot"
OTHER_GROUPS_FIRST = "other_groups_first"
RETRY_DELAY = "retry_delay"


@dataclass(frozen=True)
class ItemCounts:
    """
    The items of a job without a listed result.

    :param running: number of items that run, or whose result is being committed.
    :param waiting: number of the others.
    """

    running: int
    waiting: int


def count_items(dispatcher: Dispatcher, job_record: JobRecord) -> ItemCounts:
    """Count the items of a job that run and those that wait."""
    items = dispatcher.items
    job = job_record.job.job
    run_items = {run.item for run in dispatcher.run_by_number.values() if run.job == job}
    running = sum(
        item in run_items or (job, item) in items.committing for item in job_record.item_by_id
    )
    return ItemCounts(running, len(job_record.item_by_id) - running)


def wait_causes(
    dispatcher: Dispatcher, context: DispatchContext, job_record: JobRecord, now: float
) -> tuple[WaitCause, ...]:
    """
    Return why items of a job wait, the cause that hides the others first.

    :param job_record: a job that has waiting items.
    :param now: seconds since boot.
    :return: empty if the items are about to start.
    """
    if job_record.held:
        return (WaitCause(HELD),)
    if dispatcher.adoption.is_open(now):
        return (WaitCause(ADOPTING_RUNS),)
    if not _has_runner(dispatcher, context, job_record, now):
        return (WaitCause(NO_RUNNER),)
    records = context.serving(job_record.job.service)
    allowed = dispatcher.engines.allowed(job_record.job, now)
    excluded = _excluded_engines(context, job_record, records, allowed)
    if not allowed:
        return excluded or (WaitCause(NO_ENGINE),)
    usable = [record for record in records if record.endpoint in allowed]
    if not _has_free_slot(dispatcher, job_record, usable, now):
        return (*_taken_slots(dispatcher, job_record, usable), *excluded)
    if _all_delayed(dispatcher, job_record, now):
        return (WaitCause(RETRY_DELAY),)
    return ()


def _has_runner(
    dispatcher: Dispatcher, context: DispatchContext, job_record: JobRecord, now: float
) -> bool:
    return any(
        runner.is_available(now)
        and runner.free_slots > 0
        and context.is_in_regions(runner.data_centre, job_record.job.regions)
        for runner in dispatcher.runners.runner_by_address.values()
    )


def _excluded_engines(
    context: DispatchContext,
    job_record: JobRecord,
    records: tuple[EndpointRecord, ...],
    allowed: frozenset[str],
) -> tuple[WaitCause, ...]:
    """Count the engines that may not run a job, by reason; the other ones are allowed."""
    job = job_record.job
    engines_by_reason: Counter[str] = Counter()
    for record in records:
        if record.endpoint in allowed:
            continue
        version = record.version_by_adapter.get(job.model)
        if not context.is_in_regions(record.data_centre, job.regions):
            reason = ENGINE_OUTSIDE_REGIONS
        elif context.is_loading(record.endpoint, job.model):
            reason = ENGINE_LOADING
        elif version is not None and version < job.min_version:
            reason = ENGINE_OLD_VERSION
        else:
            reason = ENGINE_PAUSED
        engines_by_reason[reason] += 1
    return tuple(WaitCause(reason, count) for reason, count in sorted(engines_by_reason.items()))


def _has_free_slot(
    dispatcher: Dispatcher, job_record: JobRecord, records: list[EndpointRecord], now: float
) -> bool:
    runs = dispatcher.run_by_number.values()
    service = job_record.job.service
    capacities = dispatcher.engines.free_capacities(service, records, runs, now)
    return any(capacity.free_slots > 0 for capacity in capacities)


def _taken_slots(
    dispatcher: Dispatcher, job_record: JobRecord, records: list[EndpointRecord]
) -> tuple[WaitCause, ...]:
    engines = {record.endpoint for record in records}
    by_others = {
        run.endpoint
        for run in dispatcher.run_by_number.values()
        if run.endpoint in engines and run.job != job_record.job.job and not run.scoring
    }
    causes = [WaitCause(NO_FREE_SLOT, len(engines))]
    if by_others:
        causes.append(WaitCause(OTHER_GROUPS_FIRST, len(by_others)))
    return tuple(causes)


def _all_delayed(dispatcher: Dispatcher, job_record: JobRecord, now: float) -> bool:
    """Whether each waiting item waits for the delay after a failed run."""
    items = dispatcher.items
    job = job_record.job.job
    waiting = [item for item in job_record.item_by_id if not items.is_busy((job, item))]
    return bool(waiting) and all(
        now < items.progress_of((job, item)).not_before_s for item in waiting
    )


__all__ = [
    "ADOPTING_RUNS",
    "ENGINE_LOADING",
    "ENGINE_OLD_VERSION",
    "ENGINE_OUTSIDE_REGIONS",
    "ENGINE_PAUSED",
    "HELD",
    "NO_ENGINE",
    "NO_FREE_SLOT",
    "NO_RUNNER",
    "OTHER_GROUPS_FIRST",
    "RETRY_DELAY",
    "ItemCounts",
    "count_items",
    "wait_causes",
]
