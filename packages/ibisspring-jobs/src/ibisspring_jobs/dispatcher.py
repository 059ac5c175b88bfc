"""
Assigns the items of all open jobs to engines and runners, on the leader of the jobs' log.

An engine (inference endpoint) generates the text of an item; a runner is the entry daemon that
sends the item's request to the engine. The module does no I/O and reads no clock: every method that
depends on the time takes it as `now`, in seconds since boot.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.messages.jobs import (
    PART,
    AdoptedRun,
    Assignment,
    ItemResult,
    Outcome,
    TextPart,
)
from ibisspring_decisions.dispatch import place_items
from ibisspring_jobs.adoption import AdoptionWindow, stored_part_of
from ibisspring_jobs.engines import Engines
from ibisspring_jobs.items import ItemKey, Items, memory_tokens_of
from ibisspring_jobs.moves import runs_to_move
from ibisspring_jobs.progress import ItemProgress, abandoned_result
from ibisspring_jobs.runners import Runners
from ibisspring_jobs.runs import Run
from ibisspring_jobs.surroundings import DispatchContext

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import HeldRun, TakeWork
    from ibisspring_jobs.runners import Runner
    from ibisspring_jobs.state import JobRecord, JobsState

# Seconds until an item may run again after a failed run. Without this delay, an engine that fails
# every request immediately would use up the item's attempts.
FAILED_RETRY_DELAY_S = 0.2
# Seconds between the time limit of a job and the abandonment of its items. Without them, a leader
# whose clock is slightly ahead would abandon the items too early.
GIVE_UP_SLACK_S = 1.0


class Dispatcher:
    """
    Assigns items during one epoch: the consensus term of one leader of the jobs' log.

    :param run_by_number: the runs that have not ended, by the number of their assignment.
    :param now: start of the epoch, in seconds since boot.
    """

    def __init__(
        self, state: JobsState, context: DispatchContext, epoch: int, now: float = 0.0
    ) -> None:
        self.epoch = epoch
        self.runners = Runners()
        self.run_by_number: dict[int, Run] = {}
        self._state = state
        self._context = context
        self._last_number = 0
        self.engines = Engines(context, now)
        self.items = Items(state)
        self.adoption = AdoptionWindow()

    def adopt(self, runner: Runner, offered: tuple[HeldRun, ...], now: float) -> None:
        """
        Adopt the runs of earlier epochs that a runner offers, as far as they still have a use.

        A run is not adopted if its item has a result, runs elsewhere, or has a stored text that the
        run does not continue.
        """
        self.adoption.runner_offered(runner.address)
        runner.adopted.clear()
        for held in offered:
            job_record = self._state.job_by_id.get(held.job)
            key = (held.job, held.item)
            if (
                job_record is None
                or held.item not in job_record.item_by_id
                or self.items.is_busy(key)
            ):
                continue
            stored = stored_part_of(held, job_record, self.items.progress_of(key))
            if stored is None:
                continue
            self._last_number += 1
            item = job_record.item_by_id[held.item]
            run = Run(
                self._last_number,
                *key,
                runner.address,
                held.endpoint,
                memory_tokens_of(item),
                now,
                held.resume_after,
            )
            self.run_by_number[run.number] = run
            self.items.run_started(key, run.number)
            self.engines.run_adopted(held.endpoint, (held.job, item.group))
            runner.adopt(AdoptedRun(held.key, run.number, *stored))
        if offered:
            eliot.log_message(
                "dispatch:adopted",
                runner=runner.address,
                offered=len(offered),
                adopted=len(runner.adopted),
            )

    def register_call(self, call: TakeWork, now: float) -> Runner:
        """
        Register a runner's call for work, and compare its runs with those of the dispatcher.

        A run that only the dispatcher knows is removed, so that its item can be assigned again. A
        run that only the runner reports is cancelled with the runner's next answer.

        :return: the runner that called; the answer to its call is built from this object.
        """
        runner, lost = self.runners.register_call(call, now)
        for number in lost:
            self._drop_lost_run(number, "not held by the runner")
        for number in call.running:
            if number not in self.run_by_number:
                runner.cancelled.append(number)
        self.engines.paces.measure(call, self.run_by_number, now)
        return runner

    def move_stragglers(self, now: float) -> None:
        """Move runs from engines much slower than the median to engines with free slots."""
        runs = tuple(self.run_by_number.values())
        for run in runs_to_move(self._state, self._context, self.engines, self.items, runs, now):
            self._request_move(run)

    def _request_move(self, run: Run) -> None:
        run.moved = True
        runner = self.runners.runner_by_address.get(run.runner)
        if runner is None:
            return
        eliot.log_message("dispatch:moved", item=run.item, endpoint=run.endpoint, events=run.events)
        runner.moved.append(run.number)
        runner.wake.set()

    def sweep(self, now: float) -> list[tuple[str, ItemResult]]:
        """
        Remove the runs of runners that timed out, and find the items past their job's time limit.

        :return: pairs of job id and abandoned result, one for each such item, to be committed.
        """
        for runner in self.runners.remove_timed_out(now):
            for number in tuple(runner.sequence_by_number):
                self._drop_lost_run(number, "runner timed out")
        abandoned = []
        wall_s = self._context.wall_s()
        for job_id, job_record in self._state.job_by_id.items():
            if (
                job_record.ended
                or wall_s < job_record.job.submitted_s + job_record.job.give_up_s + GIVE_UP_SLACK_S
            ):
                continue
            abandoned.extend((job_id, abandoned_result(item)) for item in job_record.item_by_id)
        return abandoned

    def cancel_finished_runs(self, job: str) -> None:
        """
        Cancel the runs of those items of a job that have a listed result.

        If the job has ended, all its runs are cancelled.

        :param job: id of the job.
        """
        job_record = self._state.job_by_id.get(job)
        self.items.remove_finished(job)
        for run in [run for run in self.run_by_number.values() if run.job == job]:
            if job_record is not None and run.item in job_record.item_by_id:
                continue
            self._remove_run(run.number)
            runner = self.runners.runner_by_address.get(run.runner)
            if runner is not None:
                runner.cancelled.append(run.number)
                runner.wake.set()

    def assign_waiting_items(self, now: float) -> None:
        """Assign waiting items to engines with free slots, each through an available runner."""
        if self.adoption.is_open(now):
            return
        if not any(runner.is_available(now) for runner in self.runners.runner_by_address.values()):
            return
        self._assign_unscored(now)
        for service in self.items.services():
            self._match_service(service, now)

    def _assign_unscored(self, now: float) -> None:
        """
        Assign the reward calls of complete texts that no runner is scoring.

        Normally the runner that received a text also makes its reward call (the request that scores
        the text). If that runner or the leader of the jobs' log fails between the two, the text
        must neither be generated again nor remain without a score.
        """
        for key in self.items.awaiting_score():
            runner = self.runners.choose(key[1], "", now, allowed=self._may_hold(key))
            if runner is None:
                return
            self._assign(key, None, runner, now)

    def _match_service(self, service: str, now: float) -> None:
        record_by_engine = {serving.endpoint: serving for serving in self._context.serving(service)}
        records = record_by_engine.values()
        runs = self.run_by_number.values()
        if not self.engines.any_free_slot(service, records, runs):
            return
        capacities = self.engines.free_capacities(service, records, runs, now)
        for placement in place_items(self.items.waiting(service, self.engines, now), capacities):
            record = record_by_engine[placement.engine]
            runner = self._choose_runner(placement.key, record, now)
            if runner is None:
                return
            self._assign(placement.key, record, runner, now)

    def _choose_runner(self, key: ItemKey, record: EndpointRecord, now: float) -> Runner | None:
        def connected(runner: str) -> bool:
            return self.engines.has_idle_connection(runner, record.endpoint, now)

        allowed = self._may_hold(key)
        return self.runners.choose(record.endpoint, record.data_centre, now, connected, allowed)

    def _may_hold(self, key: ItemKey) -> Callable[[Runner], bool]:
        """Return whether a runner may receive an item's body: its VM is in the job's regions."""
        regions = self._state.job_by_id[key[0]].job.regions

        def allowed(runner: Runner) -> bool:
            return self._context.is_in_regions(runner.data_centre, regions)

        return allowed

    def release_connection(self, outcome: Outcome, now: float) -> None:
        """
        Record that a run's connection to its engine is idle again, if the engine keeps it open.

        Later runs of the engine are preferably assigned to the runner that has this connection.
        """
        run = self.run_by_number.get(outcome.number)
        if run is not None:
            self.engines.connection_released(run, outcome, now)

    def _assign(
        self, key: ItemKey, record: EndpointRecord | None, runner: Runner, now: float
    ) -> None:
        """
        Assign an item to a runner.

        :param record: the engine that is to generate the text; None if the text is complete and
            only its reward call is to be made.
        """
        job = self._state.job_by_id[key[0]].job
        item = self._state.job_by_id[key[0]].item_by_id[key[1]]
        resume_after = self.items.progress_of(key).events
        self._last_number += 1
        left_s = job.submitted_s + job.give_up_s - self._context.wall_s()
        assignment = Assignment(
            number=self._last_number,
            job=job.job,
            item=item,
            client_account=job.client_account,
            host=job.host,
            service=job.service,
            endpoint=record.endpoint if record is not None else "",
            incarnation=record.incarnation if record is not None else 0,
            address=record.address if record is not None else "",
            expected_version=record.version_by_adapter.get(job.model) if record else None,
            resume_after=resume_after,
            deadline_s=max(1.0, left_s),
            max_attempts=job.max_attempts,
            data_centre=record.data_centre if record is not None else "",
            paced=record is not None and self._context.paced_limit(job.service) is not None,
            regions=job.regions,
        )
        run = Run(
            self._last_number,
            *key,
            runner.address,
            assignment.endpoint,
            memory_tokens_of(item),
            now,
            resume_after,
            scoring=record is None,
        )
        self.run_by_number[run.number] = run
        self.items.run_started(key, run.number)
        if record is not None:
            group = (job.job, item.group)
            self.engines.run_started(runner.address, record.endpoint, group, now)
        runner.assign(assignment)

    def split_outcome(self, outcome: Outcome) -> tuple[Outcome, ...]:
        """
        Split the outcome of a completed run if earlier parts of the item's text are in the log.

        Without the split, the result would contain the complete text, and these parts would be
        replicated a second time.

        :return: the last part of the text and the outcome without text; only the unchanged outcome
            if no part is in the log.
        """
        run = self.run_by_number.get(outcome.number)
        job_record = self._state.job_by_id.get(run.job) if run is not None else None
        if outcome.kind != "done" or not outcome.events or job_record is None:
            return (outcome,)
        if (
            run.item not in job_record.item_by_id
            or not self.items.progress_of((run.job, run.item)).events
        ):
            return (outcome,)
        last_part = replace(outcome, kind=PART, whole=True)
        after = outcome.after + outcome.events
        return last_part, replace(outcome, output="", events=0, versions=(), after=after)

    def accept_part(self, outcome: Outcome) -> tuple[str, TextPart] | None:
        """
        Add the text that a run produced to the progress of its item.

        The last text of a run that ended early is committed in the same way as that of a run in
        progress. If this text were kept only in memory, the log would lack it, and a new leader
        would resume the item at the gap.

        :return: job id and the part to be committed to the log; None if the part does not continue
            the known text, or if the job does not accept the part's weight versions.
        """
        run = self.run_by_number.get(outcome.number)
        job_record = self._state.job_by_id.get(run.job) if run is not None else None
        if job_record is None or run.item not in job_record.item_by_id:
            return None
        progress = self.items.progress_of((run.job, run.item))
        if progress.events != run.resume_after + outcome.after:
            return None
        if progress.complete and not outcome.events:
            return None
        part = TextPart(
            run.item,
            progress.events,
            outcome.output,
            outcome.events,
            outcome.versions,
            outcome.whole,
        )
        progress.add(part)
        run.scoring = progress.complete
        if not progress.versions_allowed(job_record.job):
            # The run continues, but its text is discarded when it ends; the item then runs again
            # from the beginning.
            return None
        return run.job, part

    def process_outcome(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        """
        Process the outcome of a run that ended.

        An item with a result is not assigned again while the result is being committed.

        :return: job id and result if the item is completed or abandoned; None if the item runs
            again, or if the outcome is ignored because another run has continued the text.
        """
        job_and_result = self._apply_outcome(outcome, now)
        if job_and_result is not None:
            self.items.committing.add((job_and_result[0], job_and_result[1].item))
        return job_and_result

    def _apply_outcome(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        run = self.run_by_number.get(outcome.number)
        if run is None:
            return None
        self._remove_run(outcome.number)
        job_record = self._state.job_by_id.get(run.job)
        if job_record is None or run.item not in job_record.item_by_id:
            return None
        key = (run.job, run.item)
        progress = self.items.progress_of(key)
        if progress.events == run.resume_after + outcome.after:
            progress.add(outcome)
        elif outcome.kind == "done":
            # Another run of the item has extended or reset the item's text meanwhile, so the text
            # of this run does not continue it.
            return None
        if not progress.versions_allowed(job_record.job):
            eliot.log_message("dispatch:versions", item=run.item, versions=progress.versions)
            progress.reset()
            return None
        if outcome.kind == "done":
            if job_record.item_by_id[run.item].reward is not None and not outcome.score:
                # The item needs a score, which the outcome lacks. The item gets no result, and only
                # its reward call is repeated.
                progress.complete = True
                self.items.unscored.add(key)
                return None
            return run.job, progress.completed_result(run.item, outcome.score)
        return self._handle_failure(run, outcome, job_record, progress, now)

    def _handle_failure(
        self, run: Run, outcome: Outcome, job_record: JobRecord, progress: ItemProgress, now: float
    ) -> tuple[str, ItemResult] | None:
        eliot.log_message(
            "dispatch:run_failed",
            item=run.item,
            kind=outcome.kind,
            endpoint=run.endpoint,
            events=progress.events,
            whole=progress.complete,
        )
        if outcome.kind in ("impossible", "unscored"):
            return run.job, abandoned_result(run.item)
        if run.moved or run.scoring:
            return None
        self.engines.pause(run.endpoint, job_record.job.model, outcome.kind, now)
        if outcome.kind == "failed":
            progress.failures += 1
            progress.not_before_s = now + FAILED_RETRY_DELAY_S
            if progress.failures >= job_record.job.max_attempts:
                return run.job, abandoned_result(run.item)
        return None

    def _drop_lost_run(self, number: int, cause: str) -> None:
        run = self.run_by_number.get(number)
        if run is not None:
            eliot.log_message("dispatch:lost", item=run.item, runner=run.runner, cause=cause)
        self._remove_run(number)

    def _remove_run(self, number: int) -> None:
        run = self.run_by_number.pop(number, None)
        if run is None:
            return
        self.items.run_ended((run.job, run.item), number)
        runner = self.runners.runner_by_address.get(run.runner)
        if runner is not None:
            runner.sequence_by_number.pop(number, None)


__all__ = ["Dispatcher", "DispatchContext"]
