"""Gathers the samples of one open step on the entry that owns it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_decisions.sampling import MemberView, plan_starts
from ibisspring_entry.proxy import GenerateRequest
from ibisspring_entry.rollouts.attempt import (
    AttemptPlan,
    Bound,
    Discarded,
    EngineInUse,
    run_attempt,
)
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
    :param score: scores samples; returns those that have a score of their own version.
    """

    endpoints: Any
    counters: Any
    client_account: str
    bound: Callable[[], Bound]
    engines: EngineChoice
    score: Callable[[tuple[Sample, ...]], Any] | None = None


class _Member:
    """One sample to be made: its attempts and, in the end, the one that won."""

    def __init__(self, group: int, member: int) -> None:
        self.group = group
        self.member = member
        self.sample: Sample | None = None
        self.attempts = 0
        self.failures = 0
        self.not_before_s = 0.0
        self.started_by_task: dict[asyncio.Task[None], float] = {}
        self.engine_by_task: dict[asyncio.Task[None], EngineInUse] = {}

    def forget(self, task: asyncio.Task[None]) -> None:
        """Drop an attempt that has ended."""
        self.started_by_task.pop(task, None)
        self.engine_by_task.pop(task, None)


class Gathering:
    """The samples of one step, made again until the batch is whole."""

    def __init__(self, key: StepKey, request: StepRequest, needs: GatherNeeds) -> None:
        self.key = key
        self.request = request
        self._needs = needs
        self._members = [
            _Member(group, member)
            for group in range(len(request.groups))
            for member in range(request.group_size)
        ]
        self._durations_s: list[float] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to gather."""
        self._task = asyncio.create_task(self._run(), name=f"gather:{self.key}")

    async def stop(self) -> None:
        """Cancel all attempts; the engines are told by the closed streams."""
        tasks = [task for member in self._members for task in member.started_by_task]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

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
        for member in self._members:
            if member.sample is None or bound.allows(member.sample.oldest_version()):
                continue
            self._discard(member, "stale")
            self._wake.set()

    def _discard(self, member: _Member, cause: str) -> None:
        member.sample = None
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
        now = time.monotonic()
        free = self._needs.engines.room(now) - running
        if free <= 0:
            return
        views = tuple(_view(member) for member in self._members)
        starts = plan_starts(views, free, tuple(self._durations_s), now)
        for start in starts:
            member = self._members[start.group * self.request.group_size + start.member]
            if start.race:
                self._needs.counters.add("samples.raced")
            self._start(member)

    def _start(self, member: _Member) -> None:
        member.attempts += 1
        engine = EngineInUse(self._needs.bound())
        others = tuple(running.endpoint for running in member.engine_by_task.values())
        plan = self._plan(member, others)
        task = asyncio.create_task(self._attempt(member, plan, engine))
        member.started_by_task[task] = time.monotonic()
        member.engine_by_task[task] = engine
        task.add_done_callback(member.forget)

    def _plan(self, member: _Member, others: tuple[str, ...]) -> AttemptPlan:
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
            avoid=self._needs.engines.left_out(time.monotonic()) + others,
            deadline_s=ATTEMPT_S,
        )
        return AttemptPlan(sample, group.group, member.member, group.prompt, request)

    async def _attempt(self, member: _Member, plan: AttemptPlan, engine: EngineInUse) -> None:
        result = await run_attempt(self._needs.endpoints, plan, self._needs.bound, engine)
        if isinstance(result, Sample) and self._needs.score is not None:
            result = await self._needs.score(result)
        if member.sample is not None:
            return
        if isinstance(result, Discarded):
            self._failed(member, plan, result)
            if engine.is_disproved() or result.cause == "missing_label":
                self._needs.engines.distrust(engine.endpoint, time.monotonic())
        else:
            self._won(member, result)
        self._wake.set()

    def _won(self, member: _Member, sample: Sample) -> None:
        member.sample = sample
        member.failures = 0
        self._durations_s.append(sample.endpoint_s)
        current = asyncio.current_task()
        for task in member.started_by_task:
            if task is not current:
                task.cancel()

    def _failed(self, member: _Member, plan: AttemptPlan, result: Discarded) -> None:
        self._needs.counters.add(f"samples.discarded.{result.cause}")
        if result.reason is not None:
            self._needs.counters.retried(result.reason)
        eliot.log_message(
            "rollouts:attempt_discarded",
            sample=plan.sample,
            cause=result.cause,
            reason=result.reason.value if result.reason is not None else "",
        )
        member.failures += 1
        backoff_s = min(RETRY_MOST_S, RETRY_FIRST_S * 2 ** (member.failures - 1))
        member.not_before_s = time.monotonic() + max(backoff_s, result.retry_after_s or 0.0)


def _view(member: _Member) -> MemberView:
    return MemberView(
        member.group,
        member.member,
        done=member.sample is not None,
        started_s=tuple(member.started_by_task.values()),
        not_before_s=member.not_before_s,
    )


__all__ = ["GatherNeeds", "Gathering", "StepKey"]
