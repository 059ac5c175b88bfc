"""Runs a generation to its end by one or more tries, each resuming after the tokens received."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.engine_try import EngineTry, TryOutcome
from ibisspring_entry.proxy.messages import (
    GenerateRequest,
    GenerationEnd,
    GenerationFailed,
    TokenRun,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_entry.proxy.endpoint_use import EndpointClient, EndpointStart

MAX_TRIES = 10
"""Largest number of tries of one generation, even if each try adds tokens."""

MAX_TRIES_WITHOUT_TOKENS = 3
"""
Largest number of consecutive tries without a new token: a prompt that crashes the engine that
processes it must not be sent to every engine of the fleet.
"""

RESUME_WAIT_S = 10.0
"""
Seconds that a partly delivered generation waits for an available engine. Within this time a
reclaimed engine is replaced or a weight swap ends, and a partial answer is useless to the caller.
"""

RESUME_POLL_S = 0.1
"""Seconds between two searches for an available engine."""

RETRY_AFTER_S = 1.0
"""Seconds after which the caller should retry a failed generation."""


class Generation:
    """The state of one generation: tokens received so far, and the engines that were tried."""

    def __init__(
        self, endpoints: EndpointClient, request: GenerateRequest, deadline: float
    ) -> None:
        self._endpoints = endpoints
        self._request = request
        self._received: list[int] = []
        self._tries = 0
        self._tries_without_tokens = 0
        self._failed_on: set[EndpointStart] = set()
        self._unreachable: set[EndpointStart] = set()
        self._not_run = True
        self._deadline = deadline

    async def stream(self) -> AsyncIterator[TokenRun | GenerationEnd | GenerationFailed]:
        """
        Run the generation and stream its tokens.

        :return: runs of tokens in order, then exactly one `GenerationEnd` if the answer is
            complete, else one `GenerationFailed`.
        """
        record: EndpointRecord | None = None
        while True:
            record = record or await self._pick()
            if record is None:
                yield self._failed(Reason.NO_ENDPOINT)
                return
            if self._request.on_endpoint_chosen is not None:
                self._request.on_endpoint_chosen(record.endpoint)
            self._tries += 1
            tokens_before = len(self._received)
            began = boot_now()
            engine_try = self._open_try(record)
            with self._endpoints.count_in_flight(record):
                try:
                    async for run in engine_try.stream():
                        yield run
                finally:
                    if engine_try.outcome is None or not self._needs_no_cancel(engine_try.outcome):
                        self._endpoints.run_in_background(engine_try.cancel_at_engine())
            outcome = engine_try.outcome
            if outcome.reason is None:
                new_tokens = max(1, len(self._received) - tokens_before)
                self._endpoints.record_answer(
                    self._request, record.endpoint, (boot_now() - began) / new_tokens
                )
                yield GenerationEnd(
                    self._request.request_id, len(self._received), record.endpoint, self._tries
                )
                return
            self._record_failure(record, outcome, len(self._received) - tokens_before)
            if outcome.reason is Reason.ENDPOINT_FAILED and not outcome.not_run:
                await self._endpoints.check_end(self._request, record)
            if not self._may_try_again(outcome):
                yield self._failed(outcome.reason)
                return
            record = record if outcome.same_engine else None

    async def _pick(self) -> EndpointRecord | None:
        wait_until = min(boot_now() + RESUME_WAIT_S, self._deadline)
        while True:
            record = self._endpoints.pick(
                self._request.model,
                self._request.prompt,
                self._request.excluded_endpoints,
                self._failed_on,
                self._unreachable,
            )
            if record is not None or not self._received or boot_now() >= wait_until:
                return record
            await asyncio.sleep(RESUME_POLL_S)

    def _open_try(self, record: EndpointRecord) -> EngineTry:
        return EngineTry(
            self._endpoints.session,
            record,
            self._request,
            f"{self._request.request_id}.{self._tries}",
            self._received,
            self._endpoints.silence_s,
            self._deadline,
        )

    @staticmethod
    def _needs_no_cancel(outcome: TryOutcome) -> bool:
        return outcome.reason is None or outcome.not_run

    def _record_failure(self, record: EndpointRecord, outcome: TryOutcome, new_tokens: int) -> None:
        self._not_run = self._not_run and outcome.not_run
        if new_tokens:
            self._tries_without_tokens = 0
        elif not outcome.not_run:
            self._tries_without_tokens += 1
        start = (record.endpoint, record.incarnation)
        if not outcome.same_engine:
            self._failed_on.add(start)
            self._endpoints.record_failure(record.endpoint)
        if outcome.not_run and outcome.reason is Reason.ENDPOINT_FAILED:
            # No process accepts connections at the endpoint's address, but the endpoint's record
            # stays until its TTL ends. The endpoint is tried again only after a new start.
            self._unreachable.add(start)
        eliot.log_message(
            "generation:try_failed",
            request_id=self._request.request_id,
            correlation_id=self._request.correlation_id,
            endpoint=record.endpoint,
            reason=outcome.reason.value,
            held=len(self._received),
        )

    def _may_try_again(self, outcome: TryOutcome) -> bool:
        if outcome.reason is Reason.TIMEOUT or boot_now() >= self._deadline:
            return False
        if self._tries >= MAX_TRIES or self._tries_without_tokens >= MAX_TRIES_WITHOUT_TOKENS:
            return False
        if not self._endpoints.may_send(self._request):
            return False
        # A lost engine or connection ends the previous try's work, so that a retry adds no work for
        # the engines. A retry is charged to the retry budget only if the engine of the previous try
        # may still be working, but slowly.
        charged = outcome.reason is not Reason.ENDPOINT_FAILED and not outcome.same_engine
        return self._endpoints.may_retry(outcome.reason, charged)

    def _failed(self, reason: Reason) -> GenerationFailed:
        retry_after_s = None if reason is Reason.TIMEOUT else RETRY_AFTER_S
        refusal = Refusal(
            reason,
            not_run=self._not_run,
            retry_after_s=retry_after_s,
            detail=f"{self._request.model}: no complete answer after {self._tries} tries",
        )
        return GenerationFailed(self._request.request_id, refusal, len(self._received))


__all__ = ["Generation"]
