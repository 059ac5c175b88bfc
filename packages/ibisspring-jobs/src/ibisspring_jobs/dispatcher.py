"""
Assigns the items of all open jobs to engines and runners, on the leader of the jobs' log.

An engine (inference endpoint) generates the text of an item; a runner is the entry daemon that
sends the item's request to the engine. The module does no I/O and reads no clock: every method that
depends on the time takes it as `now`, in seconds since boot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_core.messages.jobs import AdoptedRun, Assignment
from ibisspring_decisions.dispatch import place_items
from ibisspring_jobs.adoption import AdoptionWindow, stored_part_of
from ibisspring_jobs.engine_time import EngineTime
from ibisspring_jobs.engines import Engines
from ibisspring_jobs.forecasts import expected_events_of
from ibisspring_jobs.group_plans import GroupPlans
from ibisspring_jobs.items import ItemKey, Items, memory_tokens_of
from ibisspring_jobs.learned_speeds import SpeedRecorder
from ibisspring_jobs.moves import runs_to_move
from ibisspring_jobs.outcomes import Outcomes
from ibisspring_jobs.preempting import Preemption
from ibisspring_jobs.progress import abandoned_result
from ibisspring_jobs.runners import Runners
from ibisspring_jobs.runs import Run
from ibisspring_jobs.speed_policy import SpeedPolicy
from ibisspring_jobs.surroundings import DispatchContext

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import HeldRun, ItemResult, Outcome, TakeWork
    from ibisspring_decisions.dispatch import Placement
    from ibisspring_decisions.stragglers import Move
    from ibisspring_jobs.runners import Runner
    from ibisspring_jobs.state import JobsState

# Seconds between the time limit of a job and the abandonment of its items. Without them, a leader
# whose clock is slightly ahead would abandon the items too early.
GIVE_UP_SLACK_S = 1.0


class Dispatcher:
    """
    Assigns items during one epoch: the consensus term of one leader of the jobs' log.

    :param run_by_number: the runs that have not ended, by the number of their assignment.
    :param outcomes: applies the outcomes that runners report.
    :param engine_time: the engine time that client accounts have used, while shares are in force.
    :param plans: the order of the groups; None while shares are not in force.
    :param speed_policy: places and moves runs by predicted ends; None if it is not in force.
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
        recorder = SpeedRecorder(state, context.counters, now) if context.policy.speeds else None
        self.engines = Engines(context, now, recorder)
        self.items = Items(state)
        self.engine_time = EngineTime(state, context)
        self.plans: GroupPlans | None = None
        self._preemption: Preemption | None = None
        if context.policy.shares:
            self.plans = GroupPlans(
                context,
                self.engines,
                self.items,
                self.engine_time,
                self.run_by_number,
                recorder.speeds.event_s if recorder is not None else None,
            )
            self.items.planner = self.plans
            if context.policy.preemption:
                self._preemption = Preemption(
                    context, self.engines, self.items, self.plans, self.run_by_number
                )
        self.adoption = AdoptionWindow()
        self.outcomes = Outcomes(
            epoch, state, self.items, self.engines, self.run_by_number, self._remove_run
        )
        self.speed_policy = (
            SpeedPolicy(state, context, self.items, self.engines, recorder) if recorder else None
        )

    @property
    def context(self) -> DispatchContext:
        """The callbacks through which the dispatcher reads the directory view."""
        return self._context

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
                or held.failure
                or held.job in self.items.ending
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
                expected_events=expected_events_of(item),
                adopted=True,
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
        """
        Move runs to engines with free slots: from engines much slower than the median, or by the
        predicted ends where speeds are learned.
        """
        runs = tuple(self.run_by_number.values())
        if self.speed_policy is not None:
            for run, move in self.speed_policy.choose_moves(runs, now):
                self._request_move(run, move)
            return
        for run in runs_to_move(self._state, self._context, self.engines, self.items, runs, now):
            # The item of a held job would not start again.
            if not self._state.job_by_id[run.job].held:
                self._request_move(run)

    def preempt(self, now: float) -> None:
        """Stop runs that give their slot to a group which would be late otherwise."""
        if self._preemption is None or self.adoption.is_open(now):
            return
        for service in self.items.services():
            for run in self._preemption.select(service, now):
                self._request_move(run)

    def _request_move(self, run: Run, move: Move | None = None) -> None:
        run.moved = True
        runner = self.runners.runner_by_address.get(run.runner)
        if runner is None:
            return
        prediction = (
            {"reason": move.reason.value, "to": move.engine, "gain_s": round(move.gain_s, 2)}
            if move is not None
            else {}
        )
        eliot.log_message(
            "dispatch:moved",
            item=run.item,
            endpoint=run.endpoint,
            events=run.events,
            **prediction,
        )
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
        if self.speed_policy is not None:
            self.speed_policy.remove_finished(job)
        for run in [run for run in self.run_by_number.values() if run.job == job]:
            if job_record is None or run.item not in job_record.item_by_id:
                self._cancel_run(run)

    def end_job(self, job: str) -> None:
        """
        Start no more items of a job, and cancel its runs, while its end is being committed.

        :param job: id of the job.
        """
        self.items.ending.add(job)
        for run in [run for run in self.run_by_number.values() if run.job == job]:
            self._cancel_run(run)

    def _cancel_run(self, run: Run) -> None:
        self._remove_run(run.number)
        runner = self.runners.runner_by_address.get(run.runner)
        if runner is not None:
            runner.cancelled.append(run.number)
            runner.wake.set()

    def assign_waiting_items(self, now: float) -> None:
        """Assign waiting items to engines with free slots, each through an available runner."""
        if self.plans is not None:
            self.engine_time.sample(self.run_by_number.values(), now)
            self.plans.end_overloads(now)
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
        for placement in self._place(service, record_by_engine, now):
            record = record_by_engine[placement.engine]
            runner = self._choose_runner(placement.key, record, now)
            if runner is None:
                return
            self._assign(placement.key, record, runner, now, placement.ends_in_s)

    def _place(
        self, service: str, record_by_engine: dict[str, EndpointRecord], now: float
    ) -> Iterable[Placement]:
        runs = self.run_by_number.values()
        if self.speed_policy is not None:
            return self.speed_policy.place(service, record_by_engine, runs, now)
        capacities = self.engines.free_capacities(service, record_by_engine.values(), runs, now)
        return place_items(self.items.waiting(service, self.engines, now), capacities)

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
        self,
        key: ItemKey,
        record: EndpointRecord | None,
        runner: Runner,
        now: float,
        ends_in_s: float = 0.0,
    ) -> None:
        """
        Assign an item to a runner.

        :param record: the engine that is to generate the text; None if the text is complete and
            only its reward call is to be made.
        :param ends_in_s: seconds until the predicted end of the text; 0.0 if not predicted.
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
            begin_within_s=self.engines.paced_delay.current_s(now),
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
            expected_events=expected_events_of(item),
            predicted_end_at=now + ends_in_s if ends_in_s else 0.0,
            ends_at=now + ends_in_s,
        )
        self.run_by_number[run.number] = run
        self.items.run_started(key, run.number)
        if record is not None:
            group = (job.job, item.group)
            self.engines.run_started(runner.address, record.endpoint, group, now)
        runner.assign(assignment, now)

    def _drop_lost_run(self, number: int, cause: str) -> None:
        run = self.run_by_number.get(number)
        if run is not None:
            eliot.log_message("dispatch:lost", item=run.item, runner=run.runner, cause=cause)
            self.outcomes.run_lost(run)
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
