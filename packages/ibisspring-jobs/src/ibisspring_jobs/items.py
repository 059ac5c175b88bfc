"""
The items of all open jobs that have no listed result: their progress, runs and start order.

A result is listed when it has a position in its job's list of results. The reward call of an item
is the request that scores its complete text.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ibisspring_decisions.dispatch import WaitingItem, expected_memory_tokens, rank_of
from ibisspring_jobs.progress import ItemProgress

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from ibisspring_core.messages.jobs import JobItem
    from ibisspring_decisions.dispatch import ItemRank
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobRecord, JobsState

ItemKey = tuple[str, str]
"""Job id and item id."""


@dataclass(frozen=True)
class ItemOrder:
    """
    The planned order of a service's items.

    :param jobs: ids of the jobs whose items are in the order.
    :param items: job id and item in start order; None if the items start by rank.
    """

    jobs: frozenset[str]
    items: tuple[tuple[str, JobItem], ...] | None


class ItemPlanner(Protocol):
    """Plans the order in which the items of a service start."""

    def item_order(self, service: str, jobs: Sequence[JobRecord], now: float) -> ItemOrder:
        """
        Return the order of the items of a service's open jobs.

        :param now: seconds since boot.
        """
        ...


class Items:
    """
    The items without a listed result, during one epoch of the dispatcher.

    :param ending: ids of jobs whose end is being committed; none of their items starts.
    :param committing: items whose result is being committed to the log; they are not started again.
    :param unscored: items whose text is complete but not scored, and whose reward call is assigned
        to no runner.
    :param planner: plans the order of the items; None if they start by rank.
    """

    def __init__(self, state: JobsState) -> None:
        self._state = state
        self.planner: ItemPlanner | None = None
        self._progress_by_job: dict[str, dict[str, ItemProgress]] = {}
        self._runs_by_key: dict[ItemKey, set[int]] = {}
        # The start order of a job's items never changes, so the items are sorted only once.
        self._ordered_by_job: dict[str, list[JobItem]] = {}
        self.ending: set[str] = set()
        self.committing: set[ItemKey] = set()
        self.unscored: set[ItemKey] = {
            (job_id, item)
            for job_id, job_record in state.job_by_id.items()
            for item in job_record.item_by_id
            if job_record.complete_text(item) is not None
        }

    def progress_of(self, key: ItemKey) -> ItemProgress:
        """
        Return the progress of an item.

        After a change of the jobs' leader, the progress is restored from the log.
        """
        progress = self._known_progress(key)
        if progress is None:
            job_record = self._state.job_by_id[key[0]]
            progress = ItemProgress.from_log(
                job_record.parts_by_item.get(key[1], ()),
                job_record.failed_runs_by_item.get(key[1], ()),
            )
            self._progress_by_job.setdefault(key[0], {})[key[1]] = progress
        return progress

    def _known_progress(self, key: ItemKey) -> ItemProgress | None:
        return self._progress_by_job.get(key[0], {}).get(key[1])

    def produced_events(self, key: ItemKey) -> int:
        """Return the number of events that exist of an item's text."""
        progress = self._known_progress(key)
        if progress is not None:
            return progress.events
        parts = self._state.job_by_id[key[0]].parts_by_item.get(key[1])
        return parts[-1].after + parts[-1].events if parts else 0

    def has_complete_text(self, key: ItemKey) -> bool:
        """Whether the text of an item has ended; at most its reward call is still to be made."""
        progress = self._known_progress(key)
        if progress is not None and progress.complete:
            return True
        return key in self.committing or key in self.unscored

    def is_busy(self, key: ItemKey) -> bool:
        """Whether an item runs, waits for its reward call, or has its result being committed."""
        return key in self.committing or key in self.unscored or key in self._runs_by_key

    def run_started(self, key: ItemKey, number: int) -> None:
        """
        Record that a run of an item started.

        :param number: number of the assignment.
        """
        self._runs_by_key.setdefault(key, set()).add(number)
        self.unscored.discard(key)

    def run_ended(self, key: ItemKey, number: int) -> None:
        """
        Record that a run of an item ended; an item with a complete text is marked as unscored.

        :param number: number of the assignment.
        """
        runs = self._runs_by_key.get(key)
        if runs is not None:
            runs.discard(number)
            if not runs:
                del self._runs_by_key[key]
        progress = self._known_progress(key)
        if progress is not None and progress.complete:
            self.unscored.add(key)

    def remove_finished(self, job: str) -> None:
        """
        Remove the items of a job that have a listed result, or all its items if the job has ended.

        :param job: id of the job.
        """
        job_record = self._state.job_by_id.get(job)
        open_items = job_record.item_by_id if job_record is not None else {}

        def is_open(key: ItemKey) -> bool:
            return key[0] != job or key[1] in open_items

        self.committing = {key for key in self.committing if is_open(key)}
        self.unscored = {key for key in self.unscored if is_open(key)}
        if not open_items:
            self.ending.discard(job)
            self._progress_by_job.pop(job, None)
            self._ordered_by_job.pop(job, None)
            return
        progress_by_item = self._progress_by_job.get(job, {})
        for item in [item for item in progress_by_item if item not in open_items]:
            del progress_by_item[item]
        if job in self._ordered_by_job:
            ordered = self._ordered_by_job[job]
            self._ordered_by_job[job] = [
                job_item for job_item in ordered if job_item.item in open_items
            ]

    def awaiting_score(self) -> Iterable[ItemKey]:
        """
        Yield the items whose text is complete and whose reward call is assigned to no runner.

        Items that meanwhile have a listed result are skipped and removed from `unscored`. Items of
        held jobs are skipped.
        """
        for key in sorted(self.unscored):
            job_record = self._state.job_by_id.get(key[0])
            if (
                job_record is None
                or key[1] not in job_record.item_by_id
                or not self.progress_of(key).complete
            ):
                self.unscored.discard(key)
                continue
            if job_record.held or key[0] in self.ending:
                continue
            if key not in self._runs_by_key and key not in self.committing:
                yield key

    def services(self) -> frozenset[str]:
        """Return the names of the services that have items which may start."""
        return frozenset(job_record.job.service for job_record in self._open_jobs())

    def _open_jobs(self) -> Iterator[JobRecord]:
        for job_id, job_record in self._state.job_by_id.items():
            if job_record.ended or job_record.held or job_id in self.ending:
                continue
            if job_record.item_by_id:
                yield job_record

    def waiting(self, service: str, engines: Engines, now: float) -> Iterator[WaitingItem]:
        """
        Yield the items of a service that may start now, in the order in which they should start.

        Items are skipped while they run, while their result is being committed, until the delay
        after a failed run has passed, while no engine may run their job, and while an operator
        holds it.

        :param now: seconds since boot.
        """
        if self.planner is not None:
            yield from self._waiting_by_plan(self.planner, service, engines, now)
            return
        for job_record in self._jobs_by_rank(service):
            allowed = engines.allowed(job_record.job, now)
            if allowed:
                yield from self._waiting_items_of(job_record, allowed, now)

    def _jobs_by_rank(self, service: str) -> list[JobRecord]:
        jobs = [job_record for job_record in self._open_jobs() if job_record.job.service == service]
        jobs.sort(key=lambda job_record: (job_record.job.priority, _due_s(job_record)))
        return jobs

    def startable_jobs(
        self, service: str, engines: Engines, now: float
    ) -> dict[str, frozenset[str]]:
        """
        Return the engines of each open job of a service that any engine may run, by job id.

        The jobs are in the order of their ranks.

        :param now: seconds since boot.
        """
        allowed_by_job = {}
        for job_record in self._jobs_by_rank(service):
            allowed = engines.allowed(job_record.job, now)
            if allowed:
                allowed_by_job[job_record.job.job] = allowed
        return allowed_by_job

    def records(self, jobs: Iterable[str]) -> list[JobRecord]:
        """Return the jobs with the given ids."""
        return [self._state.job_by_id[job_id] for job_id in jobs]

    def is_open(self, key: ItemKey) -> bool:
        """Whether an item has no listed result and its job has not ended."""
        job_record = self._state.job_by_id.get(key[0])
        return job_record is not None and key[1] in job_record.item_by_id

    def _waiting_by_plan(
        self,
        planner: ItemPlanner,
        service: str,
        engines: Engines,
        now: float,
    ) -> Iterator[WaitingItem]:
        """Yield the items in the order of their groups, and then those of jobs without a plan."""
        allowed_by_job = self.startable_jobs(service, engines, now)
        jobs = self.records(allowed_by_job)
        planned = planner.item_order(service, jobs, now)
        job_by_id = {job_record.job.job: job_record for job_record in jobs}
        for job_id, item in planned.items or ():
            job_record = job_by_id.get(job_id)
            if job_record is None or item.item not in job_record.item_by_id:
                continue
            if self._may_start((job_id, item.item), now):
                yield _waiting_item(job_record, item, allowed_by_job[job_id])
        for job_id, job_record in job_by_id.items():
            if planned.items is None or job_id not in planned.jobs:
                yield from self._waiting_items_of(job_record, allowed_by_job[job_id], now)

    def _waiting_items_of(
        self, job_record: JobRecord, engines: frozenset[str], now: float
    ) -> Iterator[WaitingItem]:
        for item in self._ordered(job_record):
            key = (job_record.job.job, item.item)
            if self._may_start(key, now):
                yield _waiting_item(job_record, item, engines)

    def _may_start(self, key: ItemKey, now: float) -> bool:
        if self.is_busy(key):
            return False
        progress = self._known_progress(key)
        return progress is None or now >= progress.not_before_s

    def _ordered(self, job_record: JobRecord) -> list[JobItem]:
        ordered = self._ordered_by_job.get(job_record.job.job)
        if ordered is None:

            def rank(item: JobItem) -> ItemRank:
                return rank_of(_waiting_item(job_record, item, frozenset()))

            ordered = sorted(job_record.item_by_id.values(), key=rank)
            self._ordered_by_job[job_record.job.job] = ordered
        return ordered

    def item_of(self, run: Run) -> JobItem | None:
        """Return the item of a run; None if its result is listed or its job has ended."""
        job_record = self._state.job_by_id.get(run.job)
        return job_record.item_by_id.get(run.item) if job_record is not None else None


def _due_s(job_record: JobRecord) -> float:
    return job_record.job.submitted_s + job_record.job.due_s


def _waiting_item(job_record: JobRecord, item: JobItem, engines: frozenset[str]) -> WaitingItem:
    return WaitingItem(
        key=(job_record.job.job, item.item),
        group=(job_record.job.job, item.group),
        due_s=_due_s(job_record),
        priority=job_record.job.priority,
        carried=item.group in job_record.carried,
        expected_tokens=item.expected_tokens,
        memory_tokens=memory_tokens_of(item),
        engines=engines,
    )


def memory_tokens_of(item: JobItem) -> int:
    """Return the memory that an item is expected to take at its engine, in tokens."""
    return expected_memory_tokens(item.tokens, item.prompt_tokens, item.expected_tokens)


__all__ = ["ItemKey", "Items", "memory_tokens_of"]
