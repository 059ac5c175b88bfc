"""The remaining work of jobs by group, as admission needs it to predict when jobs end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.group_order import GroupWork

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ibisspring_core.messages.jobs import Job, JobItem


def group_works(
    job: Job,
    open_items: Iterable[JobItem],
    remaining_s: Callable[[JobItem], float | None],
    total_groups: int = 0,
    carried: frozenset[str] = frozenset(),
    wanted_only: bool = False,
) -> tuple[GroupWork, ...] | None:
    """
    Return the remaining work of a job's groups.

    :param job: the job; its `submitted_s` is the time from which its limits count.
    :param open_items: its items without a listed result.
    :param remaining_s: estimates the slot-seconds that an item still takes; None if unknown.
    :param total_groups: number of groups that the job was submitted with; 0 for those of the items.
    :param carried: groups that an earlier job left incomplete.
    :param wanted_only: whether the groups beyond the wanted ones start only after these.
    :return: None if the time that an item takes is unknown; empty if the job's caller has what it
        waits for.
    """
    seconds_by_group: dict[str, list[float]] = {}
    for item in open_items:
        seconds = remaining_s(item)
        if seconds is None:
            return None
        # An item without a group is a group of its own.
        seconds_by_group.setdefault(item.group or item.item, []).append(seconds)
    complete = max(0, total_groups - len(seconds_by_group))
    wanted = max(0, job.wanted_groups - complete)
    if job.wanted_groups and not wanted:
        return ()
    return tuple(
        GroupWork(
            key=(job.job, group),
            client_account=job.client_account,
            priority=job.priority,
            due_s=job.submitted_s + job.due_s,
            carried=group in carried,
            wanted=wanted if wanted_only else 0,
            remaining_s=sum(seconds),
            longest_s=max(seconds),
        )
        for group, seconds in seconds_by_group.items()
    )


__all__ = ["group_works"]
