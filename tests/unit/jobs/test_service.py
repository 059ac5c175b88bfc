"""The service `jobs` on the leader, with a log that applies each command as soon as proposed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from unit.jobs.test_dispatcher import ENGINE
from unit.jobs.test_state import job_of

from fakes.still_server import IdlePeerServer
from ibisspring_consensus.proposals import Committed
from ibisspring_core.clock import boot_now
from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.job_reads import (
    ReadListed,
    ReadResults,
    ResultsListed,
    ResultsRead,
)
from ibisspring_core.messages.jobs import (
    PART,
    EndJob,
    Outcome,
    ReportWork,
    SubmitJob,
    TakeWork,
    WorkReported,
)
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_core.settings.vm import STORE, VmSettings
from ibisspring_core.timer import TimerService
from ibisspring_jobs.engine_time import KEEP_EVERY_S
from ibisspring_jobs.result_commits import MAX_COMMAND_CHARS
from ibisspring_jobs.runners import MAX_WORK_BYTES, RUNNER_TIMEOUT_S
from ibisspring_jobs.service import Jobs
from ibisspring_jobs.state import JobsState

SETTINGS = VmSettings("s1", STORE, "derby", "10.0.0.1:1", ("10.0.0.1:1",))


class _Consensus:
    name = "consensus"
    is_leader = True
    term = 7
    leader_hint = ""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    async def start(self, kernel: Kernel) -> None:
        self._state = kernel.find("jobs_state")

    async def stop(self) -> None: ...

    def lease_left_s(self) -> float:
        return 0.5

    async def propose(self, data: bytes) -> Committed:
        self.commands.append(data)
        return Committed(1, self._state.apply(1, data))


class _View:
    name = "directory_view"
    view = SimpleNamespace(loading=())
    index = None

    async def start(self, kernel: Kernel) -> None: ...

    async def stop(self) -> None: ...

    def subscribe(self, callback) -> None: ...

    def serving(self, service: str):
        return (ENGINE,)

    def wall_s(self) -> float:
        return 1000.0

    def is_cold(self, endpoint: str) -> bool:
        return False


@pytest.fixture
async def jobs():
    jobs = Jobs.from_config(SETTINGS)
    parts = (TimerService(), Counters.from_config(None), IdlePeerServer(), JobsState(), _View())
    kernel = Kernel.from_services((*parts, _Consensus(), jobs))
    await kernel.start()
    await jobs.submit(SubmitJob(job_of()))
    yield jobs, kernel.find("consensus")
    await kernel.stop()


async def _take_one_item(jobs: Jobs) -> int:
    """Make a runner's call for one item, and return the number of the assignment."""
    call = TakeWork("e1", "derby", "x", 7, 1, (), 1, 0.0)
    return (await jobs.take_work(call)).assignments[0].number


async def test_text_with_parts_is_written_to_the_log_once(jobs) -> None:
    # The replicas of the jobs' log are in different data centres. If the result contained the
    # complete text after its parts were committed, every text that takes more than one second would
    # be sent to the replicas twice.
    jobs, log = jobs
    number = await _take_one_item(jobs)
    first, last = "first" * 100, "last" * 100

    part = Outcome(number, PART, first, 1, (4,))
    await jobs.report_work(ReportWork("e1", 7, (part,)))
    done = Outcome(number, "done", last, 1, (5,), after=1)
    await jobs.report_work(ReportWork("e1", 7, (done,)))

    read = await jobs.reads.read_results(
        ReadResults(job_of().job, job_of().client_account, 0, 0.0, 9999)
    )
    assert read.results[0].output == f"{first}\n{last}"
    assert read.results[0].versions == (4, 5)
    commands = b"".join(log.commands)
    assert commands.count(first.encode()) == 1
    assert commands.count(last.encode()) == 1


async def test_text_without_parts_takes_one_command(jobs) -> None:
    jobs, log = jobs
    number = await _take_one_item(jobs)
    before = len(log.commands)

    await jobs.report_work(ReportWork("e1", 7, (Outcome(number, "done", "a\nb", 2, (4,)),)))

    assert len(log.commands) == before + 1


async def test_leader_returns_positions_of_long_results_and_any_store_returns_the_results(
    jobs,
) -> None:
    jobs, _ = jobs
    number = await _take_one_item(jobs)
    text = "x" * 5000
    await jobs.report_work(ReportWork("e1", 7, (Outcome(number, "done", text, 1, (4,)),)))
    name, account = job_of().job, job_of().client_account

    listed = await jobs.reads.read_results(
        ReadResults(name, account, 0, 0.0, 9999, inline_bytes=4000)
    )
    assert listed == ResultsListed(len(job_of().items), 1)
    read = await jobs.reads.read_listed(ReadListed(name, account, 0, listed.listed))
    assert [result.output for result in read.results] == [text]
    assert await jobs.reads.read_listed(ReadListed(name, "other", 0, 1)) == ResultsRead(0, ())
    assert await jobs.reads.read_listed(ReadListed("unknown", account, 0, 1)) == ResultsRead(0, ())


async def test_outcomes_of_an_earlier_epoch_are_not_confirmed(jobs) -> None:
    service, _ = jobs
    outcome = Outcome(1, "done", "text", 1, (4,))

    assert await service.report_work(ReportWork("e1", 6, (outcome,))) == WorkReported(
        accepted=False
    )


async def test_usage_of_accounts_is_committed_and_outlives_the_leader() -> None:
    # A new leader that forgot what an account has used would give it its share a second time.
    settings = replace(SETTINGS, policy=LoadPolicy(shares=True))
    service = Jobs.from_config(settings)
    state, log = JobsState(), _Consensus()
    parts = (TimerService(), Counters.from_config(None), IdlePeerServer(), state, _View())
    kernel = Kernel.from_services((*parts, log, service))
    await kernel.start()
    await service.submit(SubmitJob(job_of()))
    await _take_one_item(service)
    now = boot_now()
    for tick in range(8):
        await service._tick(now + tick * KEEP_EVERY_S / 4)
    log.term = 8

    (share,) = service.dispatcher().engine_time.shares("scorer")

    assert share.client_account == job_of().client_account
    assert 0.0 < share.used_s <= 2 * KEEP_EVERY_S
    restored = JobsState()
    restored.restore(state.snapshot())
    assert restored.usage == state.usage
    await kernel.stop()


async def test_a_leader_that_regains_its_lease_keeps_the_runs_of_its_runners(jobs) -> None:
    jobs, log = jobs
    number = await _take_one_item(jobs)
    (runner,) = jobs.dispatcher().runners.runner_by_address.values()
    log.lease_left_s = lambda: 0.0
    await jobs._tick(runner.received_at + 1.0)
    del log.lease_left_s
    await jobs._tick(runner.received_at + RUNNER_TIMEOUT_S + 0.5)

    assert number in jobs.dispatcher().run_by_number


async def test_decisions_leave_the_leader_time_to_answer_its_runners(jobs) -> None:
    # With a decision for each call, the leader of a large fleet answers too late, its runners
    # reject the late assignments, and each rejection leads to further calls.
    service, _ = jobs
    decision_s = 0.004
    spent_s = 0.0

    def decide(now: float) -> None:
        nonlocal spent_s
        time.sleep(decision_s)
        spent_s += decision_s

    service.dispatcher().assign_waiting_items = decide
    began_at = boot_now()
    calls = [TakeWork(f"e{n}", "derby", "x", 7, 1, (), 1, 0.2) for n in range(100)]
    await asyncio.gather(*(service.take_work(call) for call in calls))
    reports = [ReportWork(f"e{n}", 7, ()) for n in range(100)]
    await asyncio.gather(*(service.report_work(report) for report in reports))

    assert spent_s <= 0.5 * (boot_now() - began_at) + decision_s


async def test_an_answer_that_leaves_late_states_when_its_items_were_assigned(jobs) -> None:
    # A decision assigns items to many runners, whose answers leave one after the other. If the time
    # until an answer leaves counted as held, its runner would send items too late to a cold engine.
    service, _ = jobs
    busy_s = 0.1
    first = TakeWork("e1", "derby", "x", 7, 1, (), 0, 1.0)
    await service.take_work(replace(first, hold_s=0.0))
    called_at = boot_now()
    # The next decision is made while the call is held.
    service._decisions._pacing.decided(called_at - 0.02, called_at)
    waiting = asyncio.create_task(service.take_work(replace(first, sequence=2, free=1)))
    while not (runner := service.dispatcher().runners.runner_by_address["e1"]).outbox:
        await asyncio.sleep(0)
    time.sleep(busy_s)
    answer = await waiting

    assert len(answer.assignments) == 1
    assert answer.held_s <= runner.first_assigned_at - called_at
    assert boot_now() - called_at - answer.held_s >= busy_s


async def test_the_texts_of_one_report_are_divided_among_commands(jobs) -> None:
    # The texts of all runs of an entry came in one log entry, and together exceeded what a message
    # between stores may hold.
    jobs, log = jobs
    call = TakeWork("e1", "derby", "x", 7, 1, (), 3, 0.0)
    numbers = [assignment.number for assignment in (await jobs.take_work(call)).assignments]
    text = "x" * (MAX_COMMAND_CHARS * 2 // 3)
    before = len(log.commands)

    outcomes = tuple(Outcome(number, "done", text, 1, (4,)) for number in numbers)
    await jobs.report_work(ReportWork("e1", 7, outcomes))

    assert len(numbers) > 1
    assert len(log.commands) - before == len(numbers)
    assert max(len(data) for data in log.commands[before:]) < MAX_COMMAND_CHARS
    read = await jobs.reads.read_results(
        ReadResults(job_of().job, job_of().client_account, 0, 0.0, 9_999_999)
    )
    assert [result.output for result in read.results] == [text] * len(numbers)


async def test_large_items_reach_a_runner_in_answers_that_it_accepts(jobs) -> None:
    # Bodies of many items together exceeded what a call between daemons may hold. The runner got no
    # answer, its items were taken for lost, and the next answer failed likewise.
    jobs, _ = jobs
    items = tuple(replace(item, body=bytes(MAX_WORK_BYTES * 2 // 3)) for item in job_of().items)
    await jobs.submit(SubmitJob(replace(job_of("large"), items=items, priority=-1)))

    first = await jobs.take_work(TakeWork("e1", "derby", "x", 7, 1, (), 2, 0.0))
    numbers = [assignment.number for assignment in first.assignments]
    second = await jobs.take_work(TakeWork("e1", "derby", "x", 7, 2, tuple(numbers), 1, 0.0))

    assert [work.assignments[0].item.item for work in (first, second)] == ["i0", "i1"]
    assert [len(work.assignments) for work in (first, second)] == [1, 1]
    assert second.cancelled == ()
    assert len(jobs.dispatcher().run_by_number) == 2


async def test_items_of_a_job_are_stopped_while_its_end_is_not_yet_committed(jobs) -> None:
    # The log stood still while its leader kept the lease. The end of a job was never acknowledged,
    # and its items went on reaching engines.
    jobs, log = jobs
    number = await _take_one_item(jobs)
    log.propose = lambda data: asyncio.get_running_loop().create_future()

    ending = asyncio.create_task(jobs.end_job(EndJob(job_of().job, job_of().client_account)))
    await asyncio.sleep(0)
    work = await jobs.take_work(TakeWork("e1", "derby", "x", 7, 2, (number,), 4, 0.0))

    assert set(work.cancelled) == {number}
    assert work.assignments == ()
    assert not ending.done()
    ending.cancel()


async def test_an_item_that_waits_for_the_next_answer_does_not_outlive_its_job(jobs) -> None:
    # An item was assigned between two calls of its runner, and its job ended before the second one.
    # The item started after the end.
    jobs, _ = jobs
    await jobs.take_work(TakeWork("e1", "derby", "x", 7, 1, (), 0, 0.0))
    runner = jobs.dispatcher().runners.runner_by_address["e1"]
    runner.free_slots = 1
    jobs.dispatcher().assign_waiting_items(boot_now())
    assert len(runner.outbox) == 1
    await jobs.end_job(EndJob(job_of().job, job_of().client_account))

    work = await jobs.take_work(TakeWork("e1", "derby", "x", 7, 2, (), 1, 0.0))

    assert work.assignments == ()


async def test_a_failed_run_is_confirmed_only_once_its_failure_is_committed(jobs) -> None:
    # Another runner's call came between a failure and its commit, and took the failure over. The
    # report was answered before the failure was in the log, and a new leader did not know it.
    jobs, log = jobs
    work = await jobs.take_work(TakeWork("e1", "derby", "x", 7, 1, (), 2, 0.0))
    failed, running = (assignment.number for assignment in work.assignments)
    propose = log.propose
    commits: list[asyncio.Event] = []

    async def propose_later(data: bytes):
        commits.append(asyncio.Event())
        await commits[-1].wait()
        return await propose(data)

    log.propose = propose_later
    outcomes = (Outcome(running, PART, "text", 1, (4,)), Outcome(failed, "failed", run_id="r1"))
    reporting = asyncio.create_task(jobs.report_work(ReportWork("e1", 7, outcomes)))
    await asyncio.sleep(0.01)
    taking = asyncio.create_task(jobs.take_work(TakeWork("e2", "derby", "y", 7, 1, (), 0, 0.0)))
    await asyncio.sleep(0.01)
    commits[0].set()
    await asyncio.sleep(0.01)

    assert not reporting.done()
    for commit in commits:
        commit.set()
    assert await reporting == WorkReported()
    await taking
    job_record = jobs.dispatcher()._state.job_by_id[job_of().job]
    assert job_record.failed_runs_by_item == {"i0": ["r1"]}
