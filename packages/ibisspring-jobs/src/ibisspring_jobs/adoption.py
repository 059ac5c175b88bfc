"""
Adoption of runs across a change of the jobs' leader.

A new leader knows the items and the stored parts of their texts, but not which runs are in
progress. Runners go on with their runs while there is no leader, and offer them to the new one. If
it started all items again instead, everything that the engines made since the last stored part
would be made a second time, and the work of the whole time without a leader would be lost.

The new leader first lets the runners call: items that it assigned before would run twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.messages.jobs import text_digest

if TYPE_CHECKING:
    from ibisspring_core.messages.jobs import HeldRun, TakeWork
    from ibisspring_jobs.progress import ItemProgress
    from ibisspring_jobs.state import JobRecord

# Seconds after the first call of a runner of an earlier epoch in which the new leader assigns no
# items. Runners without an answer call again after 0.1 to 0.4 s.
MIN_WAIT_S = 0.3
# The same as long as a runner that has announced runs of an earlier epoch has not offered them. A
# runner that is lost in between does not delay the others further.
MAX_WAIT_S = 0.8


class AdoptionWindow:
    """
    The time at the start of an epoch in which runs of earlier epochs are offered.

    In all methods `now` is in seconds since boot.
    """

    def __init__(self) -> None:
        self._first_call_at: float | None = None
        self._offering: set[str] = set()

    def runner_called(self, call: TakeWork, now: float) -> None:
        """Record a runner's call that belongs to an earlier epoch, with its numbers of runs."""
        if not call.epoch:
            # The runner has just started and has no runs.
            return
        if self._first_call_at is None:
            self._first_call_at = now
        if call.running or call.held:
            self._offering.add(call.runner)

    def runner_offered(self, runner: str) -> None:
        """Record that a runner, given by its address, has offered its runs."""
        self._offering.discard(runner)

    def is_open(self, now: float) -> bool:
        """Whether runs may still be offered, so that no items are assigned yet."""
        if self._first_call_at is None:
            return False
        passed_s = now - self._first_call_at
        return passed_s < MIN_WAIT_S or (bool(self._offering) and passed_s < MAX_WAIT_S)


def stored_part_of(
    held: HeldRun, job_record: JobRecord, progress: ItemProgress
) -> tuple[int, int] | None:
    """
    Compare a held run with the stored text of its item.

    :return: number and digest of the run's events that the log contains; None if the run does not
        continue the stored text.
    """
    if progress.complete or not (
        held.resume_after <= progress.events <= held.resume_after + held.events
    ):
        return None
    parts = job_record.parts_by_item.get(held.item, ())
    starts = {part.after for part in parts}
    if held.resume_after != progress.events and held.resume_after not in starts:
        return None
    own_parts = [part.output for part in parts if part.after >= held.resume_after and part.events]
    return progress.events - held.resume_after, text_digest(own_parts)


__all__ = ["AdoptionWindow", "stored_part_of"]
