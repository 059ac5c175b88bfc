"""
The recent peak of each service: the highest number of its open items in the last seconds.

Open items have no listed result, and their job has neither ended nor is it held. By the peak the
directory decides how many engines the service needs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_jobs.state import JobsState

# Seconds after which the peak number of open items is replaced by a lower current number. They are
# more than the time between two steps of a trainer, so that the fleet of engines does not shrink
# and grow with each step.
PEAK_RETENTION_S = 20.0


class Peaks:
    """
    The peak number of open items of each service.

    :param peak_by_service: highest recent number of open items, by service name.
    """

    def __init__(self) -> None:
        self.peak_by_service: dict[str, int] = {}
        self._peak_at_by_service: dict[str, float] = {}

    def update(self, state: JobsState, now: float) -> None:
        """
        Update the peaks with the current numbers of open items.

        A higher number replaces the peak at once, a lower one after PEAK_RETENTION_S seconds.

        :param now: seconds since boot.
        """
        open_items_by_service: dict[str, int] = {}
        for job_record in state.job_by_id.values():
            if not job_record.ended:
                service = job_record.job.service
                open_items = 0 if job_record.held else len(job_record.item_by_id)
                open_items_by_service[service] = open_items_by_service.get(service, 0) + open_items
        for service, count in open_items_by_service.items():
            expired = now - self._peak_at_by_service.get(service, 0.0) > PEAK_RETENTION_S
            if count >= self.peak_by_service.get(service, 0) or expired:
                self.peak_by_service[service] = count
                self._peak_at_by_service[service] = now


__all__ = ["Peaks"]
