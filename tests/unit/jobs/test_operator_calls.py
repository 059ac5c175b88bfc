"""
Operators' requests on the jobs' leader, with a log that applies each command when proposed.

The logs of two leaders are played by a second service on the same state.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from unit.jobs.test_service import SETTINGS, _Consensus, _View
from unit.jobs.test_state import job_of, result

from fakes.still_server import IdlePeerServer
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.job_control import (
    ChangeHold,
    EndAnyJob,
    HoldChanged,
    JobRead,
    ReadJob,
    ReadShares,
    WaitCause,
)
from ibisspring_core.messages.jobs import JobEnded, SubmitJob, TakeWork, UnknownJob
from ibisspring_core.timer import TimerService
from ibisspring_decisions.account_shares import AccountUsage
from ibisspring_jobs.commands import COMMANDS, ForgetJobs, KeepUsage, RecordResults
from ibisspring_jobs.operator_calls import OperatorCalls
from ibisspring_jobs.service import Jobs
from ibisspring_jobs.state import JobsState


class _Log(_Consensus):
    """A log whose proposals can be lost, before or after the command is applied."""

    refuses = False
    loses_answers = False
    confirms = True

    async def propose(self, data: bytes):
        if self.refuses:
            return Refusal(Reason.NO_LEADER, True, 0.1, "")
        committed = await super().propose(data)
        return Refusal(Reason.MAY_HAVE_RUN, False, 0.1, "") if self.loses_answers else committed

    async def confirm_read(self):
        return 1 if self.confirms else Refusal(Reason.NO_LEADER, True, 0.1, "")


class Leader:
    """The services of a store that leads the jobs' log."""

    def __init__(self) -> None:
        self.jobs = Jobs.from_config(SETTINGS)
        self.calls = OperatorCalls.from_config(SETTINGS)
        self.log = _Log()
        self.state = JobsState()
        # A paused timer: only the tests' calls change what is assigned.
        parts = (TimerService(), Counters.from_config(None), IdlePeerServer(), self.state, _View())
        self.kernel = Kernel.from_services((*parts, self.log, self.jobs, self.calls))

    def apply(self, command: object) -> None:
        self.state.apply(1, COMMANDS.encode(command))

    async def take(self, sequence: int = 1, running: tuple[int, ...] = (), free: int = 1):
        """Make a runner's call for work and return the assigned items by number."""
        call = TakeWork("e1", "derby", "x", 7, sequence, running, free, 0.0)
        work = await self.jobs.take_work(call)
        return {one.number: one.item.item for one in work.assignments}


@pytest.fixture
async def leader():
    leader = Leader()
    await leader.kernel.start()
    await leader.jobs.submit(SubmitJob(job_of()))
    yield leader
    await leader.kernel.stop()


def hold(request: str, after: str = "") -> ChangeHold:
    return ChangeHold("j", True, request, after)


def release(request: str, after: str = "") -> ChangeHold:
    return ChangeHold("j", False, request, after)


async def test_no_item_of_a_held_job_is_assigned_until_it_is_released(leader) -> None:
    answer = await leader.calls.change_hold(hold("r1"))

    assert answer == HoldChanged("j", True, "r1", running=0, waiting=3)
    assert await leader.take(1) == {}
    await leader.calls.change_hold(release("r2", after="r1"))
    assert len(await leader.take(2)) >= 1


async def test_runs_of_a_held_job_go_on_and_their_items_do_not_start_again(leader) -> None:
    (number,) = await leader.take(1)
    holding = asyncio.create_task(leader.calls.change_hold(hold("r1")))
    await asyncio.sleep(0)

    assert await leader.take(2, running=(number,)) == {}
    assert (await holding).running == 1
    # The runner lost the run: its next call does not name it.
    assert await leader.take(3) == {}
    read = await leader.calls.read_job(ReadJob("j"))
    assert (read.running, read.waiting, read.causes) == (0, 3, (WaitCause("held"),))


async def test_a_hold_is_answered_only_when_the_runner_has_begun_what_was_assigned(leader) -> None:
    # An assignment that was sent right before the hold reaches its runner after the commit. If the
    # hold were answered before, an operator would see an item start after the answer.
    (number,) = await leader.take(1)
    holding = asyncio.create_task(leader.calls.change_hold(hold("r1")))
    await asyncio.sleep(0.1)
    assert not holding.done()

    await leader.take(2, running=(number,))

    assert (await holding).running == 1


async def test_a_complete_text_of_a_held_job_is_not_scored(leader) -> None:
    # A reward call that is assigned anew is a start as well.
    items = leader.jobs.dispatcher().items
    items.progress_of(("j", "i0")).complete = True
    items.unscored.add(("j", "i0"))
    await leader.calls.change_hold(hold("r1"))

    assert await leader.take(1) == {}
    assert ("j", "i0") in items.unscored


async def test_a_held_job_ends_by_its_time_limit(leader) -> None:
    await leader.calls.change_hold(hold("r1"))
    record = leader.state.job_by_id["j"]
    record.job = replace(record.job, submitted_s=1000.0 - record.job.give_up_s - 2.0)

    abandoned = leader.jobs.dispatcher().sweep(5.0)

    assert len(abandoned) == 3


async def test_a_repeated_request_changes_nothing_and_is_answered_alike(leader) -> None:
    first = await leader.calls.change_hold(hold("r1"))
    commands = len(leader.log.commands)

    assert await leader.calls.change_hold(hold("r1")) == first
    assert await leader.calls.change_hold(hold("r1", after="r1")) == first
    assert len(leader.log.commands) == commands


async def test_a_hold_that_was_delayed_in_the_network_does_not_undo_the_release(leader) -> None:
    # The operator got no answer to a hold, decided otherwise and released the job. The copy of the
    # hold that arrives last was sent when no request was known.
    released = await leader.calls.change_hold(release("r2"))
    late = await leader.calls.change_hold(hold("r1"))

    assert released.held is False
    assert (late.reason, late.not_run) == (Reason.CONFLICT, True)
    assert not leader.state.job_by_id["j"].held


async def test_a_repeat_of_a_hold_that_was_released_since_is_a_conflict(leader) -> None:
    await leader.calls.change_hold(hold("r1"))
    await leader.calls.change_hold(release("r2", after="r1"))

    repeat = await leader.calls.change_hold(hold("r1", after="r2"))

    assert (repeat.reason, repeat.not_run) == (Reason.CONFLICT, False)
    assert not leader.state.job_by_id["j"].held


async def test_a_hold_whose_leader_was_lost_halfway_is_answered_by_the_next_one(leader) -> None:
    # The command is committed but its leader steps down before it knows, and the caller asks the
    # next leader, which has the same log.
    leader.log.loses_answers = True
    assert isinstance(await leader.calls.change_hold(hold("r1")), NotLeader)
    leader.log.loses_answers = False
    leader.log.term = 8

    assert (await leader.calls.change_hold(hold("r1"))).held
    assert leader.state.job_by_id["j"].hold_requests == ("r1",)


async def test_a_hold_survives_a_restart_from_a_snapshot(leader) -> None:
    await leader.calls.change_hold(hold("r1"))
    await leader.calls.change_hold(release("r2", after="r1"))
    restored = JobsState()

    restored.restore(leader.state.snapshot())

    assert restored.job_by_id["j"].hold_requests == ("r1", "r2")
    assert not restored.job_by_id["j"].held


async def test_a_store_without_the_lease_answers_that_it_does_not_lead(leader) -> None:
    leader.log.is_leader = False
    leader.log.leader_hint = "10.0.0.2:1"
    answer = leader.calls._leader_only(leader.calls.change_hold)

    assert await answer(hold("r1")) == NotLeader("10.0.0.2:1")
    assert leader.state.job_by_id["j"].hold_requests == ()


async def test_an_unknown_job_is_reported_only_after_a_quorum_confirmed_it(leader) -> None:
    messages = (ChangeHold("k", True, "r1", ""), EndAnyJob("k", "r2"), ReadJob("k"))
    handlers = (leader.calls.change_hold, leader.calls.end_job, leader.calls.read_job)

    for handler, message in zip(handlers, messages, strict=True):
        leader.log.confirms = True
        assert await handler(message) == UnknownJob()
        leader.log.confirms = False
        assert isinstance(await handler(message), NotLeader)


async def test_an_end_cancels_the_runs_and_may_be_repeated(leader) -> None:
    (number,) = await leader.take(1)

    assert await leader.calls.end_job(EndAnyJob("j", "r1")) == JobEnded()
    assert await leader.calls.end_job(EndAnyJob("j", "r1")) == JobEnded()

    call = TakeWork("e1", "derby", "x", 7, 2, (number,), 1, 0.0)
    work = await leader.jobs.take_work(call)
    assert (set(work.cancelled), work.assignments) == ({number}, ())
    refused = await leader.calls.change_hold(hold("r2"))
    assert (refused.reason, refused.not_run) == (Reason.BAD_REQUEST, True)


async def test_an_end_that_was_not_committed_is_not_answered(leader) -> None:
    leader.log.refuses = True

    assert isinstance(await leader.calls.end_job(EndAnyJob("j", "r1")), NotLeader)
    assert not leader.state.job_by_id["j"].ended


async def test_a_change_of_a_job_that_is_removed_meanwhile_is_answered_as_unknown(leader) -> None:
    await leader.take(1)
    holding = asyncio.create_task(leader.calls.change_hold(hold("r1")))
    await asyncio.sleep(0.05)
    leader.apply(ForgetJobs(("j",)))

    assert await holding == UnknownJob()


async def test_the_details_show_items_groups_and_the_share_of_the_account(leader) -> None:
    leader.apply(KeepUsage((AccountUsage("scorer", "training", 12.5, 990.0),)))
    (number,) = await leader.take(1)
    await leader.take(2, running=(number,), free=0)
    leader.apply(RecordResults("j", (result("i2"),)))

    read = await leader.calls.read_job(ReadJob("j"))

    assert isinstance(read, JobRead)
    assert (read.total, read.listed, read.running, read.waiting) == (3, 1, 1, 1)
    assert (read.complete_groups, read.wanted_groups) == (0, 0)
    assert (read.due_in_s, read.predicted_end_in_s) == (7.5, None)
    assert read.share.used_s == 12.5
    shares = (await leader.calls.read_shares(ReadShares())).shares
    assert shares == (read.share,)
    assert (shares[0].running, shares[0].waiting, shares[0].owed_s) == (1, 1, None)
