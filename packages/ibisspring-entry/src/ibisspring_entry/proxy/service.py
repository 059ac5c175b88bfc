"""The service `endpoints`: sends generations and calls to the endpoints that the registry knows."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from contextlib import aclosing, contextmanager
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.retries import RetryBudget
from ibisspring_decisions.routing import Candidate, Router, prefix_digest
from ibisspring_entry.proxy.connections import open_session
from ibisspring_entry.proxy.generation import Generation
from ibisspring_entry.proxy.messages import End, Failed
from ibisspring_entry.proxy.plain_call import PlainCall
from ibisspring_entry.proxy.turn_taking import TurnTaking

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Collection, Coroutine, Iterator

    import aiohttp

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings import Settings
    from ibisspring_entry.proxy.messages import (
        GenerateRequest,
        PlainAnswer,
        PlainRequest,
        TokenRun,
    )


Start = tuple[str, int]
"""An endpoint's id with its incarnation: what failed it need not hold for its next start."""


class Endpoints:
    """What this entry has under way at the endpoints."""

    name = "endpoints"

    def __init__(self, data_centre: str, silence_s: float) -> None:
        self.silence_s = silence_s
        self.session: aiohttp.ClientSession | None = None
        self._router = Router.from_data_centre(data_centre, random.Random())
        self._budget = RetryBudget.from_defaults()
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._sent_by_endpoint: dict[str, tuple[tuple[int, int], int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
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

    def pick(
        self,
        service: str,
        prompt: str,
        avoid: Collection[str] = (),
        failed_on: Collection[Start] = (),
        dead: Collection[Start] = (),
        repeatable: bool = True,
    ) -> EndpointRecord | None:
        """
        Choose an endpoint for new work.

        :param service: the model or plain service.
        :param prompt: for the prefix cache; empty where it means nothing.
        :param avoid: endpoints that must not be used.
        :param failed_on: starts that failed this request, used only where no other is left.
        :param dead: starts to which no connection can be made.
        :param repeatable: whether the request loses nothing when its endpoint is reclaimed.
        :return: the endpoint's record, or None where none may take work.
        """
        record_by_endpoint = {}
        fresh = []
        for record in self._registry.records_of(service):
            start = (record.endpoint, record.incarnation)
            if record.endpoint in avoid or start in dead:
                continue
            record_by_endpoint[record.endpoint] = record
            if start not in failed_on:
                fresh.append(record.endpoint)
        names = fresh or list(record_by_endpoint)
        prefix = prefix_digest(prompt) if prompt else ""
        candidates = tuple(self._candidate(record_by_endpoint[name], prefix) for name in names)
        chosen = self._router.choose(candidates, boot_now(), repeatable)
        return None if chosen is None else record_by_endpoint[chosen]

    def _candidate(self, record: EndpointRecord, prefix: str) -> Candidate:
        return Candidate(
            endpoint=record.endpoint,
            data_centre=record.data_centre,
            kind=record.kind,
            running=record.load.running,
            queued=record.load.queued,
            capacity=record.load.capacity,
            in_flight=self._in_flight_by_endpoint.get(record.endpoint, 0),
            sent_since=self._sent_since(record),
            cached=prefix in record.prefixes,
        )

    def _sent_since(self, record: EndpointRecord) -> int:
        """What this entry sent there since the endpoint's newest report was heard."""
        order, sent = self._sent_by_endpoint.get(record.endpoint, ((0, 0), 0))
        return sent if order == record.order() else 0

    @contextmanager
    def work_on(self, record: EndpointRecord) -> Iterator[None]:
        """
        Count one request as under way at an endpoint.

        :param record: the endpoint.
        """
        endpoint = record.endpoint
        self._in_flight_by_endpoint[endpoint] = self._in_flight_by_endpoint.get(endpoint, 0) + 1
        self._sent_by_endpoint[endpoint] = (record.order(), self._sent_since(record) + 1)
        try:
            yield
        finally:
            left = self._in_flight_by_endpoint[endpoint] - 1
            self._in_flight_by_endpoint[endpoint] = left
            if left == 0:
                del self._in_flight_by_endpoint[endpoint]

    def note_failure(self, endpoint: str) -> None:
        """
        Tell the routing that an endpoint failed a request.

        :param endpoint: its id.
        """
        self._router.failed(endpoint, boot_now())

    def note_answer(self, endpoint: str, pace: float) -> None:
        """
        Tell the routing that an endpoint answered whole.

        :param endpoint: its id.
        :param pace: seconds for each token or call.
        """
        self._router.answered(endpoint, pace)

    def may_retry(self, reason: Reason, charged: bool = True) -> bool:
        """
        Ask for one more try, and count it.

        :param reason: why the try before failed.
        :param charged: whether it adds load and so has to come out of the budget.
        :return: whether it may be sent.
        """
        if charged and not self._budget.take(boot_now()):
            self._counters.add("retry_budget_empty")
            return False
        self._counters.retried(reason)
        return True

    def run_aside(self, work: Coroutine[Any, Any, None]) -> None:
        """
        Run something that the caller must not wait for.

        :param work: a coroutine that raises nothing.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


WITHDRAWN = Refusal(Reason.KEY_WITHDRAWN, True, None, "the key was withdrawn while it waited")


def _may_start(request: GenerateRequest | PlainRequest) -> bool:
    return request.may_start is None or request.may_start()


__all__ = ["Endpoints"]
