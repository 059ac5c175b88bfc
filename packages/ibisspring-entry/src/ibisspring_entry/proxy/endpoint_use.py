"""Which endpoint gets a try, and what tries teach of the endpoints."""

from __future__ import annotations

import asyncio
import random
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_decisions.retries import RetryBudget
from ibisspring_decisions.routing import Candidate, Router, prefix_digest

if TYPE_CHECKING:
    from collections.abc import Collection, Coroutine, Iterator

    import aiohttp

    from ibisspring_core.errors import Reason
    from ibisspring_core.messages.endpoints import EndpointRecord

Start = tuple[str, int]
"""An endpoint's id with its incarnation: what failed it need not hold for its next start."""


class EndpointUse:
    """What this entry has under way at the endpoints, shared by all its requests."""

    def __init__(self, data_centre: str, silence_s: float) -> None:
        self.silence_s = silence_s
        self.session: aiohttp.ClientSession | None = None
        self._router = Router.from_data_centre(data_centre, random.Random())
        self._budget = RetryBudget.from_defaults()
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._sent_by_endpoint: dict[str, tuple[tuple[int, int], int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

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


__all__ = ["EndpointUse", "Start"]
