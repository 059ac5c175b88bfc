from __future__ import annotations

import asyncio
import dataclasses
from types import SimpleNamespace

import pytest
from unit.gateway.test_send_gate import ASSIGNMENT, gate_with
from unit.jobs.test_state import job_of

from ibisspring_core.clock import boot_now
from ibisspring_core.counters import Counters
from ibisspring_core.messages.directory import Group, Member, View
from ibisspring_core.messages.jobs import (
    AdoptedRun,
    JobAccepted,
    SubmitJob,
    Work,
    WorkReported,
    text_digest,
)
from ibisspring_core.settings.vm import ENTRY, VmSettings
from ibisspring_gateway.active_runs import ActiveRun
from ibisspring_gateway.runner import Runner

SETTINGS = VmSettings("e1", ENTRY, "derby", "10.0.0.1:1", ("10.0.0.2:1",))


def store(name: str, empty: bool) -> Member:
    return Member(f"10.0.2.{name}:1", name, "derby", "disk", empty)


def test_stores_without_a_replica_are_not_asked_for_work() -> None:
    # After the loss of the leader of the jobs log, a runner calls one store after another to find
    # the new leader. Calls to stores without a replica of the log would only cost time, because
    # such stores do not know the leader.
    founders = (store("1", True), store("2", True))
    stores = (store("1", False), *(store(str(number), True) for number in range(5, 25)))
    runner = Runner.from_config(SETTINGS)
    view = View(1, 1, stores=stores, job_group=Group("jobs", founders), job_leader="10.0.2.3:1")
    runner._view = SimpleNamespace(view=view)

    assert runner.job_addresses() == ("10.0.2.3:1", "10.0.2.1:1", "10.0.2.2:1")


class _NoConnections:
    """Connections over which nothing may be sent."""

    def request(self, *arguments):
        pytest.fail("a request was sent")


async def outcome_of(gate, assigned_at_s: float) -> str:
    """Give a runner one assignment, and return the kind of the outcome that it reports."""
    runner = Runner.from_config(SETTINGS)
    runner._gate = gate
    runner._view = gate._view
    runner._connections = _NoConnections()
    runner._counters = Counters.from_config(None)
    runner._epoch = 7
    runner._apply_work(Work(7, (ASSIGNMENT,)), assigned_at_s)
    await runner._runs.by_number[ASSIGNMENT.number].task
    (outcome,) = runner._pending_outcomes
    return outcome.kind


async def test_items_that_must_not_be_sent_are_reported_back() -> None:
    # The dispatcher assigned the item before the entry learned of the evacuation, or the assignment
    # was held up. Neither may reach the engine; the dispatcher assigns the item again.
    evacuated = gate_with(evacuated=(ASSIGNMENT.data_centre,))
    late_at = boot_now() - ASSIGNMENT.begin_within_s - 0.01
    assert await outcome_of(evacuated, boot_now() + 1.0) == "turned_away"
    assert await outcome_of(gate_with(), late_at) == "late"
    assert await outcome_of(gate_with(view_age_s=10.0), boot_now() + 1.0) == "turned_away"


def runner_with_run(*data: str, kind: str = "") -> tuple[Runner, ActiveRun]:
    """Build a runner of epoch 7 with one run that has produced events and reported the first."""
    runner = Runner.from_config(SETTINGS)
    runner._counters = Counters.from_config(None)
    runner._epoch = 7
    run = ActiveRun(ASSIGNMENT, ASSIGNMENT.number, kind=kind)
    run.progress.data.extend(data)
    run.progress.versions.extend(4 for _ in data)
    run.progress.reported_events = 1
    runner._runs.add(run)
    return runner, run


def adopted_run(run: ActiveRun, *stored: str) -> AdoptedRun:
    return AdoptedRun(run.key, 31, len(stored), text_digest(stored))


async def test_a_run_goes_on_under_a_new_leader_after_the_last_stored_event() -> None:
    # The jobs' leader is lost. It had stored two events, of which the runner knows only one to be
    # stored. The next report must begin with the third event, under the new number.
    runner, run = runner_with_run("a", "b", "c", "d")

    runner._apply_work(Work(8), 0.0)
    assert runner._runs.by_number == {}
    (offered,) = runner._runs.offers()
    assert (offered.item, offered.events) == (ASSIGNMENT.item.item, 4)
    runner._resume_runs((offered,), (adopted_run(run, "a", "b"),))
    await runner._report_parts(0.0)

    (part,) = runner._pending_outcomes
    assert (part.number, part.after, part.output) == (31, 2, "c\nd")


async def test_a_text_that_was_completed_without_a_leader_is_reported_to_the_new_one() -> None:
    runner, run = runner_with_run("a", "b", kind="done")

    runner._apply_work(Work(8), 0.0)
    runner._resume_runs(runner._runs.offers(), (adopted_run(run, "a"),))
    await run.task

    (done,) = runner._pending_outcomes
    assert (done.number, done.kind, done.after, done.output) == (31, "done", 1, "b")


async def test_a_run_with_another_text_than_the_stored_one_is_stopped() -> None:
    # The former leader had given the item to two runners, and the log contains the text of the
    # other one. Texts of two runs must not be joined.
    runner, run = runner_with_run("a", "b", "c")
    stopped = asyncio.create_task(asyncio.sleep(60.0))
    run.task = stopped

    runner._apply_work(Work(8), 0.0)
    runner._resume_runs(runner._runs.offers(), (adopted_run(run, "a", "x"),))

    (outcome,) = runner._pending_outcomes
    assert (outcome.number, outcome.kind, outcome.events) == (31, "broken", 0)
    assert len(runner._runs) == 0
    await asyncio.wait([stopped])
    assert stopped.cancelled()


async def test_runs_that_a_new_leader_does_not_adopt_are_stopped() -> None:
    runner, run = runner_with_run("a")
    run.task = asyncio.create_task(asyncio.sleep(60.0))

    runner._apply_work(Work(8), 0.0)
    runner._resume_runs(runner._runs.offers(), ())

    await asyncio.wait([run.task])
    assert run.task.cancelled()
    assert len(runner._runs) == 0


async def test_outcomes_that_a_new_leader_ignored_are_offered_to_it_again() -> None:
    # All stores are without power while a text is completed. Its report is repeated until a store
    # answers, which is the new leader: it ignores outcomes of an earlier epoch. If the runner took
    # this for a confirmation, the item would run a second time.
    runner, run = runner_with_run("a", "b", kind="done")
    answered = asyncio.Event()

    class _NewLeader:
        async def call(self, message, *timeouts):
            answered.set()
            return WorkReported(accepted=False)

    runner.leader = _NewLeader()
    runner._queue_outcome(run.progress.outcome(run.number, "done"))
    reporting = asyncio.create_task(runner._report_outcomes())
    async with asyncio.timeout(5.0):
        await answered.wait()
    await asyncio.sleep(0)

    runner._apply_work(Work(8), 0.0)
    reporting.cancel()
    assert [held.key for held in runner._runs.offers()] == [run.key]


async def test_a_submission_states_when_it_was_sent() -> None:
    # By this time the leader tells a rejected job that returns from a late copy of its first
    # submission, of which its caller was told that nothing runs.
    sent = []

    class _Leader:
        async def call(self, message, *timeouts):
            sent.append(message)
            return JobAccepted()

    runner = Runner(SETTINGS)
    runner.leader = _Leader()
    runner._view = SimpleNamespace(view=View(1, 1), wall_s=lambda: 1234.5)

    await runner.submit(job_of())

    assert sent == [SubmitJob(dataclasses.replace(job_of(), submitted_s=1234.5))]
