"""Generates the samples of one open step on the entry that owns it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_decisions.sampling import may_start, plan_starts
from ibisspring_entry.proxy import GenerateRequest
from ibisspring_entry.rollouts.attempt import (
    AttemptEngine,
    AttemptPlan,
    Discarded,
    StalenessBound,
    run_attempt,
)
from ibisspring_entry.rollouts.member import Member
from ibisspring_entry.rollouts.samples import Sample

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_entry.rollouts.engine_choice import EngineChoice
    from ibisspring_entry.rollouts.step_request import StepRequest

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
PLAN_INTERVAL_S = 0.2
# Longest time in seconds for generating one sample. If the attempt is a straggler, a second attempt
# is started long before this time.
ATTEMPT_TIMEOUT_S = 600.0


@dataclass(frozen=True)
class StepKey:
    """
    Identifies a step under one owner.

    :param epoch: increases when another entry takes over the step. Sample ids contain it, so that
        samples still held by a lost owner cannot be confused with those of the new owner.
    """

    trainer: str
    step: int
    epoch: int


@dataclass(frozen=True)
class GatheringContext:
    """
    The services and rules that the generation of one step's samples uses.

    :param endpoints: the kernel's service `endpoints`, which sends generations to engines.
    :param counters: the kernel's service `counters`, which counts discarded samples.
    :param client_account: client account that the generated tokens are billed to.
    :param current_bound: returns the staleness bound at the time of the call.
    :param engines: selects the engines and limits the concurrent attempts.
    :param expected_publications: number of versions that the trainer will probably publish before
        it requests the batch.
    :param score: scores a sample for its newest version and returns it; None for a step without
        scores.
    """

    endpoints: Any
    counters: Any
    client_account: str
    current_bound: Callable[[], StalenessBound]
    engines: EngineChoice
    expected_publications: int = 0
    score: Callable[[tuple[Sample, ...]], Any] | None = None


class Gathering:
    """
    Generates the samples of one step and replaces stale samples until the batch is complete.

    For a sample whose attempt is slow, a second engine generates the same sample, and the first
    complete attempt is used (a race).
    """

    def __init__(self, key: StepKey, request: StepRequest, context: GatheringContext) -> None:
        self.key = key
        self.request = request
        self._context = context
        self._members = [
            Member(group, member)
            for group in range(len(request.groups))
            for member in range(request.group_size)
        ]
        self._durations_s: list[float] = []
        self._version_at_open = context.current_bound().trainer_version
        self._batch_requested = False
        self._checked_bound: StalenessBound | None = None
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that starts attempts to generate the step's samples."""
        self._task = asyncio.create_task(self._run(), name=f"gather:{self.key}")

    async def stop(self) -> None:
        """Cancel all attempts; closing their streams makes the engines stop generating."""
        tasks = [task for member in self._members for task in member.tasks]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def record_batch_request(self) -> int | None:
        """
        Record that the trainer requested the step's batch.

        :return: at the first request, how many versions the trainer has published since the step
            was opened; None at later requests.
        """
        if self._batch_requested:
            return None
        self._batch_requested = True
        self._wake.set()
        return self._context.current_bound().trainer_version - self._version_at_open

    def ready_count(self) -> int:
        """Return the number of finished samples, scored if the step requires scores."""
        return sum(1 for member in self._members if member.sample is not None)

    def complete_samples(self) -> tuple[Sample, ...] | None:
        """Return all samples in the order of groups and members, or None while one is missing."""
        self.discard_stale()
        samples = tuple(member.sample for member in self._members if member.sample is not None)
        return samples if len(samples) == len(self._members) else None

    def regenerate(self, sample_ids: tuple[str, ...]) -> None:
        """
        Discard samples, and generate samples with new ids in their stead.

        :param sample_ids: samples that were too old when the delivery was committed.
        """
        for member in self._members:
            if member.sample is not None and member.sample.sample_id in sample_ids:
                self._discard(member, "stale")
        self._wake.set()

    def discard_stale(self) -> None:
        """Discard finished samples that have become too old, to save a commit that would fail."""
        bound = self._context.current_bound()
        if bound == self._checked_bound:
            return
        self._checked_bound = bound
        for member in self._members:
            if member.sample is None or bound.allows(member.sample.oldest_version()):
                continue
            self._discard(member, "stale")
            self._wake.set()

    def _discard(self, member: Member, cause: str) -> None:
        member.sample = None
        member.has_winner = False
        self._context.counters.add(f"samples.discarded.{cause}")

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self.discard_stale()
            self._start_attempts()
            # asyncio.wait_for is not used here: it loses a cancellation that arrives in the same
            # iteration of the event loop as the event, and stop() would wait for this task forever.
            try:
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _start_attempts(self) -> None:
        running = sum(len(member.started_by_task) for member in self._members)
        bound = self._context.current_bound()
        published = bound.trainer_version - self._version_at_open
        if not may_start(
            self._context.expected_publications,
            published,
            bound.max_versions_behind,
            self._batch_requested,
        ):
            return
        now = time.monotonic()
        free = self._context.engines.concurrency_limit(running, now) - running
        if free <= 0:
            return
        views = tuple(member.view() for member in self._members)
        starts = plan_starts(views, free, tuple(self._durations_s), now)
        for start in starts:
            member = self._members[start.group * self.request.group_size + start.member]
            if start.race:
                self._context.counters.add("samples.raced")
            self._start_attempt(member)

    def _start_attempt(self, member: Member) -> None:
        member.attempts += 1
        engine = AttemptEngine(self._context.current_bound())
        plan = self._plan(member, engine)
        task = asyncio.create_task(self._run_attempt(member, plan, engine))
        member.add_attempt(task, engine, time.monotonic())

    def _plan(self, member: Member, engine: AttemptEngine) -> AttemptPlan:
        group = self.request.groups[member.group]
        key = self.key
        # The sample id contains the index of the group, since the group's name may contain
        # characters that are not allowed in a header or a path.
        position = f"{member.group}:{member.member}.{member.attempts}"
        sample_id = f"{key.trainer}:{key.step}:{key.epoch}:{position}"
        request = GenerateRequest(
            request_id=sample_id,
            client_account=self._context.client_account,
            model=self.request.model,
            adapter=key.trainer,
            prompt=group.prompt,
            max_tokens=self.request.max_tokens,
            excluded_endpoints=self._context.engines.excluded(time.monotonic())
            + member.engines_in_use(),
            deadline_s=ATTEMPT_TIMEOUT_S,
            on_endpoint_chosen=engine.set_endpoint,
            accepted=True,
        )
        return AttemptPlan(sample_id, group.group, member.member, group.prompt, request)

    async def _run_attempt(self, member: Member, plan: AttemptPlan, engine: AttemptEngine) -> None:
        started_s = time.monotonic()
        result = await run_attempt(
            self._context.endpoints, plan, self._context.current_bound, engine
        )
        if member.has_winner:
            return
        if isinstance(result, Sample):
            member.select_winner(asyncio.current_task())
            # The duration includes the time in the queue for an engine: an attempt that is only
            # queued is not a straggler, and a second attempt would make the queue longer.
            self._durations_s.append(time.monotonic() - started_s)
            self._wake.set()
            member.sample = await self._with_score(result)
            # This forces a staleness check: the sample may have become too old while it was scored.
            self._checked_bound = None
            member.failures = 0
        else:
            self._record_failure(member, plan, result)
        now = time.monotonic()
        if engine.was_stale_at_start():
            self._context.engines.exclude_and_report(engine.endpoint, engine.first_version, now)
        elif result == Discarded("missing_label"):
            self._context.engines.exclude(engine.endpoint, now)
        self._wake.set()

    async def _with_score(self, sample: Sample) -> Sample:
        return sample if self._context.score is None else await self._context.score(sample)

    def _record_failure(self, member: Member, plan: AttemptPlan, result: Discarded) -> None:
        self._context.counters.add(f"samples.discarded.{result.cause}")
        if result.reason is not None:
            self._context.counters.retried(result.reason)
        eliot.log_message(
            "rollouts:attempt_discarded",
            sample=plan.sample_id,
            cause=result.cause,
            reason=result.reason.value if result.reason is not None else "",
        )
        member.has_winner = False
        member.failures += 1
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (member.failures - 1))
        member.not_before_s = time.monotonic() + max(backoff_s, result.retry_after_s or 0.0)


__all__ = ["Gathering", "GatheringContext", "StepKey"]
