"""
Applies the outcomes of runs that runners report to the items, their progress and the engines.

An outcome is the end of a run, or a part of its text while it continues.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.messages.jobs import (
    FAILURES,
    IMPOSSIBLE,
    LATE,
    PART,
    ItemFailure,
    ItemResult,
    Outcome,
    TextPart,
)
from ibisspring_decisions.crash_suspects import item_pause_s
from ibisspring_jobs.progress import ItemProgress, abandoned_result

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.jobs import HeldRun
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.items import Items
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobRecord, JobsState

# Seconds until an item may run again after a failed run. Without this delay, an engine that fails
# every request immediately would use up the item's attempts.
FAILED_RETRY_DELAY_S = 0.2
# Number of runs taken for lost whose outcomes are still recognised.
MAX_LOST_RUNS = 1024


class Outcomes:
    """
    The outcomes of the runs of one epoch.

    :param epoch: the epoch, which identifies runs whose runners state no id of their own.

    In all methods `now` is in seconds since boot.
    """

    def __init__(
        self,
        epoch: int,
        state: JobsState,
        items: Items,
        engines: Engines,
        run_by_number: dict[int, Run],
        remove_run: Callable[[int], None],
    ) -> None:
        self._epoch = epoch
        self._new_failures: dict[str, list[ItemFailure]] = {}
        self._lost_by_number: dict[int, tuple[str, str]] = {}
        self._state = state
        self._items = items
        self._engines = engines
        self._run_by_number = run_by_number
        self._remove_run = remove_run

    def split(self, outcome: Outcome) -> tuple[Outcome, ...]:
        """
        Split the outcome of a completed run if earlier parts of the item's text are in the log.

        Without the split, the result would contain the complete text, and these parts would be
        replicated a second time.

        :return: the last part of the text and the outcome without text; only the unchanged outcome
            if no part is in the log.
        """
        run = self._run_by_number.get(outcome.number)
        job_record = self._state.job_by_id.get(run.job) if run is not None else None
        if outcome.kind != "done" or not outcome.events or job_record is None:
            return (outcome,)
        if (
            run.item not in job_record.item_by_id
            or not self._items.progress_of((run.job, run.item)).events
        ):
            return (outcome,)
        last_part = replace(outcome, kind=PART, whole=True)
        after = outcome.after + outcome.events
        return last_part, replace(outcome, output="", events=0, versions=(), after=after)

    def accept_part(self, outcome: Outcome) -> tuple[str, TextPart] | None:
        """
        Add the text that a run produced to the progress of its item.

        The last text of a run that ended early is committed in the same way as that of a run in
        progress. If this text were kept only in memory, the log would lack it, and a new leader
        would resume the item at the gap.

        :return: job id and the part to be committed to the log; None if the part does not continue
            the known text, or if the job does not accept the part's weight versions.
        """
        run = self._run_by_number.get(outcome.number)
        job_record = self._state.job_by_id.get(run.job) if run is not None else None
        if job_record is None or run.item not in job_record.item_by_id:
            return None
        progress = self._items.progress_of((run.job, run.item))
        if progress.events != run.resume_after + outcome.after:
            return None
        if progress.complete and not outcome.events:
            return None
        part = TextPart(
            run.item,
            progress.events,
            outcome.output,
            outcome.events,
            outcome.versions,
            outcome.whole,
        )
        progress.add(part)
        run.scoring = progress.complete
        if not progress.versions_allowed(job_record.job):
            # The run continues, but its text is discarded when it ends; the item then runs again
            # from the beginning.
            return None
        return run.job, part

    def process(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        """
        Process the outcome of a run that ended.

        An item with a result is not assigned again while the result is being committed.

        :return: job id and result if the item is completed or abandoned; None if the item runs
            again, or if the outcome is ignored because another run has continued the text.
        """
        return self._mark_committing(self._apply(outcome, now))

    def _mark_committing(
        self, job_and_result: tuple[str, ItemResult] | None
    ) -> tuple[str, ItemResult] | None:
        if job_and_result is not None:
            self._items.committing.add((job_and_result[0], job_and_result[1].item))
        return job_and_result

    def _apply(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        run = self._run_by_number.get(outcome.number)
        if run is None:
            return self._apply_lost(outcome, now)
        self._remove_run(outcome.number)
        job_record = self._state.job_by_id.get(run.job)
        if job_record is None or run.item not in job_record.item_by_id:
            return None
        key = (run.job, run.item)
        progress = self._items.progress_of(key)
        if progress.events == run.resume_after + outcome.after:
            progress.add(outcome)
        elif outcome.kind == "done":
            # Another run of the item has extended or reset the item's text meanwhile, so the text
            # of this run does not continue it.
            return None
        if not progress.versions_allowed(job_record.job):
            eliot.log_message("dispatch:versions", item=run.item, versions=progress.versions)
            progress.reset()
            return None
        if outcome.kind == "done":
            if job_record.item_by_id[run.item].reward is not None and not outcome.score:
                # The item needs a score, which the outcome lacks. The item gets no result, and only
                # its reward call is repeated.
                progress.complete = True
                self._items.unscored.add(key)
                return None
            return run.job, progress.completed_result(run.item, outcome.score)
        return self._handle_failure(run, outcome, job_record, progress, now)

    def _handle_failure(
        self, run: Run, outcome: Outcome, job_record: JobRecord, progress: ItemProgress, now: float
    ) -> tuple[str, ItemResult] | None:
        eliot.log_message(
            "dispatch:run_failed",
            item=run.item,
            kind=outcome.kind,
            endpoint=run.endpoint,
            events=progress.events,
            whole=progress.complete,
            endpoint_ended=outcome.endpoint_ended,
        )
        if outcome.kind in FAILURES:
            result = self._count_failure(job_record, run.item, outcome, now)
            if result is not None:
                return run.job, result
        if outcome.kind == "unscored":
            return run.job, abandoned_result(run.item)
        if outcome.kind == LATE:
            # The engine has not been asked, so that it may get other runs at once.
            self._engines.paced_delay.rejected(now)
            return None
        if run.moved or run.scoring:
            return None
        self._engines.pause(run.endpoint, job_record.job.model, outcome.kind, now)
        if outcome.endpoint_ended:
            has_events = outcome.after + outcome.events > 0
            progress.ends = 0 if has_events else progress.ends + 1
            progress.not_before_s = now + item_pause_s(progress.ends)
        return None

    def run_lost(self, run: Run) -> None:
        """Record that a run was taken for lost; its runner may still report its failure."""
        self._lost_by_number[run.number] = (run.job, run.item)
        if len(self._lost_by_number) > MAX_LOST_RUNS:
            del self._lost_by_number[next(iter(self._lost_by_number))]

    def _apply_lost(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        key = self._lost_by_number.pop(outcome.number, None)
        if key is None or outcome.kind not in FAILURES:
            return None
        return self._count_without_run(key, outcome, now)

    def process_held(self, held: HeldRun, now: float) -> tuple[str, ItemResult] | None:
        """
        Process the failure of a run of an earlier epoch, which its leader may have counted.

        :return: as of `process`.
        """
        outcome = Outcome(held.key, held.failure, run_id=held.run_id)
        return self._mark_committing(self._count_without_run((held.job, held.item), outcome, now))

    def _count_without_run(
        self, key: tuple[str, str], outcome: Outcome, now: float
    ) -> tuple[str, ItemResult] | None:
        """Count the failure of a run that the dispatcher does not have, if its item is open."""
        job_record = self._state.job_by_id.get(key[0])
        if job_record is None or key[1] not in job_record.item_by_id:
            return None
        result = self._count_failure(job_record, key[1], outcome, now)
        return (key[0], result) if result is not None else None

    def take_failures(self) -> dict[str, list[ItemFailure]]:
        """Return the failed runs that were counted since the last call, by job, to be committed."""
        failures = self._new_failures
        self._new_failures = {}
        return failures

    def _count_failure(
        self, job_record: JobRecord, item: str, outcome: Outcome, now: float
    ) -> ItemResult | None:
        """Return the result of an item that is to be abandoned because of a failed run."""
        job = job_record.job
        run_id = outcome.run_id or f"{self._epoch}-{outcome.number}"
        progress = self._items.progress_of((job.job, item))
        if run_id not in progress.failed_runs:
            progress.failed_runs.add(run_id)
            progress.not_before_s = now + FAILED_RETRY_DELAY_S
            self._new_failures.setdefault(job.job, []).append(ItemFailure(item, run_id))
        failures = len(progress.failed_runs)
        is_abandoned = outcome.kind == IMPOSSIBLE or failures >= job.max_attempts
        eliot.log_message(
            "dispatch:failure",
            job=job.job,
            item=item,
            run=run_id,
            kind=outcome.kind,
            failures=failures,
            max_attempts=job.max_attempts,
            abandoned=is_abandoned,
            reason=outcome.kind,
        )
        return abandoned_result(item) if is_abandoned else None


__all__ = ["Outcomes"]
