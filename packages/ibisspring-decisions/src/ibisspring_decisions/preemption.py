"""
Chooses running items that give their slot to an item of a more urgent group.

Load pattern: all slots are taken by items of jobs with time to spare when a job arrives, or a group
becomes late, whose due time only a slot now can save. The text of a preempted item is kept, and the
item continues after its last event.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RunningItem:
    """
    A running item that may be preempted.

    :param number: number by which the caller identifies the run.
    :param engine: id of the engine that it runs on.
    :param slack_s: seconds by which its group would end before its job is due.
    :param remaining_s: seconds until the item ends on its engine.
    :param resume_cost_s: seconds that reading its prompt and text again takes.
    :param preempted: whether the item has been preempted since its last complete second of running.
    """

    number: int
    engine: str
    slack_s: float
    remaining_s: float
    resume_cost_s: float
    preempted: bool


__all__ = ["RunningItem"]
