"""
Admission of jobs, on the leader of the jobs' log.

A rejection promises that no item of the job runs. Therefore there is at most one decision on a job
at a time, a rejection is answered only after its record is committed and while this store still
holds the leader lease, and once an acceptance was proposed, the answer is an acceptance or that
nothing is confirmed until it is known whether the proposal was committed.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.jobs import JobAccepted, UnknownJob
from ibisspring_decisions.job_admission import (
    AdmissionInputs,
    CandidateJob,
    JobAdmitted,
    JobRejected,
    decide_admission,
    holds_place,
    rejection_without_place,
    repeated_rejection,
)
from ibisspring_decisions.job_ends import fluid_ends
from ibisspring_jobs.admission_inputs import ServiceLoad
from ibisspring_jobs.commands import DropReservations, ReservePlace
from ibisspring_jobs.job_end_predictions import Predictions

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_consensus import ConsensusNode
    from ibisspring_core.counters import Counters
    from ibisspring_core.directory_view import DirectoryView
    from ibisspring_core.messages.jobs import Job
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_decisions.group_order import GroupWork
    from ibisspring_decisions.job_admission import EngineUse, Reservation
    from ibisspring_decisions.job_ends import EndPredictor
    from ibisspring_jobs.dispatcher import Dispatcher
    from ibisspring_jobs.state import JobsState

# Seconds after which a submission is a late copy whose caller has been answered otherwise; entries
# wait at most 2 s for the answer.
MAX_SUBMIT_AGE_S = 3.0


class Admission:
    """
    Accepts jobs, or rejects them with a place.

    :param load: what is known about the load of the services.
    :param propose: proposes a command of the jobs' log.
    :param commit: adds a job to the jobs' log.
    :param dispatcher: returns the dispatcher of the current epoch.
    :param has_lease: whether no other store can lead the jobs' log now.
    :param predict: predicts when jobs end.
    """

    def __init__(
        self,
        settings: VmSettings,
        state: JobsState,
        view: DirectoryView,
        consensus: ConsensusNode,
        counters: Counters,
        propose: Callable[[Any], Awaitable[Any]],
        commit: Callable[[Job], Awaitable[Any]],
        dispatcher: Callable[[], Dispatcher],
        has_lease: Callable[[], bool],
        predict: EndPredictor = fluid_ends,
    ) -> None:
        self.load = ServiceLoad(settings, state, view)
        self._state = state
        self._view = view
        self._consensus = consensus
        self._counters = counters
        self._propose = propose
        self._commit = commit
        self._dispatcher = dispatcher
        self._has_lease = has_lease
        self._predict = predict
        self._predictions = Predictions(state, counters)
        self._decision_by_job: dict[str, asyncio.Task[Any]] = {}
        # Work and places of decisions that are being committed: other decisions count them too.
        self._accepting_by_job: dict[str, tuple[str, tuple[GroupWork, ...]]] = {}
        self._reserving_by_job: dict[str, Reservation] = {}
        # Term in which an acceptance was proposed whose outcome this store does not know.
        self._unsettled_term_by_job: dict[str, int] = {}

    async def submit(self, job: Job) -> Any:
        """
        Answer the submission of a job.

        Submissions of the same job share one decision, and a caller that leaves does not end it.

        :param job: the job; its `submitted_s` is the time at which the submission was sent.
        :return: `JobAccepted`; `NotLeader`; `UnknownJob` if the id belongs to another account; or a
            refusal, which has CANNOT_FINISH and `not_run` if the job is rejected.
        """
        decision = self._decision_by_job.get(job.job)
        if decision is None:
            decision = asyncio.create_task(self._decide(job), name="jobs:admission")
            self._decision_by_job[job.job] = decision
            decision.add_done_callback(lambda _: self._decision_by_job.pop(job.job, None))
        return await asyncio.shield(decision)

    async def tick(self, now: float, peak_by_service: dict[str, int]) -> None:
        """
        Drop the reservations that have expired, and compare predictions with what happened.

        :param now: seconds since boot.
        :param peak_by_service: recent maximum of open items of each service.
        """
        self.load.watch_growth(peak_by_service, now)
        wall_s = self._view.wall_s()
        self._predictions.check(wall_s)
        expired = [
            kept
            for kept in self._state.reservation_by_job.values()
            if wall_s > kept.expires_s and kept.job not in self._decision_by_job
        ]
        if not expired:
            return
        committed = await self._propose(DropReservations(tuple(kept.job for kept in expired)))
        if isinstance(committed, Refusal):
            return
        for kept in expired:
            if kept.slot_s:
                self._counters.add("jobs.reservation_expired")
                eliot.log_message("jobs:place_expired", job=kept.job, slot_s=kept.slot_s)

    async def _decide(self, job: Job) -> Any:
        now = self._view.wall_s()
        asked_s = min(now, job.submitted_s or now)
        if job.job in self._state.job_by_id:
            return self._accepted_answer(job)
        term = self._unsettled_term_by_job.get(job.job)
        if term is not None and term == self._consensus.term:
            return _not_confirmed()
        # A leader of a later term has applied all that earlier terms committed.
        self._unsettled_term_by_job.pop(job.job, None)
        kept = self._state.reservation_by_job.get(job.job)
        if kept is not None and kept.client_account != job.client_account:
            return UnknownJob()
        if now - asked_s > MAX_SUBMIT_AGE_S:
            eliot.log_message("jobs:late_copy", job=job.job, age_s=now - asked_s)
            return Refusal(Reason.TIMEOUT, not_run=False, detail="a late copy of a submission")
        if kept is None:
            return await self._decide_anew(replace(job, submitted_s=asked_s), now)
        rejected = repeated_rejection(kept, asked_s, now)
        if rejected is not None:
            return _rejection(rejected)
        job = replace(job, submitted_s=kept.first_seen_s)
        if not holds_place(kept, asked_s):
            return await self._decide_anew(job, now)
        answer = await self._accept(job, self.load.works_of_new(job) or (), None)
        if isinstance(answer, JobAccepted):
            self._counters.add("jobs.reservation_kept")
            eliot.log_message("jobs:returned", job=job.job, after_s=now - kept.first_seen_s)
        return answer

    def _accepted_answer(self, job: Job) -> JobAccepted | UnknownJob:
        job_record = self._state.job_by_id.get(job.job)
        if job_record is None or job_record.job.client_account != job.client_account:
            return UnknownJob()
        return JobAccepted()

    async def _decide_anew(self, job: Job, now: float) -> Any:
        groups = self.load.works_of_new(job)
        if groups is None:
            return await self._accept(job, (), None)
        candidate = CandidateJob(
            job=job.job,
            service=job.service,
            client_account=job.client_account,
            first_seen_s=job.submitted_s,
            due_s=job.submitted_s + job.due_s,
            give_up_s=job.submitted_s + job.give_up_s,
            groups=groups,
        )
        inputs = self._inputs(job)
        decision = decide_admission(candidate, inputs, now, self._predict)
        if isinstance(decision, JobAdmitted):
            return await self._accept(job, groups, decision.predicted_end_s, inputs.use)
        self._log_rejection(candidate, inputs, decision, now)
        kept = decision.reservation
        if kept is None:
            kept = rejection_without_place(candidate, decision.retry_after_s, now)
        return await self._reject(job, kept)

    def _inputs(self, job: Job) -> AdmissionInputs:
        dispatcher = self._dispatcher()
        groups = list(self.load.open_works(job.service, dispatcher))
        for job_id, (service, works) in self._accepting_by_job.items():
            if service == job.service and job_id not in self._state.job_by_id:
                groups.extend(works)
        reservations = {**self._state.reservation_by_job, **self._reserving_by_job}
        reservations.pop(job.job, None)
        return AdmissionInputs(
            tuple(groups),
            tuple(kept for kept in reservations.values() if kept.service == job.service),
            self.load.engine_use(job.service, dispatcher, boot_now()),
        )

    async def _accept(
        self,
        job: Job,
        groups: tuple[GroupWork, ...],
        predicted_end_s: float | None,
        use: EngineUse | None = None,
    ) -> Any:
        term = self._consensus.term
        self._unsettled_term_by_job[job.job] = term
        self._accepting_by_job[job.job] = (job.service, groups)
        try:
            committed = await self._commit(job)
        finally:
            del self._accepting_by_job[job.job]
        if isinstance(committed, Refusal):
            if committed.not_run:
                del self._unsettled_term_by_job[job.job]
                return NotLeader(self._consensus.leader_hint)
            return _not_confirmed()
        del self._unsettled_term_by_job[job.job]
        if job.job not in self._state.job_by_id:
            return _not_confirmed()
        eliot.log_message(
            "jobs:accepted",
            job=job.job,
            items=len(job.items),
            model=job.model,
            predicted_end_s=predicted_end_s,
            slots=use.slots if use is not None else None,
            running=use.running if use is not None else None,
            waiting=use.waiting if use is not None else None,
        )
        if predicted_end_s is not None:
            self._predictions.add(job.job, predicted_end_s)
        return self._accepted_answer(job)

    async def _reject(self, job: Job, kept: Reservation) -> Any:
        earlier = self._state.reservation_by_job.get(job.job)
        self._reserving_by_job[job.job] = kept
        try:
            if earlier is not None and earlier.slot_s:
                await self._propose(DropReservations((job.job,)))
            committed = await self._propose(ReservePlace(kept))
        finally:
            del self._reserving_by_job[job.job]
        if isinstance(committed, Refusal) or not self._has_lease():
            return NotLeader(self._consensus.leader_hint)
        if job.job in self._state.job_by_id:
            return self._accepted_answer(job)
        self._counters.add("jobs.rejected")
        retry_after_s = max(0.0, kept.not_before_s - self._view.wall_s())
        return _rejection(JobRejected(kept if kept.slot_s else None, retry_after_s))

    def _log_rejection(
        self, candidate: CandidateJob, inputs: AdmissionInputs, decision: JobRejected, now: float
    ) -> None:
        use = inputs.use
        eliot.log_message(
            "jobs:rejected",
            job=candidate.job,
            client_account=candidate.client_account,
            first_seen_s=candidate.first_seen_s,
            predicted_end_in_s=decision.predicted_end_s - now,
            due_in_s=candidate.due_s - now,
            give_up_in_s=candidate.give_up_s - now,
            retry_after_s=decision.retry_after_s,
            place=decision.reservation is not None,
            slot_s=sum(group.remaining_s for group in candidate.groups),
            open_slot_s=sum(group.remaining_s for group in inputs.groups),
            reserved_slot_s=sum(kept.slot_s for kept in inputs.reservations),
            slots=use.slots,
            further_slots=use.all_slots - use.slots,
            running=use.running,
            waiting=use.waiting,
            observed_runs=self.load.durations.observed(candidate.service),
            view_age_s=self._view.age_s(),
        )


def _not_confirmed() -> Refusal:
    return Refusal(
        Reason.MAY_HAVE_RUN, not_run=False, detail="the acceptance of the job is not confirmed"
    )


def _rejection(rejected: JobRejected) -> Refusal:
    detail = "the engines cannot run the job in time"
    if rejected.reservation is not None:
        detail += "; a place is reserved"
    return Refusal(Reason.CANNOT_FINISH, True, rejected.retry_after_s, detail)


__all__ = ["MAX_SUBMIT_AGE_S", "Admission"]
