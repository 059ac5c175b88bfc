"""The most items that were to be run at a time, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_jobs.state import JobsState

# Longer than the pause between two steps of a trainer, so that the fleet does not follow each one.
REMEMBER_S = 20.0


class Peaks:
    """Peaks of the last while; `now` is always given."""

    def __init__(self) -> None:
        self.peak_by_service: dict[str, int] = {}
        self._noted_s_by_service: dict[str, float] = {}

    def note(self, state: JobsState, now: float) -> None:
        """Look at all open jobs."""
        open_by_service: dict[str, int] = {}
        for kept in state.job_by_id.values():
            if not kept.ended:
                service = kept.job.service
                open_by_service[service] = open_by_service.get(service, 0) + len(kept.item_by_id)
        for service, count in open_by_service.items():
            old = now - self._noted_s_by_service.get(service, 0.0) > REMEMBER_S
            if count >= self.peak_by_service.get(service, 0) or old:
                self.peak_by_service[service] = count
                self._noted_s_by_service[service] = now


__all__ = ["Peaks"]
