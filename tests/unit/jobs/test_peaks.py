from __future__ import annotations

from unit.jobs.test_state import job_of

from ibisspring_jobs.commands import COMMANDS, AcceptJob, CloseJob
from ibisspring_jobs.peaks import REMEMBER_S, Peaks
from ibisspring_jobs.state import JobsState


def test_a_peak_is_remembered_between_steps_and_forgotten_later() -> None:
    # Between two steps nothing runs; a fleet that followed each one would be taken down and booted
    # again every four seconds.
    state = JobsState()
    peaks = Peaks()
    state.apply(1, COMMANDS.encode(AcceptJob(job_of("a", 5))))
    state.apply(2, COMMANDS.encode(AcceptJob(job_of("b", 4))))
    peaks.note(state, 10.0)
    assert peaks.peak_by_service == {"scorer": 9}

    state.apply(3, COMMANDS.encode(CloseJob("a")))
    peaks.note(state, 11.0)
    assert peaks.peak_by_service == {"scorer": 9}
    peaks.note(state, 11.0 + REMEMBER_S)
    assert peaks.peak_by_service == {"scorer": 4}
