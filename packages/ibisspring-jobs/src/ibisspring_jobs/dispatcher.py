"""Hands the items of all open jobs to runners; it has no network, and `now` is always given."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.messages.jobs import PART, Assignment, ItemResult, Outcome, TextPart
from ibisspring_decisions.dispatch import place
from ibisspring_decisions.stragglers import LEAST_LEFT, MovableRun, choose_moves
from ibisspring_jobs.engines import Engines
from ibisspring_jobs.items import Items, Key, memory_of
from ibisspring_jobs.progress import ItemProgress, abandoned
from ibisspring_jobs.runners import Runners
from ibisspring_jobs.runs import Run
from ibisspring_jobs.surroundings import Surroundings

if TYPE_CHECKING:
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import TakeWork
    from ibisspring_jobs.runners import Runner
    from ibisspring_jobs.state import JobsState, KeptJob

# A failed item waits, so that an engine that fails all it gets does not use up its attempts.
FAILED_PAUSE_S = 0.2
# Only this long after its terms allow it an item is given up, so that no clock that is a little
# ahead does so too early.
GIVE_UP_SLACK_S = 1.0
# A run that has just begun tells nothing of its engine, and one that moved stays where it is.
SETTLED_S = 0.4
# Tokens of an event on the engines of today, for a guess of what a run has left.
TOKENS_PER_EVENT = 60


class Dispatcher:
    """The runs under one epoch."""

    def __init__(self, state: JobsState, around: Surroundings, epoch: int) -> None:
        self.epoch = epoch
        self.runners = Runners()
        self.run_by_number: dict[int, Run] = {}
        self._state = state
        self._around = around
        self._numbers = 0
        self.engines = Engines(around)
        self.items = Items(state)

    def take(self, call: TakeWork, now: float) -> Runner:
        """
        Take in a runner's call for work.

        :return: the runner.
        """
        runner, lost = self.runners.take(call, now)
        for number in lost:
            self._lose(number, "answer lost")
        for number in call.running:
            if number not in self.run_by_number:
                runner.cancelled.append(number)
        self.engines.paces.measure(call, self.run_by_number, now)
        return runner

    def move_stragglers(self, now: float) -> None:
        """Let runs leave engines that are much slower than most, where others have places."""
        slow = self.engines.paces.slow()
        if not slow:
            return
        busy = [
            run for run in self.run_by_number.values() if run.endpoint in slow and not run.scoring
        ]
        job_by_id = {run.job: self._state.job_by_id[run.job].job for run in busy}
        allowed_by_job = {key: self.engines.allowed(job, now) for key, job in job_by_id.items()}
        for service in {job.service for job in job_by_id.values()}:
            waiting = sum(1 for _ in self.items.waiting(service, self.engines, now))
            records = self._around.serving(service)
            rooms = self.engines.rooms(service, records, self.run_by_number.values(), now)
            free_by_engine = {room.engine: max(0, room.slots) for room in rooms}
            movable = [
                MovableRun(
                    run.number,
                    run.endpoint,
                    self._events_left(run),
                    allowed_by_job[run.job],
                )
                for run in busy
                if run.endpoint in free_by_engine
                and not run.moved
                and now - run.began_s > SETTLED_S
            ]
            for number in choose_moves(movable, slow, free_by_engine, waiting):
                self._move(self.run_by_number[number])

    def _events_left(self, run: Run) -> float:
        """Reckon what a run has to make yet, by the most of its estimate and what it has made."""
        item = self.items.item_of(run)
        if item is None:
            return 0.0
        made = run.resume_after + run.events
        return max(item.expected_tokens / TOKENS_PER_EVENT - made, LEAST_LEFT)

    def _move(self, run: Run) -> None:
        run.moved = True
        runner = self.runners.runner_by_address.get(run.runner)
        if runner is None:
            return
        eliot.log_message("dispatch:moved", item=run.item, endpoint=run.endpoint, events=run.events)
        runner.moved.append(run.number)
        runner.wake.set()

    def sweep(self, now: float) -> list[tuple[str, ItemResult]]:
        """
        Take work back from silent runners.

        :return: job and result of the items that are to be given up.
        """
        for runner in self.runners.silent(now):
            for number in tuple(runner.sequence_by_number):
                self._lose(number, "runner silent")
        given_up = []
        wall_s = self._around.wall_s()
        for job_id, kept in self._state.job_by_id.items():
            if kept.ended or wall_s < kept.job.submitted_s + kept.job.give_up_s + GIVE_UP_SLACK_S:
                continue
            given_up.extend((job_id, abandoned(item)) for item in kept.item_by_id)
        return given_up

    def forget_job(self, job: str) -> None:
        """Stop the runs of items that are listed or whose job ended."""
        kept = self._state.job_by_id.get(job)
        self.items.forget(job)
        for run in [run for run in self.run_by_number.values() if run.job == job]:
            if kept is not None and run.item in kept.item_by_id:
                continue
            self._end(run.number)
            runner = self.runners.runner_by_address.get(run.runner)
            if runner is not None:
                runner.cancelled.append(run.number)
                runner.wake.set()

    def match(self, now: float) -> None:
        """Place what waits and put it into the outboxes of runners that wait for work."""
        if not any(one.takes(now) for one in self.runners.runner_by_address.values()):
            return
        self._match_unscored(now)
        for service in self.items.services():
            self._match_service(service, now)

    def _match_unscored(self, now: float) -> None:
        """
        Hand out whole texts whose reward call is with no runner.

        The runner that reads a text scores it as well. Where that one or the jobs' leader was lost
        in between, the text must neither be made again nor stay without its score.
        """
        for key in self.items.to_be_scored():
            runner = self.runners.best(key[1], "", now)
            if runner is None:
                return
            self._assign(key, None, runner, now)

    def _match_service(self, service: str, now: float) -> None:
        record_by_engine = {one.endpoint: one for one in self._around.serving(service)}
        records = record_by_engine.values()
        runs = self.run_by_number.values()
        if not self.engines.any_place(service, records, runs):
            return
        rooms = self.engines.rooms(service, records, runs, now)
        for placement in place(self.items.waiting(service, self.engines, now), rooms):
            record = record_by_engine[placement.engine]
            runner = self._runner_for(record, now)
            if runner is None:
                return
            self._assign(placement.key, record, runner, now)

    def _runner_for(self, record: EndpointRecord, now: float) -> Runner | None:
        def connected(runner: str) -> bool:
            return self.engines.connected(runner, record.endpoint, now)

        return self.runners.best(record.endpoint, record.data_centre, now, connected)

    def release(self, outcome: Outcome, now: float) -> None:
        """Note that a run came to its end, and that its connection is idle from now on."""
        run = self.run_by_number.get(outcome.number)
        if run is not None:
            self.engines.released(run, outcome, now)

    def _assign(self, key: Key, record: EndpointRecord | None, runner: Runner, now: float) -> None:
        """Give an item to a runner; without an endpoint its whole text is only to be scored."""
        job = self._state.job_by_id[key[0]].job
        item = self._state.job_by_id[key[0]].item_by_id[key[1]]
        resume_after = self.items.progress_of(key).events
        self._numbers += 1
        left_s = job.submitted_s + job.give_up_s - self._around.wall_s()
        assignment = Assignment(
            number=self._numbers,
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
        )
        run = Run(
            self._numbers,
            *key,
            runner.address,
            assignment.endpoint,
            memory_of(item),
            now,
            resume_after,
            scoring=record is None,
        )
        self.run_by_number[run.number] = run
        self.items.begins(key, run.number)
        if record is not None:
            group = (job.job, item.group)
            self.engines.begins(runner.address, record.endpoint, group, now)
        runner.give(assignment)

    def apart(self, outcome: Outcome) -> tuple[Outcome, ...]:
        """
        Take the end of a run apart from the text that it made, where the text's beginning is kept.

        Listed in one piece, the text would go to all replicas of the log a second time.
        """
        run = self.run_by_number.get(outcome.number)
        kept = self._state.job_by_id.get(run.job) if run is not None else None
        if outcome.kind != "done" or not outcome.events or kept is None:
            return (outcome,)
        if (
            run.item not in kept.item_by_id
            or not self.items.progress_of((run.job, run.item)).events
        ):
            return (outcome,)
        last = replace(outcome, kind=PART, whole=True)
        after = outcome.after + outcome.events
        return last, replace(outcome, output="", events=0, versions=(), after=after)

    def take_part(self, outcome: Outcome) -> tuple[str, TextPart] | None:
        """
        Take in what a run made.

        A run that ended early hands on what it made as one does that goes on: kept only in memory,
        the text of the item's next run would not follow on what the log has, and a new leader
        would begin at the gap.

        :return: job and part, to be kept; None where it does not follow on what is known.
        """
        run = self.run_by_number.get(outcome.number)
        kept = self._state.job_by_id.get(run.job) if run is not None else None
        if kept is None or run.item not in kept.item_by_id:
            return None
        progress = self.items.progress_of((run.job, run.item))
        if progress.events != run.resume_after + outcome.after:
            return None
        if progress.whole and not outcome.events:
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
        run.scoring = progress.whole
        if not progress.fits(kept.job):
            # The run goes on in vain; its end begins the item anew.
            return None
        return run.job, part

    def report(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        """
        Take in how a run ended.

        An item that ended does not begin again while its result is being committed.

        :return: job and result, where the item has ended with it.
        """
        ended = self._take_outcome(outcome, now)
        if ended is not None:
            self.items.ending.add((ended[0], ended[1].item))
        return ended

    def _take_outcome(self, outcome: Outcome, now: float) -> tuple[str, ItemResult] | None:
        run = self.run_by_number.get(outcome.number)
        if run is None:
            return None
        self._end(outcome.number)
        kept = self._state.job_by_id.get(run.job)
        if kept is None or run.item not in kept.item_by_id:
            return None
        key = (run.job, run.item)
        progress = self.items.progress_of(key)
        if progress.events == run.resume_after + outcome.after:
            progress.add(outcome)
        elif outcome.kind == "done":
            # Another run went on from elsewhere meanwhile: this one's text does not join.
            return None
        if not progress.fits(kept.job):
            eliot.log_message("dispatch:versions", item=run.item, versions=progress.versions)
            progress.begin_anew()
            return None
        if outcome.kind == "done":
            if kept.item_by_id[run.item].reward is not None and not outcome.score:
                # A text without its score is no result: only the reward call is begun anew.
                progress.whole = True
                self.items.unscored.add(key)
                return None
            return run.job, progress.completed(run.item, outcome.score)
        return self._failed(run, outcome, kept, progress, now)

    def _failed(
        self, run: Run, outcome: Outcome, kept: KeptJob, progress: ItemProgress, now: float
    ) -> tuple[str, ItemResult] | None:
        eliot.log_message(
            "dispatch:run_failed",
            item=run.item,
            kind=outcome.kind,
            endpoint=run.endpoint,
            events=progress.events,
            whole=progress.whole,
        )
        if outcome.kind in ("impossible", "unscored"):
            return run.job, abandoned(run.item)
        if run.moved or run.scoring:
            return None
        self.engines.rest(run.endpoint, kept.job.model, outcome.kind, now)
        if outcome.kind == "failed":
            progress.failures += 1
            progress.not_before_s = now + FAILED_PAUSE_S
            if progress.failures >= kept.job.max_attempts:
                return run.job, abandoned(run.item)
        return None

    def _lose(self, number: int, cause: str) -> None:
        run = self.run_by_number.get(number)
        if run is not None:
            eliot.log_message("dispatch:lost", item=run.item, runner=run.runner, cause=cause)
        self._end(number)

    def _end(self, number: int) -> None:
        run = self.run_by_number.pop(number, None)
        if run is None:
            return
        self.items.ends((run.job, run.item), number)
        runner = self.runners.runner_by_address.get(run.runner)
        if runner is not None:
            runner.sequence_by_number.pop(number, None)


__all__ = ["Dispatcher", "Surroundings"]
