"""
Predicts when jobs end from their remaining work and the free slots of the engines.

Load pattern: several jobs wait for the same slots. Whether one more can be met depends on the work
that starts before it, not on the number of jobs or items.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_decisions.engine_room import EngineRoom
    from ibisspring_decisions.group_order import GroupWork

EndPredictor = Callable[[Sequence["GroupWork"], "EngineRoom", float], Mapping[str, float]]
"""
Predicts, by job, when the last wanted group of each job ends.

Its arguments are the groups of all jobs, the room that they may use, which it may take from, and
the present time.
"""


def wanted_groups(groups: Sequence[GroupWork]) -> list[GroupWork]:
    """
    Return the groups of one job that its trainer waits for.

    Carried groups come first, then those nearest to whole. A job that states no number wants all.
    """
    ordered = sorted(
        groups,
        key=lambda group: (not group.carried, -group.done_share, group.remaining_s, group.key),
    )
    carried = sum(group.carried for group in groups)
    wanted = ordered[0].wanted if ordered else 0
    return ordered[: max(carried, wanted)] if wanted else ordered


def fluid_ends(groups: Sequence[GroupWork], room: EngineRoom, now: float) -> dict[str, float]:
    """
    Predict the ends of jobs as if work were a fluid that the slots take by priority and due time.

    :param groups: groups of all jobs.
    :param room: the free slots, which are taken.
    :return: the end of the last wanted group of each job.
    """
    groups_by_job: dict[str, list[GroupWork]] = {}
    for group in groups:
        groups_by_job.setdefault(group.key[0], []).append(group)

    def rank(job: str) -> tuple[int, float, str]:
        first = groups_by_job[job][0]
        return (first.priority, first.due_s, job)

    end_by_job = {}
    for job in sorted(groups_by_job, key=rank):
        wanted = wanted_groups(groups_by_job[job])
        longest_s = max(group.longest_s for group in wanted)
        start_s = room.first_free_s(now)
        end_s = room.take(sum(group.remaining_s for group in wanted), now)
        end_by_job[job] = max(end_s, start_s + longest_s)
    return end_by_job


__all__ = ["EndPredictor", "fluid_ends", "wanted_groups"]
