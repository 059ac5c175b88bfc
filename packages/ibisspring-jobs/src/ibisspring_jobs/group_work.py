"""Estimates the remaining work of the groups of open jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_core.messages.jobs import ABANDONED
from ibisspring_decisions.dispatch import MAX_TO_MEDIAN_OUTPUT_RATIO
from ibisspring_decisions.group_order import GroupKey, GroupWork
from ibisspring_decisions.stragglers import MIN_REMAINING_EVENTS
from ibisspring_jobs.moves import TOKENS_PER_EVENT

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ibisspring_core.messages.jobs import JobItem
    from ibisspring_jobs.items import ItemKey, Items
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobRecord


@dataclass
class OpenGroup:
    """
    The items of a group that have no listed result, with their estimated work.

    :param produced: events that exist of their texts.
    :param left: events that are missing.
    """

    key: GroupKey
    items: list[JobItem] = field(default_factory=list)
    produced: float = 0.0
    left: float = 0.0
    waiting_s: float = 0.0
    longest_s: float = 0.0
    running_s: float = 0.0
    runs_end_s: float = 0.0


class GroupWorks:
    """Estimates the work of groups, and remembers how large each group was at first."""

    def __init__(self, items: Items) -> None:
        self._items = items
        self._events_by_group: dict[str, dict[str, float]] = {}
        self._abandoned_by_job: dict[str, tuple[int, int]] = {}

    def forget_other_jobs(self, jobs: frozenset[str]) -> None:
        """Remove what is known of jobs that are not among the given ones."""
        for job_id in [job_id for job_id in self._events_by_group if job_id not in jobs]:
            del self._events_by_group[job_id]
        for job_id in [job_id for job_id in self._abandoned_by_job if job_id not in jobs]:
            del self._abandoned_by_job[job_id]

    def open_groups(
        self,
        job_record: JobRecord,
        run_by_key: Mapping[ItemKey, Run],
        event_s_of: Callable[[str], float],
        waiting_event_s: float,
    ) -> list[OpenGroup]:
        """
        Return the groups of a job that have items without a listed result.

        :param run_by_key: the runs in progress that generate text. The item of a run that is being
            stopped counts as waiting.
        :param event_s_of: returns the seconds per event on an engine.
        :param waiting_event_s: seconds per event of an item that waits.
        """
        job_id = job_record.job.job
        group_by_id: dict[str, OpenGroup] = {}
        for item in job_record.item_by_id.values():
            group_id = group_id_of(item)
            group = group_by_id.get(group_id)
            if group is None:
                group = group_by_id[group_id] = OpenGroup((job_id, group_id))
            group.items.append(item)
            self._add_work(group, item, run_by_key, event_s_of, waiting_event_s)
        return list(group_by_id.values())

    def _add_work(
        self,
        group: OpenGroup,
        item: JobItem,
        run_by_key: Mapping[ItemKey, Run],
        event_s_of: Callable[[str], float],
        waiting_event_s: float,
    ) -> None:
        key = (group.key[0], item.item)
        run = run_by_key.get(key)
        if run is None and self._items.has_complete_text(key):
            group.produced += expected_events(item)
            return
        produced = run.resume_after + run.events if run else self._items.produced_events(key)
        left = events_left(item, produced)
        if run is not None and not run.moved:
            run_s = left * event_s_of(run.endpoint)
            group.running_s += run_s
            group.runs_end_s = max(group.runs_end_s, run_s)
        else:
            group.waiting_s += left * waiting_event_s
            group.longest_s = max(group.longest_s, left * waiting_event_s)
        group.produced += produced
        group.left += left

    def works(self, job_record: JobRecord, groups: list[OpenGroup]) -> list[GroupWork]:
        """Return the work of a job's open groups for the order of groups."""
        job = job_record.job
        wanted = self._still_wanted(job_record, len(groups))
        events_by_group = self._events_by_group.setdefault(job.job, {})
        works = []
        for group in groups:
            # Items with a listed result are gone from the job, so its first size is remembered.
            events = max(events_by_group.get(group.key[1], 0.0), group.produced + group.left)
            events_by_group[group.key[1]] = events
            works.append(
                GroupWork(
                    key=group.key,
                    client_account=job.client_account,
                    priority=job.priority,
                    due_s=job.submitted_s + job.due_s,
                    carried=group.key[1] in job_record.carried,
                    wanted=wanted,
                    remaining_s=group.waiting_s + group.running_s,
                    longest_s=group.longest_s,
                    done_share=1.0 - group.left / events if events else 1.0,
                    running_s=group.running_s,
                    runs_end_s=group.runs_end_s,
                )
            )
        return works

    def _still_wanted(self, job_record: JobRecord, open_groups: int) -> int:
        """
        Return how many further complete groups the job's trainer waits for.

        A group with an abandoned item never becomes whole. Which one it was is not known any more,
        so each abandoned item is taken for a group of its own and no wanted group is missed.
        """
        if not job_record.job.wanted_groups:
            return open_groups
        job_id = job_record.job.job
        seen, abandoned = self._abandoned_by_job.get(job_id, (0, 0))
        for result in job_record.results[seen:]:
            abandoned += result.state == ABANDONED
        self._abandoned_by_job[job_id] = (len(job_record.results), abandoned)
        complete = len(job_record.groups) - open_groups - abandoned
        return max(0, job_record.job.wanted_groups - max(0, complete))


def group_id_of(item: JobItem) -> str:
    """Return the id of an item's group; an item without a group is a group of its own."""
    return item.group or f"item {item.item}"


def expected_events(item: JobItem) -> float:
    """Return the expected number of events of an item's complete text."""
    tokens = item.expected_tokens
    if not tokens:
        tokens = max(0, item.tokens - item.prompt_tokens) // MAX_TO_MEDIAN_OUTPUT_RATIO
    return max(tokens / TOKENS_PER_EVENT, MIN_REMAINING_EVENTS)


def events_left(item: JobItem, produced: int) -> float:
    """
    Return the expected number of events that an item's text still lacks.

    :param produced: number of its events so far.
    """
    return max(expected_events(item) - produced, MIN_REMAINING_EVENTS)


__all__ = ["GroupWorks", "OpenGroup", "events_left", "expected_events", "group_id_of"]
