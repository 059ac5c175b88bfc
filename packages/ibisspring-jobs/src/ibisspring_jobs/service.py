"""The service `jobs`: accepts, lists and ends jobs, and dispatches their items, on the leader."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.jobs import (
    COMPLETED,
    PART,
    BodyRead,
    EndJob,
    JobAccepted,
    JobEnded,
    ReadBody,
    ReadListed,
    ReadResults,
    ReportWork,
    ResultsListed,
    ResultsRead,
    SubmitJob,
    TakeWork,
    UnknownJob,
    Work,
    WorkReported,
)
from ibisspring_jobs.commands import (
    COMMANDS,
    AcceptJob,
    CloseJob,
    ForgetJobs,
    KeepTexts,
    RecordKept,
    RecordResults,
)
from ibisspring_jobs.dispatcher import Dispatcher, Surroundings
from ibisspring_jobs.peaks import Peaks

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import ItemResult, Job, TextPart
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_jobs.state import KeptJob

TICK_S = 0.1


class Jobs:
    """The calls of entries and runners."""

    name = "jobs"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._dispatcher: Dispatcher | None = None
        self._listed = asyncio.Event()
        self._peaks = Peaks()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Jobs:
        """
        Build the service.

        :param settings: checked settings of a store.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Register what is answered here."""
        self._consensus = kernel.find("consensus")
        self._state = kernel.find("jobs_state")
        self._view = kernel.find("directory_view")
        self._counters = kernel.find("counters")
        self._state.subscribe(self._changed)
        self._view.subscribe(self._match)
        server = kernel.find("peer_server")
        handler_by_type = {
            SubmitJob: self.submit,
            ReadResults: self.read_results,
            ReadBody: self.read_body,
            EndJob: self.end,
            TakeWork: self.take_work,
            ReportWork: self.report_work,
        }
        for message_type, handler in handler_by_type.items():
            server.answer(message_type, self._only_leading(handler))
        server.answer(ReadListed, self.read_listed)
        self._ticks = kernel.find("timer").subscribe("jobs", TICK_S, self._tick)

    async def stop(self) -> None:
        """End the ticks."""
        self._ticks.cancel()

    def leads(self) -> bool:
        """Whether this store surely is the only leader of the jobs' log."""
        return self._consensus.is_leader and self._consensus.lease_left_s() > 0

    def demand(self) -> tuple[tuple[str, int], ...]:
        """By service, the most items that were to be run at a time in the last while."""
        return tuple(sorted(self._peaks.peak_by_service.items()))

    def oldest_allowed(self) -> tuple[tuple[str, int], ...]:
        """By model, the oldest weight version that its newest job takes."""
        newest_by_model: dict[str, Job] = {}
        for kept in self._state.job_by_id.values():
            known = newest_by_model.get(kept.job.model)
            if known is None or kept.job.submitted_s > known.submitted_s:
                newest_by_model[kept.job.model] = kept.job
        return tuple(sorted((model, job.min_version) for model, job in newest_by_model.items()))

    def _only_leading(self, handler: Any) -> Any:
        async def answer(message: Any) -> Any:
            if not self.leads():
                return NotLeader(self._consensus.leader_hint)
            return await handler(message)

        return answer

    def dispatcher(self) -> Dispatcher:
        """The runs under this leader's term."""
        term = self._consensus.term
        if self._dispatcher is None or self._dispatcher.epoch != term:
            view = self._view
            around = Surroundings(view.serving, self._terms, view.wall_s, self._loads)
            self._dispatcher = Dispatcher(self._state, around, term)
            eliot.log_message("jobs:leads", term=term, daemon=self._settings.daemon)
        return self._dispatcher

    def _loads(self, endpoint: str, model: str) -> bool:
        return (endpoint, model) in self._view.view.loading

    def _terms(self, service: str) -> Any:
        index = self._view.index
        return index.service_by_name.get(service) if index is not None else None

    def _changed(self, job: str) -> None:
        self._listed.set()
        self._listed = asyncio.Event()
        if self._dispatcher is not None:
            self._dispatcher.forget_job(job)
        self._match()

    def _match(self) -> None:
        if self.leads():
            self.dispatcher().match(boot_now())

    async def _tick(self, now: float) -> None:
        if not self.leads():
            return
        dispatcher = self.dispatcher()
        self._peaks.note(self._state, now)
        by_job: dict[str, list[ItemResult]] = {}
        for job, result in dispatcher.sweep(now):
            by_job.setdefault(job, []).append(result)
        await self._record(by_job)
        await self._forget_old()
        dispatcher.match(now)
        dispatcher.move_stragglers(now)

    async def _forget_old(self) -> None:
        wall_s = self._view.wall_s()
        old = []
        for job_id, kept in self._state.job_by_id.items():
            open_until_s = kept.job.submitted_s + kept.job.give_up_s
            keep_until_s = kept.job.submitted_s + self._settings.result_keep_s
            if wall_s > max(open_until_s, keep_until_s) + TICK_S:
                old.append(job_id)
        if old:
            await self._propose(ForgetJobs(tuple(old)))

    async def _propose(self, command: Any) -> Any:
        return await self._consensus.propose(COMMANDS.encode(command))

    async def submit(self, message: SubmitJob) -> Any:
        """Accept a job once a majority holds it; a second time it is accepted as it was."""
        job = message.job
        if job.job not in self._state.job_by_id:
            accepted = AcceptJob(replace(job, submitted_s=self._view.wall_s()))
            committed = await self._propose(accepted)
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("jobs:accepted", job=job.job, items=len(job.items), model=job.model)
        kept = self._state.job_by_id.get(job.job)
        if kept is None or kept.job.client_account != job.client_account:
            return UnknownJob()
        return JobAccepted()

    async def _find(self, message: Any) -> KeptJob | Any:
        """Find a job of a client account; that there is none is only said by a confirmed leader."""
        kept = self._state.job_by_id.get(message.job)
        if kept is None:
            confirmed = await self._consensus.confirm_read()
            if isinstance(confirmed, Refusal):
                return NotLeader(self._consensus.leader_hint)
            kept = self._state.job_by_id.get(message.job)
        if kept is None or kept.job.client_account != message.client_account:
            return UnknownJob()
        return kept

    async def read_results(self, message: ReadResults) -> Any:
        """Read results from a position on, waiting for one where there is none."""
        kept = await self._find(message)
        if isinstance(kept, (NotLeader, UnknownJob)):
            return kept
        end_s = boot_now() + message.hold_s
        while len(kept.results) <= message.after < kept.total and not kept.ended:
            left_s = end_s - boot_now()
            listed = self._listed
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await listed.wait()
            except TimeoutError:
                break
        if not self.leads():
            return NotLeader(self._consensus.leader_hint)
        results = _slice(kept.results, message.after, message.max_bytes)
        size = sum(len(one.output) for one in results)
        if message.inline_bytes is not None and size > message.inline_bytes:
            return ResultsListed(kept.total, message.after + len(results))
        return ResultsRead(kept.total, results)

    async def read_listed(self, message: ReadListed) -> ResultsRead:
        """Read results that the leader said are listed, as far as they are applied here."""
        kept = self._state.job_by_id.get(message.job)
        if kept is None or kept.job.client_account != message.client_account:
            return ResultsRead(0, ())
        return ResultsRead(kept.total, tuple(kept.results[message.after : message.listed]))

    async def read_body(self, message: ReadBody) -> Any:
        """Read the body of an item that is not listed yet."""
        kept = await self._find(message)
        if isinstance(kept, (NotLeader, UnknownJob)):
            return kept
        item = kept.item_by_id.get(message.item)
        return BodyRead(item.body if item is not None else None)

    async def end(self, message: EndJob) -> Any:
        """End a job; its runs are stopped before the caller is answered."""
        kept = await self._find(message)
        if isinstance(kept, (NotLeader, UnknownJob)):
            return kept
        if not kept.ended:
            committed = await self._propose(CloseJob(message.job))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("jobs:ended", job=message.job, listed=len(kept.results))
        return JobEnded()

    async def take_work(self, call: TakeWork) -> Any:
        """Hand work to a runner, waiting for it where there is none."""
        dispatcher = self.dispatcher()
        if call.epoch != dispatcher.epoch:
            # What it runs belongs to a dispatcher before: it stops all that and asks again.
            dispatcher.take(replace(call, running=(), free=0), boot_now())
            return Work(dispatcher.epoch)
        runner = dispatcher.take(call, boot_now())
        runner.waiting = True
        runner.wake.clear()
        dispatcher.match(boot_now())
        if not (runner.outbox or runner.cancelled or runner.moved):
            try:
                async with asyncio.timeout(call.hold_s):
                    await runner.wake.wait()
            except TimeoutError:
                pass
        if runner.sequence != call.sequence:
            return Work(dispatcher.epoch)
        runner.waiting = False
        runner.answered_at = boot_now()
        work = Work(
            dispatcher.epoch,
            tuple(runner.outbox),
            tuple(runner.cancelled),
            tuple(runner.moved),
        )
        runner.outbox.clear()
        runner.cancelled.clear()
        runner.moved.clear()
        if not self.leads():
            return NotLeader(self._consensus.leader_hint)
        return work

    async def report_work(self, message: ReportWork) -> Any:
        """Take in how runs ended, and answer once what they made is kept."""
        dispatcher = self.dispatcher()
        if message.epoch != dispatcher.epoch:
            return WorkReported()
        by_job: dict[str, list[ItemResult]] = {}
        parts_by_job: dict[str, list[TextPart]] = {}
        now = boot_now()
        for reported in message.outcomes:
            dispatcher.release(reported, now)
            for outcome in dispatcher.apart(reported):
                if outcome.kind != "done" and (outcome.events or outcome.whole):
                    made = dispatcher.take_part(outcome)
                    if made is not None:
                        parts_by_job.setdefault(made[0], []).append(made[1])
                if outcome.kind == PART:
                    continue
                ended = dispatcher.report(outcome, now)
                if ended is not None:
                    by_job.setdefault(ended[0], []).append(ended[1])
        dispatcher.match(now)
        # A result may stand for the text that is kept with it, so the text goes first.
        if not await self._keep(parts_by_job) or not await self._record(by_job):
            return NotLeader(self._consensus.leader_hint)
        return WorkReported()

    async def _keep(self, parts_by_job: dict[str, list[TextPart]]) -> bool:
        commands = [KeepTexts(job, tuple(parts)) for job, parts in parts_by_job.items()]
        if not await self._commit_all(commands):
            return False
        for job, parts in parts_by_job.items():
            eliot.log_message("jobs:texts_kept", job=job, items=len(parts))
        return True

    async def _record(self, by_job: dict[str, list[ItemResult]]) -> bool:
        commands: list[Any] = []
        for job, results in by_job.items():
            kept = self._state.job_by_id.get(job)
            texts = {one.item: kept.whole_text(one.item) for one in results} if kept else {}
            short = [
                replace(one, output="")
                for one in results
                if one.state == COMPLETED and texts.get(one.item) == one.output
            ]
            named = {one.item for one in short}
            rest = [one for one in results if one.item not in named]
            if short:
                commands.append(RecordKept(job, tuple(short)))
            if rest:
                commands.append(RecordResults(job, tuple(rest)))
        return await self._commit_all(commands)

    async def _commit_all(self, commands: list[Any]) -> bool:
        answers = await asyncio.gather(*(self._propose(command) for command in commands))
        return not any(isinstance(answer, Refusal) for answer in answers)


def _slice(results: list[ItemResult], after: int, max_bytes: int) -> tuple[ItemResult, ...]:
    taken: list[ItemResult] = []
    size = 0
    for result in results[after:]:
        size += len(result.output)
        if taken and size > max_bytes:
            break
        taken.append(result)
    return tuple(taken)


__all__ = ["Jobs"]
