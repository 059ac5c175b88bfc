"""
The service `operator_calls`: operators look at, hold, release and end jobs.

A change is answered once it is committed and in force on the jobs' leader. The ids of applied
requests are part of the replicated state, so that a request which is repeated, delayed in the
network, or answered by another leader than the one that applied it has one clear outcome.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.job_control import (
    AccountShare,
    ChangeHold,
    EndAnyJob,
    HoldChanged,
    JobRead,
    ReadJob,
    ReadShares,
    SharesRead,
)
from ibisspring_core.messages.jobs import JobEnded, UnknownJob
from ibisspring_jobs.commands import COMMANDS, HoldJob
from ibisspring_jobs.load_reports import predicted_end_s, share_balances
from ibisspring_jobs.runners import RUNNER_TIMEOUT_S
from ibisspring_jobs.wait_causes import count_items, wait_causes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_jobs.dispatcher import Dispatcher
    from ibisspring_jobs.state import JobRecord

# Seconds for which a hold waits for the runners to confirm what was assigned before it. Runs of
# runners that are silent for longer than the first term are removed.
CONFIRM_TIMEOUT_S = RUNNER_TIMEOUT_S + 0.5
POLL_S = 0.02
NEVER_SENT = -1


class OperatorCalls:
    """Answers the operators' messages about jobs on the leader of the jobs' log."""

    name = "operator_calls"

    @classmethod
    def from_config(cls, settings: VmSettings) -> OperatorCalls:
        """
        Build the service of a store.

        :param settings: the store's settings, already validated.
        """
        return cls()

    async def start(self, kernel: Kernel) -> None:
        """Register the message handlers."""
        self._jobs = kernel.find("jobs")
        self._state = kernel.find("jobs_state")
        self._view = kernel.find("directory_view")
        self._consensus = kernel.find("consensus")
        self._counters = kernel.find("counters")
        server = kernel.find("peer_server")
        handler_by_type: dict[type[Any], Callable[[Any], Awaitable[Any]]] = {
            ReadJob: self.read_job,
            ReadShares: self.read_shares,
            ChangeHold: self.change_hold,
            EndAnyJob: self.end_job,
        }
        for message_type, handler in handler_by_type.items():
            server.register_handler(message_type, self._leader_only(handler))

    async def stop(self) -> None:
        """No-op: there is no task or connection to close."""

    def _leader_only(self, handler: Any) -> Any:
        async def answer(message: Any) -> Any:
            if not self._jobs.has_leader_lease():
                return self._not_leader()
            return await handler(message)

        return answer

    def _not_leader(self) -> NotLeader:
        return NotLeader(self._consensus.leader_hint)

    async def read_job(self, message: ReadJob) -> Any:
        """Return the details of a job; UnknownJob if a quorum confirmed that it does not exist."""
        job_record = await self._jobs.reads.find_any(message.job)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        return self._details(self._jobs.dispatcher(), job_record)

    def _details(self, dispatcher: Dispatcher, job_record: JobRecord) -> JobRead:
        job = job_record.job
        wall_s = self._view.wall_s()
        counts = count_items(dispatcher, job_record)
        causes = (
            wait_causes(dispatcher, dispatcher.context, job_record, boot_now())
            if counts.waiting
            else ()
        )
        open_groups = {item.group for item in job_record.item_by_id.values()}
        end_s = predicted_end_s(dispatcher, job.job)
        shares = {(one.service, one.client_account): one for one in self._shares(dispatcher)}
        key = (job.service, job.client_account)
        return JobRead(
            job=job.job,
            client_account=job.client_account,
            service=job.service,
            model=job.model,
            priority=job.priority,
            held=job_record.held and not job_record.ended,
            hold_request=_newest_request(job_record),
            ended=job_record.ended,
            total=job_record.total,
            listed=len(job_record.results),
            running=counts.running,
            waiting=counts.waiting,
            complete_groups=(
                None if job_record.ended else len(job_record.groups) - len(open_groups)
            ),
            wanted_groups=job.wanted_groups,
            due_in_s=round(job.submitted_s + job.due_s - wall_s, 3),
            give_up_in_s=round(job.submitted_s + job.give_up_s - wall_s, 3),
            causes=causes,
            predicted_end_in_s=round(end_s - wall_s, 3) if end_s is not None else None,
            share=shares.get(key, AccountShare(*key, 0.0, 0, 0)),
        )

    async def read_shares(self, message: ReadShares) -> SharesRead:
        """Return the engine time of the accounts with open items or used engine time."""
        return SharesRead(self._shares(self._jobs.dispatcher()))

    def _shares(self, dispatcher: Dispatcher) -> tuple[AccountShare, ...]:
        used_s = {(one.service, one.client_account): one.used_s for one in self._state.usage}
        running: Counter[tuple[str, str]] = Counter()
        waiting: Counter[tuple[str, str]] = Counter()
        for run in dispatcher.run_by_number.values():
            job_record = self._state.job_by_id.get(run.job)
            if job_record is not None and not run.scoring:
                running[_account_of(job_record)] += 1
        for job_record in self._state.job_by_id.values():
            if job_record.item_by_id:
                waiting[_account_of(job_record)] += count_items(dispatcher, job_record).waiting
        balances = share_balances(dispatcher)
        shares = []
        for key in sorted({*used_s, *running, *waiting, *balances}):
            balance = balances.get(key)
            shares.append(
                AccountShare(
                    *key,
                    used_s=round(balance.used_s if balance else used_s.get(key, 0.0), 3),
                    running=running[key],
                    waiting=waiting[key],
                    lent_s=round(balance.lent_s, 3) if balance else None,
                    owed_s=round(balance.owed_s, 3) if balance else None,
                )
            )
        return tuple(shares)

    async def change_hold(self, message: ChangeHold) -> Any:
        """
        Hold or release a job, and answer once this is committed and in force.

        :return: HoldChanged; UnknownJob; a refusal if the job has ended, or with CONFLICT if
            another request came first or since; NotLeader if the caller is to ask again.
        """
        job_record = await self._jobs.reads.find_any(message.job)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        if message.request not in job_record.hold_requests and not job_record.ended:
            command = HoldJob(message.job, message.held, message.request, message.after)
            committed = await self._consensus.propose(COMMANDS.encode(command))
            if isinstance(committed, Refusal):
                # The next leader may commit the command; it recognises the repeated request.
                return self._not_leader()
            self._log_hold(message, job_record)
        if message.held:
            await self._wait_until_confirmed(message.job)
        return self._hold_answer(message)

    def _log_hold(self, message: ChangeHold, job_record: JobRecord) -> None:
        applied = _newest_request(job_record) == message.request
        self._counters.add("jobs.hold_changed" if applied else "jobs.hold_refused")
        eliot.log_message(
            "jobs:hold_changed",
            job=message.job,
            held=message.held,
            request=message.request,
            applied=applied,
            newest=_newest_request(job_record),
        )

    async def _wait_until_confirmed(self, job: str) -> None:
        """Wait until the runners run, or have lost, what was assigned to them before the hold."""
        dispatcher = self._jobs.dispatcher()
        end_s = boot_now() + CONFIRM_TIMEOUT_S
        while boot_now() < end_s and self._jobs.has_leader_lease():
            if not _unconfirmed_runs(dispatcher, job):
                return
            await asyncio.sleep(POLL_S)
        self._counters.add("jobs.hold_not_confirmed")

    def _hold_answer(self, message: ChangeHold) -> Any:
        if not self._jobs.has_leader_lease():
            return self._not_leader()
        job_record = self._state.job_by_id.get(message.job)
        if job_record is None:
            return UnknownJob()
        applied = message.request in job_record.hold_requests
        if job_record.ended:
            return Refusal(Reason.BAD_REQUEST, not applied, None, f"job {message.job} has ended")
        if not applied:
            detail = f"another request, {_newest_request(job_record)}, came first"
            return Refusal(Reason.CONFLICT, True, None, detail)
        if job_record.hold_requests[-1] != message.request:
            detail = f"was carried out, but {_newest_request(job_record)} came after it"
            return Refusal(Reason.CONFLICT, False, None, detail)
        counts = count_items(self._jobs.dispatcher(), job_record)
        return HoldChanged(
            message.job, job_record.held, message.request, counts.running, counts.waiting
        )

    async def end_job(self, message: EndAnyJob) -> Any:
        """End a job of any account, and answer once its end is committed and its runs cancelled."""
        job_record = await self._jobs.reads.find_any(message.job)
        if isinstance(job_record, (NotLeader, UnknownJob)):
            return job_record
        if not job_record.ended:
            committed = await self._jobs.close_job(message.job)
            if isinstance(committed, Refusal):
                return self._not_leader()
            eliot.log_message(
                "jobs:ended_by_operator",
                job=message.job,
                listed=len(job_record.results),
                request=message.request,
            )
        return JobEnded()


def _unconfirmed_runs(dispatcher: Dispatcher, job: str) -> list[int]:
    """Return the runs of a job that are assigned and not yet reported as running by a runner."""
    unconfirmed = []
    for number, run in dispatcher.run_by_number.items():
        runner = dispatcher.runners.runner_by_address.get(run.runner)
        if run.job != job or runner is None:
            continue
        if runner.sequence <= runner.sequence_by_number.get(number, NEVER_SENT):
            unconfirmed.append(number)
    return unconfirmed


def _newest_request(job_record: JobRecord) -> str:
    return job_record.hold_requests[-1] if job_record.hold_requests else ""


def _account_of(job_record: JobRecord) -> tuple[str, str]:
    return (job_record.job.service, job_record.job.client_account)


__all__ = ["OperatorCalls"]
