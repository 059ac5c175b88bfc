"""What parts other than the assignment of items do with a job that an operator holds."""

from __future__ import annotations

import dataclasses

from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness
from unit.jobs.test_state import job_of

from ibisspring_jobs.commands import COMMANDS, AcceptJob, HoldJob
from ibisspring_jobs.peaks import PEAK_RETENTION_S, Peaks
from ibisspring_jobs.state import JobsState


def test_runs_of_a_held_job_are_not_stopped_to_move_off_a_slow_engine() -> None:
    # A moved run is stopped and its item starts elsewhere, which a held job's item may not.
    engines = [dataclasses.replace(ENGINE, endpoint=f"engine-{n}") for n in (1, 2, 3)]
    items = tuple(dataclasses.replace(item, group=item.item) for item in job_of().items)
    harness = DispatcherHarness(*engines, items=items)
    first = harness.poll()
    harness.apply(HoldJob("j", True, "r1"))
    events = {assignment.number: 0 for assignment in first}
    for step in range(1, 5):
        for assignment in first:
            events[assignment.number] += 2 if assignment.endpoint == "engine-2" else 10
        harness.poll(events, now=step * 0.4, events=tuple(events.values()))
        harness.dispatcher.move_stragglers(step * 0.4)

    assert harness.dispatcher.engines.paces.slow()
    assert harness.dispatcher.runners.runner_by_address["e1"].moved == []


def test_a_held_job_asks_for_no_engines() -> None:
    # The fleet would otherwise grow for items that do not start.
    state = JobsState()
    state.apply(1, COMMANDS.encode(AcceptJob(job_of("a", 5))))
    peaks = Peaks()
    peaks.update(state, 10.0)

    state.apply(2, COMMANDS.encode(HoldJob("a", True, "r1")))
    peaks.update(state, 11.0 + PEAK_RETENTION_S)

    assert peaks.peak_by_service == {"scorer": 0}
