"""The service `endpoints`: sends generations and plain calls to the registered endpoints."""

from __future__ import annotations

import asyncio
import dataclasses
from contextlib import aclosing
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.connections import open_session
from ibisspring_entry.proxy.endpoint_use import EndpointClient
from ibisspring_entry.proxy.generation import Generation
from ibisspring_entry.proxy.messages import GenerationEnd, GenerationFailed
from ibisspring_entry.proxy.plain_call import PlainCall
from ibisspring_entry.proxy.turn_taking import SlotAllocator

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings
    from ibisspring_entry.proxy.messages import (
        CompleteAnswer,
        GenerateRequest,
        PlainRequest,
        TokenRun,
    )


class Endpoints(EndpointClient):
    """Runs generations and plain calls at the endpoints, each once it has got a slot."""

    name = "endpoints"

    def __init__(self, data_centre: str, silence_s: float, max_answer_bytes: int) -> None:
        super().__init__(data_centre, silence_s, max_answer_bytes)
        self._slot_allocator = SlotAllocator()

    @classmethod
    def from_config(cls, settings: Settings) -> Endpoints:
        """
        Build the service, which prefers endpoints in the daemon's data centre.

        :param settings: validated settings of a daemon with the entry role.
        """
        entry = settings.entry
        return cls(settings.data_centre, entry.silence_s, entry.max_answer_bytes)

    async def start(self, kernel: Kernel) -> None:
        """
        Open the HTTP client session; no connection is opened before the first request.

        :param kernel: registry in which the daemon's services find each other.
        """
        self._registry = kernel.find("registry")
        self._counters = kernel.find("counters")
        self._crash_suspects = kernel.find("crash_suspects")
        await self._slot_allocator.start(kernel)
        self.session = open_session()

    async def stop(self) -> None:
        """Wait for running cancel requests to engines, then close the HTTP client session."""
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()

    async def generate(
        self, request: GenerateRequest
    ) -> AsyncGenerator[TokenRun | GenerationEnd | GenerationFailed, None]:
        """
        Wait for a slot of the model, then run a generation at its engines.

        Ending the iteration early (by `aclose` or cancellation) cancels the engine's work.

        :param request: the prompt with the model, the limits and the client account.
        :return: runs of tokens in order, then exactly one `GenerationEnd` or `GenerationFailed`.
        """
        refusal = await self._admit(request, request.model)
        if refusal is not None:
            yield GenerationFailed(request.request_id, refusal)
            return
        events = self._generate_admitted(request)
        try:
            async with aclosing(events):
                async for event in events:
                    yield event
        finally:
            self._crash_suspects.exchange_ended(request)

    async def _generate_admitted(
        self, request: GenerateRequest
    ) -> AsyncGenerator[TokenRun | GenerationEnd | GenerationFailed, None]:
        began = boot_now()
        slots = self._slot_allocator
        slot = await slots.acquire(
            request.model, request.client_account, request.max_tokens, request.deadline_s
        )
        if isinstance(slot, Refusal):
            yield GenerationFailed(request.request_id, slot)
            return
        if not _is_still_allowed(request):
            slots.release(request.model, slot, 1, 0.0, False)
            yield GenerationFailed(request.request_id, KEY_WITHDRAWN_REFUSAL)
            return
        self._budget.count_request(boot_now())
        started = boot_now()
        complete = False
        events = Generation(self, request, began + request.deadline_s).stream()
        try:
            async with aclosing(events):
                async for event in events:
                    if isinstance(event, GenerationEnd):
                        complete = True
                        event = dataclasses.replace(event, endpoint_s=boot_now() - started)
                    yield event
        finally:
            work_s = boot_now() - started
            slots.release(request.model, slot, request.max_tokens, work_s, complete)

    async def call(self, request: PlainRequest) -> CompleteAnswer | Refusal:
        """
        Wait for a slot of a plain service, then call one of its endpoints.

        :param request: the HTTP request with the service, the deadline and the client account.
        :return: the complete answer or a refusal.
        """
        refusal = await self._admit(request, request.service)
        if refusal is not None:
            return refusal
        try:
            return await self._call_admitted(request)
        finally:
            self._crash_suspects.exchange_ended(request)

    async def _admit(self, request: GenerateRequest | PlainRequest, service: str) -> Refusal | None:
        others = len(self._registry.available_endpoints(service)) - 1
        return await self._crash_suspects.admit(request, service, request.deadline_s, others)

    async def _call_admitted(self, request: PlainRequest) -> CompleteAnswer | Refusal:
        began = boot_now()
        slots = self._slot_allocator
        slot = await slots.acquire(request.service, request.client_account, 1, request.deadline_s)
        if isinstance(slot, Refusal):
            return slot
        if not _is_still_allowed(request):
            slots.release(request.service, slot, 1, 0.0, False)
            return KEY_WITHDRAWN_REFUSAL
        self._budget.count_request(boot_now())
        started = boot_now()
        complete = False
        try:
            answer = await PlainCall(self, request, began + request.deadline_s).answer()
            if isinstance(answer, Refusal):
                return answer
            complete = True
            return dataclasses.replace(answer, endpoint_s=boot_now() - started)
        finally:
            slots.release(request.service, slot, 1, boot_now() - started, complete)


KEY_WITHDRAWN_REFUSAL = Refusal(
    Reason.KEY_WITHDRAWN, True, None, "the key was withdrawn while the request waited for a slot"
)


def _is_still_allowed(request: GenerateRequest | PlainRequest) -> bool:
    return request.is_still_allowed is None or request.is_still_allowed()


__all__ = ["Endpoints"]
