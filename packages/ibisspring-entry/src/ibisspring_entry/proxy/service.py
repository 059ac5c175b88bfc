"""The service `endpoints`: sends generations and calls to the endpoints that the registry knows."""

from __future__ import annotations

import asyncio
import dataclasses
from contextlib import aclosing
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.connections import open_session
from ibisspring_entry.proxy.endpoint_use import EndpointUse
from ibisspring_entry.proxy.generation import Generation
from ibisspring_entry.proxy.messages import End, Failed
from ibisspring_entry.proxy.plain_call import PlainCall
from ibisspring_entry.proxy.turn_taking import TurnTaking

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings
    from ibisspring_entry.proxy.messages import (
        GenerateRequest,
        PlainAnswer,
        PlainRequest,
        TokenRun,
    )


class Endpoints(EndpointUse):
    """Runs generations and calls at the endpoints."""

    name = "endpoints"

    def __init__(self, data_centre: str, silence_s: float) -> None:
        super().__init__(data_centre, silence_s)
        self._turn_taking = TurnTaking()

    @classmethod
    def from_config(cls, settings: Settings) -> Endpoints:
        """
        Build the service.

        :param settings: settings of a daemon with the entry role.
        :return: the service.
        """
        return cls(settings.data_centre, settings.entry.silence_s)

    async def start(self, kernel: Kernel) -> None:
        """Open the client; no connection is made before the first request."""
        self._registry = kernel.find("registry")
        self._counters = kernel.find("counters")
        await self._turn_taking.start(kernel)
        self.session = open_session()

    async def stop(self) -> None:
        """Let the cancels that are under way end, then close the client."""
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()

    async def generate(
        self, request: GenerateRequest
    ) -> AsyncGenerator[TokenRun | End | Failed, None]:
        """
        Run a generation when its turn has come.

        Leaving the iteration early (`aclose` or cancellation) cancels the engine's work.

        :param request: what to generate and for whom.
        :return: token runs in order, then exactly one `End` or `Failed`.
        """
        began = boot_now()
        taking = self._turn_taking
        turn = await taking.take(
            request.model, request.client_account, request.max_tokens, request.deadline_s
        )
        if isinstance(turn, Refusal):
            yield Failed(request.request_id, turn)
            return
        if not _may_start(request):
            taking.leave(request.model, turn, 1, 0.0, False)
            yield Failed(request.request_id, WITHDRAWN)
            return
        self._budget.request(boot_now())
        started = boot_now()
        whole = False
        answers = Generation(self, request, began + request.deadline_s).answers()
        try:
            async with aclosing(answers):
                async for answer in answers:
                    if isinstance(answer, End):
                        whole = True
                        answer = dataclasses.replace(answer, endpoint_s=boot_now() - started)
                    yield answer
        finally:
            real_s = boot_now() - started
            taking.leave(request.model, turn, request.max_tokens, real_s, whole)

    async def call(self, request: PlainRequest) -> PlainAnswer | Refusal:
        """
        Call a plain service when its turn has come.

        :param request: the call.
        :return: its whole answer or a refusal.
        """
        began = boot_now()
        taking = self._turn_taking
        turn = await taking.take(request.service, request.client_account, 1, request.deadline_s)
        if isinstance(turn, Refusal):
            return turn
        if not _may_start(request):
            taking.leave(request.service, turn, 1, 0.0, False)
            return WITHDRAWN
        self._budget.request(boot_now())
        started = boot_now()
        whole = False
        try:
            answer = await PlainCall(self, request, began + request.deadline_s).answer()
            if isinstance(answer, Refusal):
                return answer
            whole = True
            return dataclasses.replace(answer, endpoint_s=boot_now() - started)
        finally:
            taking.leave(request.service, turn, 1, boot_now() - started, whole)


WITHDRAWN = Refusal(Reason.KEY_WITHDRAWN, True, None, "the key was withdrawn while it waited")


def _may_start(request: GenerateRequest | PlainRequest) -> bool:
    return request.may_start is None or request.may_start()


__all__ = ["Endpoints"]
