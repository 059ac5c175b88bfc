"""The admission of jobs on the leader, with a log whose commits the tests control."""

from __future__ import annotations

import asyncio
import dataclasses
from types import SimpleNamespace

import pytest
from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness
from unit.jobs.test_state import job_of

from ibisspring_consensus.proposals import Committed
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.jobs import JobAccepted, UnknownJob
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_core.settings.vm import STORE, VmSettings
from ibisspring_decisions.job_admission import RETURN_WINDOW_S
from ibisspring_jobs.admission import MAX_SUBMIT_AGE_S, Admission
from ibisspring_jobs.commands import AcceptJob, CloseJob, DropReservations, ReservePlace
from ibisspring_jobs.item_durations import MIN_OBSERVED
from ibisspring_jobs.job_commits import JobCommits

SETTINGS = VmSettings(
    "s1", STORE, "derby", "10.0.0.1:1", ("10.0.0.1:1",), policy=LoadPolicy(admission=True)
)
LOST = Refusal(Reason.MAY_HAVE_RUN, not_run=False)
NOT_APPENDED = Refusal(Reason.NO_LEADER, not_run=True)


class _Leader:
    """
    A store that leads the jobs' log, with one engine whose two slots are full.

    :param outcomes: what the next proposals return; a proposal without an outcome is applied.
    :param commits: set while proposals are answered.
    """

    def __init__(self) -> None:
        self.harness = DispatcherHarness(ENGINE)
        self.harness.poll()
        self.state = self.harness.state
        self.proposed: list[object] = []
        self.outcomes: list[Refusal] = []
        self.commits = asyncio.Event()
        self.commits.set()
        self.term = 7
        self.has_lease = True
        self.counters = Counters.from_config(None)
        self.admission = self.new_admission()

    def new_admission(self) -> Admission:
        """Return the admission of a new leader, to which only the log is known."""
        view = SimpleNamespace(
            wall_s=lambda: self.harness.wall_s,
            serving=lambda service: self.harness.engines,
            view=SimpleNamespace(evacuated=()),
            index=None,
            age_s=lambda: 0.1,
        )
        consensus = SimpleNamespace(term=self.term, leader_hint="10.0.0.2:1")
        admission = Admission(
            SETTINGS,
            self.state,
            view,
            consensus,
            self.counters,
            self._propose,
            JobCommits(self.state, self.counters, self._propose).commit,
            lambda: self.harness.dispatcher,
            lambda: self.has_lease,
        )
        for _ in range(MIN_OBSERVED):
            admission.load.durations.observe("scorer", 0, 10, 10.0)
        return admission

    async def _propose(self, command: object) -> object:
        self.proposed.append(command)
        await self.commits.wait()
        if self.outcomes:
            return self.outcomes.pop(0)
        self.harness.apply(command)
        return Committed(1, b"")

    async def submit(self, name: str = "new", sent_s: float | None = None, **changes) -> object:
        sent_s = self.harness.wall_s if sent_s is None else sent_s
        return await self.admission.submit(
            dataclasses.replace(job_of(name), submitted_s=sent_s, **changes)
        )

    def empty_engines(self) -> None:
        """End the job that fills the engine."""
        self.harness.apply(CloseJob("j"))


@pytest.fixture
async def leader() -> _Leader:
    return _Leader()


async def test_a_rejection_is_answered_after_its_place_is_committed(leader) -> None:
    leader.commits.clear()
    answer = asyncio.create_task(leader.submit())
    await asyncio.sleep(0.01)
    assert not answer.done()

    leader.commits.set()
    refusal = await answer

    assert (refusal.reason, refusal.not_run) == (Reason.CANNOT_FINISH, True)
    place = leader.state.reservation_by_job["new"]
    assert refusal.retry_after_s == pytest.approx(place.not_before_s - 1000.0)
    assert set(leader.state.job_by_id) == {"j"}
    assert leader.counters.count_by_name["jobs.rejected"] == 1


async def test_a_rejected_job_gets_the_same_answer_from_each_leader(leader) -> None:
    # The answer is lost, or the leader; the job comes again before its time at another entry.
    await leader.submit()
    place = leader.state.reservation_by_job["new"]

    leader.harness.wall_s += 0.1
    again = await leader.submit()
    leader.term += 1
    leader.admission = leader.new_admission()
    elsewhere = await leader.submit()

    assert again == elsewhere
    assert again.retry_after_s == pytest.approx(place.not_before_s - 1000.1)
    assert leader.state.reservation_by_job["new"] == place
    assert [type(command) for command in leader.proposed] == [ReservePlace]


async def test_a_returning_job_finds_its_place_though_the_engines_are_full(leader) -> None:
    await leader.submit()
    place = leader.state.reservation_by_job["new"]
    leader.admission = leader.new_admission()

    leader.harness.wall_s = place.not_before_s
    assert await leader.submit() == JobAccepted()

    assert leader.state.job_by_id["new"].job.submitted_s == place.first_seen_s
    assert not leader.state.reservation_by_job
    assert leader.counters.count_by_name["jobs.reservation_kept"] == 1


async def test_a_late_copy_of_a_rejected_submission_is_not_a_return(leader) -> None:
    # A message that was delayed on its way arrives when the place is free. Its caller has been told
    # that nothing runs, and may not come back.
    sent_s = leader.harness.wall_s
    await leader.submit()
    place = leader.state.reservation_by_job["new"]

    leader.harness.wall_s = place.not_before_s + 0.1
    assert (await leader.submit(sent_s=sent_s)).reason is Reason.CANNOT_FINISH
    leader.empty_engines()
    leader.harness.wall_s = sent_s + MAX_SUBMIT_AGE_S + 0.1
    answer = await leader.submit("other", sent_s=sent_s)

    assert (answer.reason, answer.not_run) == (Reason.TIMEOUT, False)
    assert set(leader.state.job_by_id) == {"j"}


async def test_a_lost_acceptance_is_never_followed_by_a_rejection(leader) -> None:
    # The leader proposed an acceptance and does not know whether it is committed. In the meantime
    # the engines fill up, so that the same job would be rejected.
    engines = leader.harness.engines
    leader.harness.engines = (
        *engines,
        dataclasses.replace(ENGINE, endpoint="engine-2"),
        dataclasses.replace(ENGINE, endpoint="engine-3"),
    )
    leader.outcomes = [LOST]
    assert not (await leader.submit()).not_run
    leader.harness.engines = engines

    answer = await leader.submit()
    assert (answer.reason, answer.not_run) == (Reason.MAY_HAVE_RUN, False)

    leader.harness.apply(leader.proposed[0])
    assert await leader.submit() == JobAccepted()


async def test_a_later_leader_knows_that_a_lost_acceptance_was_not_committed(leader) -> None:
    leader.empty_engines()
    leader.outcomes = [LOST]
    await leader.submit()

    leader.term += 1
    leader.admission._consensus.term = leader.term
    assert await leader.submit() == JobAccepted()


async def test_an_acceptance_that_was_not_appended_leaves_the_job_open(leader) -> None:
    leader.empty_engines()
    leader.outcomes = [NOT_APPENDED]

    assert isinstance(await leader.submit(), NotLeader)
    assert await leader.submit() == JobAccepted()


async def test_submissions_of_a_job_share_one_decision(leader) -> None:
    # The caller's connection breaks while the acceptance is being committed, and the job comes
    # again when the engines are full. A second decision could reject what is accepted.
    leader.empty_engines()
    leader.commits.clear()
    first = asyncio.create_task(leader.submit())
    await asyncio.sleep(0.01)
    first.cancel()
    second = asyncio.create_task(leader.submit())
    await asyncio.sleep(0.01)

    leader.commits.set()

    assert await second == JobAccepted()
    assert [type(command) for command in leader.proposed] == [AcceptJob]


async def test_jobs_whose_acceptance_is_being_committed_count_as_accepted(leader) -> None:
    # A hundred jobs arrive within one commit. If each were decided on without the others, all would
    # be accepted.
    leader.commits.clear()
    answers = [
        asyncio.create_task(leader.submit(f"new{number}", due_s=300.0, give_up_s=310.0))
        for number in range(100)
    ]
    await asyncio.sleep(0.05)
    leader.commits.set()
    done = await asyncio.gather(*answers)

    accepted = sum(answer == JobAccepted() for answer in done)
    # Two slots run 600 slot-seconds until the jobs are due; each takes 30, as does the first one.
    assert 10 <= accepted <= 22


async def test_a_store_that_lost_its_lease_does_not_reject(leader) -> None:
    # Another store may lead and have accepted the job meanwhile.
    leader.commits.clear()
    answer = asyncio.create_task(leader.submit())
    await asyncio.sleep(0.01)
    leader.has_lease = False
    leader.commits.set()

    assert await answer == NotLeader("10.0.0.2:1")


async def test_expired_places_are_dropped_and_counted(leader) -> None:
    await leader.submit()
    place = leader.state.reservation_by_job["new"]

    leader.harness.wall_s = place.not_before_s + RETURN_WINDOW_S
    await leader.admission.tick(1.0, {})
    assert leader.state.reservation_by_job
    leader.harness.wall_s += 0.1
    await leader.admission.tick(1.0, {})

    assert not leader.state.reservation_by_job
    assert leader.proposed[-1] == DropReservations(("new",))
    assert leader.counters.count_by_name["jobs.reservation_expired"] == 1


async def test_a_job_without_a_place_keeps_its_first_submission(leader) -> None:
    # Two jobs of one account need more than the rest of their time. The second has no place, and is
    # decided on again later, with the limits of its first submission.
    await leader.submit("first", give_up_s=18.0)
    refusal = await leader.submit("second", give_up_s=18.0)
    kept = leader.state.reservation_by_job["second"]
    assert (kept.slot_s, kept.first_seen_s) == (0.0, 1000.0)

    leader.harness.wall_s = kept.not_before_s - 0.5
    assert (await leader.submit("second", give_up_s=18.0)).not_run
    leader.empty_engines()
    leader.harness.wall_s = kept.not_before_s
    assert await leader.submit("second", give_up_s=18.0) == JobAccepted()
    assert leader.state.job_by_id["second"].job.submitted_s == 1000.0
    assert refusal.not_run


async def test_the_id_of_a_rejected_job_of_another_account_is_unknown(leader) -> None:
    await leader.submit()

    assert await leader.submit(client_account="other") == UnknownJob()


async def test_no_job_is_rejected_before_runs_were_observed(leader) -> None:
    # A new leader that knows nothing of the items' durations must not reject by a guess.
    leader.admission.load.durations.__init__()

    assert await leader.submit() == JobAccepted()


async def test_the_error_of_a_prediction_is_observed(leader) -> None:
    leader.empty_engines()
    await leader.submit()
    leader.harness.wall_s += 20.0
    leader.harness.apply(CloseJob("new"))
    await leader.admission.tick(1.0, {})

    keys = leader.counters.latencies.histogram_by_key
    assert ("job_end_error_seconds", "later") in keys
