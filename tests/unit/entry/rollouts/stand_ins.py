"""Test doubles for the services that the generation of a step's samples uses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

from ibisspring_core.counters import Counters
from ibisspring_entry.proxy import GenerateRequest, GenerationEnd, TokenRun
from ibisspring_entry.rollouts.attempt import StalenessBound
from ibisspring_entry.rollouts.gathering import Gathering, GatheringContext, StepKey
from ibisspring_entry.rollouts.step_request import GroupRequest, StepRequest


class Engines:
    """
    Engines that send one token for each item of a script.

    Each item is the version label of its token, or None for a token without a label. The stream of
    a sample in `end_event_by_sample` ends only after the event is set.
    """

    def __init__(self, script: Callable[[GenerateRequest], tuple[int | None, ...]]) -> None:
        self.script = script
        self.requested: list[str] = []
        self.closed: list[str] = []
        self.end_event_by_sample: dict[str, asyncio.Event] = {}
        self.endpoint_s = 0.0

    async def generate(self, request: GenerateRequest) -> AsyncIterator[Any]:
        self.requested.append(request.request_id)
        labels = self.script(request)
        try:
            for offset, version in enumerate(labels):
                await asyncio.sleep(0)
                yield TokenRun(request.request_id, offset, (offset,), "", version, "n0")
            if request.request_id in self.end_event_by_sample:
                await self.end_event_by_sample[request.request_id].wait()
            yield GenerationEnd(request.request_id, len(labels), "n0", endpoint_s=self.endpoint_s)
        finally:
            self.closed.append(request.request_id)


class UnrestrictedEngineChoice:
    """An engine choice that excludes no engine and has a fixed concurrency limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.excluded_engines: list[str] = []

    def concurrency_limit(self, running: int, now: float) -> int:
        return self.limit

    def excluded(self, now: float) -> tuple[str, ...]:
        return ()

    def exclude(self, endpoint: str, now: float) -> None:
        self.excluded_engines.append(endpoint)

    def exclude_and_report(self, endpoint: str, version: int, now: float) -> None:
        self.excluded_engines.append(endpoint)


def gathering(
    engines: Engines,
    current_bound: Callable[[], StalenessBound],
    groups: int = 2,
    size: int = 2,
    limit: int = 100,
) -> tuple[Gathering, Counters]:
    """Return an unstarted `Gathering` for step 1, epoch 1 of trainer `t`, and its counters."""
    request = StepRequest(
        "scorer-lm", size, 8, tuple(GroupRequest(f"g{n}", f"prompt {n}") for n in range(groups))
    )
    counters = Counters(None)
    context = GatheringContext(
        engines, counters, "forge", current_bound, UnrestrictedEngineChoice(limit)
    )
    return Gathering(StepKey("t", 1, 1), request, context), counters
