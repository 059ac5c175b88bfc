"""Stand-ins for the services that a gathering uses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

from ibisspring_core.counters import Counters
from ibisspring_entry.proxy import End, GenerateRequest, TokenRun
from ibisspring_entry.rollouts.attempt import Bound
from ibisspring_entry.rollouts.gathering import Gathering, GatherNeeds, StepKey
from ibisspring_entry.rollouts.step_request import GroupRequest, StepRequest


class Engines:
    """Answers by a script; each item of a script is a label, or None for a missing one."""

    def __init__(self, script: Callable[[GenerateRequest], tuple[int | None, ...]]) -> None:
        self.script = script
        self.asked: list[str] = []
        self.closed: list[str] = []
        self.hang_by_sample: dict[str, asyncio.Event] = {}
        self.endpoint_s = 0.0

    async def generate(self, request: GenerateRequest) -> AsyncIterator[Any]:
        self.asked.append(request.request_id)
        labels = self.script(request)
        try:
            for offset, version in enumerate(labels):
                await asyncio.sleep(0)
                yield TokenRun(request.request_id, offset, (offset,), "", version, "n0")
            if request.request_id in self.hang_by_sample:
                await self.hang_by_sample[request.request_id].wait()
            yield End(request.request_id, len(labels), "n0", endpoint_s=self.endpoint_s)
        finally:
            self.closed.append(request.request_id)


class AnyEngine:
    """A choice that leaves no engine out."""

    def __init__(self, places: int) -> None:
        self.places = places
        self.distrusted: list[str] = []

    def room(self, running: int, now: float) -> int:
        return self.places

    def left_out(self, now: float) -> tuple[str, ...]:
        return ()

    def distrust(self, endpoint: str, now: float) -> None:
        self.distrusted.append(endpoint)

    def disprove(self, endpoint: str, version: int, now: float) -> None:
        self.distrusted.append(endpoint)


def gathering(
    engines: Engines, bound: Callable[[], Bound], groups: int = 2, size: int = 2, room: int = 100
) -> tuple[Gathering, Counters]:
    """A gathering of trainer `t`, step 1, epoch 1."""
    request = StepRequest(
        "scorer-lm", size, 8, tuple(GroupRequest(f"g{n}", f"prompt {n}") for n in range(groups))
    )
    counters = Counters(None)
    needs = GatherNeeds(engines, counters, "forge", bound, AnyEngine(room))
    return Gathering(StepKey("t", 1, 1), request, needs), counters
