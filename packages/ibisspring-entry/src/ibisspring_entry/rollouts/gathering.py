"""Gathers the samples of one open step on the entry that owns it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_decisions.sampling import may_start, plan_starts
from ibisspring_entry.proxy import GenerateRequest
from ibisspring_entry.rollouts.attempt import (
    AttemptPlan,
    Bound,
    Discarded,
    EngineInUse,
    run_attempt,
)
from ibisspring_entry.rollouts.member import Member
from ibisspring_entry.rollouts.samples import Sample

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_entry.rollouts.engine_choice import EngineChoice
    from ibisspring_entry.rollouts.step_request import StepRequest

RETRY_FIRST_S = 0.1
RETRY_MOST_S = 5.0
LOOK_AGAIN_S = 0.2
# As long as a sample may take: a straggler is raced long before.
ATTEMPT_S = 600.0


@dataclass(frozen=True)
class StepKey:
    """
    Names a step and who gathers it.

    :param epoch: rises when the step changes hands; sample ids contain it, so that what a lost
        owner still held can never be taken for a sample of the new one.
    """

    trainer: str
    step: int
    epoch: int


@dataclass(frozen=True)
class GatherNeeds:
    """
    What a gathering is given.

    :param endpoints: the kernel's `endpoints`.
    :param counters: the kernel's `counters`.
    :param client_account: whom the tokens are for.
    :param bound: the staleness bound now.
    :param engines: which engines may be used and what they have room for.
    :param expected: versions that the trainer will probably publish before it asks for the batch.
    :param score: waits until a sample has a score of its own version.
    """

    endpoints: Any
    counters: Any
    client_account: str
    bound: Callable[[], Bound]
    engines: EngineChoice
    expected: int = 0
    score: Callable[[tuple[Sample, ...]], Any] | None = None


class Gathering:
    """The samples of one step, made again until the batch is whole."""

    def __init__(self, key: StepKey, request: StepRequest, needs: GatherNeeds) -> None:
        self.key = key
        self.request = request
        self._needs = needs
        self._members = [
            Member(group, member)
            for group in range(len(request.groups))
            for member in range(request.group_size)
        ]
        self._durations_s: list[float] = []
        self._opened_version = needs.bound().trainer_version
        self._trainer_waits = False
        self._checked_bound: Bound | None = None
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to gather."""
        self._task = asyncio.create_task(self._run(), name=f"gather:{self.key}")

    async def stop(self) -> None:
        """Cancel all attempts; the engines are told by the closed streams."""
        tasks = [task for member in self._members for task in member.tasks]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def trainer_asks(self) -> int | None:
        """
        Note that the trainer asked for the batch.

        :return: at its first question, how many versions it published since the step was opened;
            None later.
        """
        if self._trainer_waits:
            return None
        self._trainer_waits = True
        self._wake.set()
        return self._needs.bound().trainer_version - self._opened_version

    def ready(self) -> int:
        """How many samples are there, fresh and scored where scores were asked for."""
        return sum(1 for member in self._members if member.sample is not None)

    def whole(self) -> tuple[Sample, ...] | None:
        """Every sample in the order of groups and members, or None while one is missing."""
        self.discard_stale()
        samples = tuple(member.sample for member in self._members if member.sample is not None)
        return samples if len(samples) == len(self._members) else None

    def replace(self, sample_ids: tuple[str, ...]) -> None:
        """
        Make samples again under new ids.

        :param sample_ids: samples that the delivering commit found too old.
        """
        for member in self._members:
            if member.sample is not None and member.sample.sample in sample_ids:
                self._discard(member, "stale")
        self._wake.set()

    def discard_stale(self) -> None:
        """Throw away finished samples that have become too old, before they cost a commit."""
        bound = self._needs.bound()
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
        member.taken = False
        self._needs.counters.add(f"samples.discarded.{cause}")

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self.discard_stale()
            self._start_planned()
            # Not wait_for: it drops a cancellation that comes in the same turn as the event, and
            # stop() would wait for this task for ever.
            try:
                async with asyncio.timeout(LOOK_AGAIN_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _start_planned(self) -> None:
        running = sum(len(member.started_by_task) for member in self._members)
        bound = self._needs.bound()
        published = bound.trainer_version - self._opened_version
        if not may_start(self._needs.expected, published, bound.versions, self._trainer_waits):
            return
        now = time.monotonic()
        free = self._needs.engines.room(running, now) - running
        if free <= 0:
            return
        views = tuple(member.view() for member in self._members)
        starts = plan_starts(views, free, tuple(self._durations_s), now)
        for start in starts:
            member = self._members[start.group * self.request.group_size + start.member]
            if start.race:
                self._needs.counters.add("samples.raced")
            self._start(member)

    def _start(self, member: Member) -> None:
        member.attempts += 1
        engine = EngineInUse(self._needs.bound())
        plan = self._plan(member, engine)
        task = asyncio.create_task(self._attempt(member, plan, engine))
        member.started(task, engine, time.monotonic())

    def _plan(self, member: Member, engine: EngineInUse) -> AttemptPlan:
        group = self.request.groups[member.group]
        key = self.key
        # By the group's number: its name may hold what a header or a path cannot.
        place = f"{member.group}:{member.member}.{member.attempts}"
        sample = f"{key.trainer}:{key.step}:{key.epoch}:{place}"
        request = GenerateRequest(
            request_id=sample,
            client_account=self._needs.client_account,
            model=self.request.model,
            adapter=key.trainer,
            prompt=group.prompt,
            max_tokens=self.request.max_tokens,
            avoid=self._needs.engines.left_out(time.monotonic()) + member.endpoints(),
            deadline_s=ATTEMPT_S,
            note_endpoint=engine.note_endpoint,
        )
        return AttemptPlan(sample, group.group, member.member, group.prompt, request)

    async def _attempt(self, member: Member, plan: AttemptPlan, engine: EngineInUse) -> None:
        started_s = time.monotonic()
        result = await run_attempt(self._needs.endpoints, plan, self._needs.bound, engine)
        if member.taken:
            return
        if isinstance(result, Sample):
            member.take(asyncio.current_task())
            # With the wait for a turn: whoever only waits is no straggler, and racing it would make
            # the line longer.
            self._durations_s.append(time.monotonic() - started_s)
            self._wake.set()
            member.sample = await self._scored(result)
            # It may have become too old while it waited for its score.
            self._checked_bound = None
            member.failures = 0
        else:
            self._failed(member, plan, result)
        now = time.monotonic()
        if engine.is_disproved():
            self._needs.engines.disprove(engine.endpoint, engine.first_version, now)
        elif result == Discarded("missing_label"):
            self._needs.engines.distrust(engine.endpoint, now)
        self._wake.set()

    async def _scored(self, sample: Sample) -> Sample:
        return sample if self._needs.score is None else await self._needs.score(sample)

    def _failed(self, member: Member, plan: AttemptPlan, result: Discarded) -> None:
        self._needs.counters.add(f"samples.discarded.{result.cause}")
        if result.reason is not None:
            self._needs.counters.retried(result.reason)
        eliot.log_message(
            "rollouts:attempt_discarded",
            sample=plan.sample,
            cause=result.cause,
            reason=result.reason.value if result.reason is not None else "",
        )
        member.taken = False
        member.failures += 1
        backoff_s = min(RETRY_MOST_S, RETRY_FIRST_S * 2 ** (member.failures - 1))
        member.not_before_s = time.monotonic() + max(backoff_s, result.retry_after_s or 0.0)


__all__ = ["GatherNeeds", "Gathering", "StepKey"]
