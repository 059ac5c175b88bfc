"""Selects the endpoint for each try and records the results for later selections."""

from __future__ import annotations

import asyncio
import random
from contextlib import contextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_core.response_bodies import ResponseMemory, read_body
from ibisspring_decisions.retries import RetryBudget
from ibisspring_decisions.routing import Candidate, Router, prefix_digest

if TYPE_CHECKING:
    from collections.abc import Collection, Coroutine, Iterator

    import aiohttp

    from ibisspring_core.errors import Reason
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_entry.proxy.messages import GenerateRequest, PlainRequest

EndpointStart = tuple[str, int]
"""An endpoint's id and incarnation; a failure of one start says nothing about the next start."""


class EndpointClient:
    """This entry's state as client of the endpoints: routing, requests in flight, retry budget."""

    def __init__(self, data_centre: str, silence_s: float, max_answer_bytes: int) -> None:
        self.silence_s = silence_s
        self.read_body = partial(read_body, max_bytes=max_answer_bytes, memory=ResponseMemory())
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
        excluded_endpoints: Collection[str] = (),
        failed_on: Collection[EndpointStart] = (),
        unreachable: Collection[EndpointStart] = (),
        repeatable: bool = True,
    ) -> EndpointRecord | None:
        """
        Choose an endpoint for the next try of a request.

        :param service: the model or plain service.
        :param prompt: the prompt, used to prefer endpoints that have its prefix cached; empty for
            plain calls.
        :param excluded_endpoints: ids of endpoints that must not be used.
        :param failed_on: endpoint starts that failed this request; used only if no other endpoint
            is available.
        :param unreachable: endpoint starts to which a connection attempt failed; never used.
        :param repeatable: whether the request can be repeated without loss if its endpoint is
            reclaimed by the cloud provider.
        :return: the endpoint's record, or None if no endpoint accepts new work.
        """
        record_by_endpoint = {}
        not_failed = []
        for record in self._registry.available_endpoints(service):
            start = (record.endpoint, record.incarnation)
            if record.endpoint in excluded_endpoints or start in unreachable:
                continue
            record_by_endpoint[record.endpoint] = record
            if start not in failed_on:
                not_failed.append(record.endpoint)
        names = not_failed or list(record_by_endpoint)
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
            sent_since_report=self._sent_since(record),
            has_cached_prefix=prefix in record.prefixes,
        )

    def _sent_since(self, record: EndpointRecord) -> int:
        """Return the number of requests sent to the endpoint since its newest announcement."""
        order, sent = self._sent_by_endpoint.get(record.endpoint, ((0, 0), 0))
        return sent if order == record.order() else 0

    @contextmanager
    def count_in_flight(self, record: EndpointRecord) -> Iterator[None]:
        """
        Count one request as in flight at an endpoint while the context is open.

        :param record: the endpoint's record, whose announcement the choice was based on.
        """
        endpoint = record.endpoint
        self._in_flight_by_endpoint[endpoint] = self._in_flight_by_endpoint.get(endpoint, 0) + 1
        self._sent_by_endpoint[endpoint] = (record.order(), self._sent_since(record) + 1)
        try:
            yield
        finally:
            remaining = self._in_flight_by_endpoint[endpoint] - 1
            self._in_flight_by_endpoint[endpoint] = remaining
            if remaining == 0:
                del self._in_flight_by_endpoint[endpoint]

    async def check_end(
        self, request: GenerateRequest | PlainRequest, record: EndpointRecord
    ) -> None:
        """
        Report that an endpoint ended while it ran a request, if it did.

        :param record: record of the endpoint; the connection to it broke during the request.
        """
        in_flight = self._in_flight_by_endpoint.get(record.endpoint, 0) + 1
        await self._crash_suspects.check_end(request, record, in_flight)

    def may_send(self, request: GenerateRequest | PlainRequest) -> bool:
        """Whether a request may be sent to another endpoint, by the endpoints that it ended."""
        return self._crash_suspects.may_send(request)

    def may_hedge(self, request: GenerateRequest | PlainRequest) -> bool:
        """Whether a request may be at two endpoints at the same time."""
        return self._crash_suspects.may_hedge(request)

    def record_failure(self, endpoint: str) -> None:
        """
        Record for the routing that an endpoint failed a request.

        :param endpoint: the endpoint's id.
        """
        self._router.record_failure(endpoint, boot_now())

    def record_answer(
        self, request: GenerateRequest | PlainRequest, endpoint: str, unit_s: float
    ) -> None:
        """
        Record that an endpoint gave a complete answer, for the routing and the crash suspects.

        :param endpoint: the endpoint's id.
        :param unit_s: seconds that a token of the generation, or the plain call, took.
        """
        self._router.record_success(endpoint, unit_s)
        self._crash_suspects.record_answer(request)

    def may_retry(self, reason: Reason, charged: bool = True) -> bool:
        """
        Check the retry budget for one more try, and count the try if it is allowed.

        :param reason: why the previous try failed.
        :param charged: whether the retry adds work for the endpoints; only then the retry is
            charged to the retry budget.
        :return: True if the retry may be sent.
        """
        if charged and not self._budget.take_retry(boot_now()):
            self._counters.add("retry_budget_empty")
            return False
        self._counters.retried(reason)
        return True

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """
        Run a coroutine in the background, so that the caller does not wait for it.

        :param work: a coroutine that raises no exception.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


__all__ = ["EndpointClient", "EndpointStart"]
