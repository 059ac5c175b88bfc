from __future__ import annotations

from unit.jobs.test_state import job_of

from ibisspring_jobs.commands import COMMANDS, AcceptJob, CloseJob
from ibisspring_jobs.peaks import PEAK_RETENTION_S, Peaks
from ibisspring_jobs.state import JobsState


def test_peak_is_kept_between_steps_and_expires_later() -> None:
    # No items are open between two steps of a trainer. If the number of engines followed the
    # current number of items, engines would be stopped and booted again every four seconds.
    state = JobsState()
    peaks = Peaks()
    state.apply(1, COMMANDS.encode(AcceptJob(job_of("a", 5))))
    state.apply(2, COMMANDS.encode(AcceptJob(job_of("b", 4))))
    peaks.update(state, 10.0)
    assert peaks.peak_by_service == {"scorer": 9}

    state.apply(3, COMMANDS.encode(CloseJob("a")))
    peaks.update(state, 11.0)
    assert peaks.peak_by_service == {"scorer": 9}
    peaks.update(state, 11.0 + PEAK_RETENTION_S)
    assert peaks.peak_by_service == {"scorer": 4}
