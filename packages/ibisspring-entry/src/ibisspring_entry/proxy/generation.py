"""A whole generation out of one or more tries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.engine_try import EngineTry, TryOutcome
from ibisspring_entry.proxy.messages import End, Failed, GenerateRequest, TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_entry.proxy.endpoint_use import EndpointUse, Start

MAX_TRIES = 10
"""Tries of one generation, each of which got further than the one before."""

MAX_FRUITLESS = 3
"""
Tries in a row without a new token: a prompt that kills the engine which works on it must not be
taken through the whole fleet.
"""

RESUME_WAIT_S = 10.0
"""
Seconds that a generation which the caller holds in part waits for an engine to come back: reclaimed
ones are replaced or swaps end within that, and an answer in part is of no use to the caller.
"""

RESUME_POLL_S = 0.1
RETRY_AFTER_S = 1.0


class Generation:
    """The state of one generation: what the caller holds, and where it was tried."""

    def __init__(self, endpoints: EndpointUse, request: GenerateRequest, deadline: float) -> None:
        self._endpoints = endpoints
        self._request = request
        self._held: list[int] = []
        self._tries = 0
        self._fruitless = 0
        self._failed_on: set[Start] = set()
        self._dead: set[Start] = set()
        self._not_run = True
        self._deadline = deadline

    async def answers(self) -> AsyncIterator[TokenRun | End | Failed]:
        """
        Bring the whole answer or say truthfully that it is not whole.

        :return: token runs, then exactly one `End` or `Failed`.
        """
        record: EndpointRecord | None = None
        while True:
            record = record or await self._pick()
            if record is None:
                yield self._failed(Reason.NO_ENDPOINT)
                return
            if self._request.note_endpoint is not None:
                self._request.note_endpoint(record.endpoint)
            self._tries += 1
            held = len(self._held)
            began = boot_now()
            attempt = self._open_try(record)
            with self._endpoints.work_on(record):
                try:
                    async for run in attempt.runs():
                        yield run
                finally:
                    if attempt.outcome is None or not self._ended(attempt.outcome):
                        self._endpoints.run_aside(attempt.cancel_upstream())
            outcome = attempt.outcome
            if outcome.reason is None:
                made = max(1, len(self._held) - held)
                self._endpoints.note_answer(record.endpoint, (boot_now() - began) / made)
                yield End(self._request.request_id, len(self._held), record.endpoint, self._tries)
                return
            self._note(record, outcome, len(self._held) - held)
            if not self._may_try_again(outcome):
                yield self._failed(outcome.reason)
                return
            record = record if outcome.same_engine else None

    async def _pick(self) -> EndpointRecord | None:
        waited_until = min(boot_now() + RESUME_WAIT_S, self._deadline)
        while True:
            record = self._endpoints.pick(
                self._request.model,
                self._request.prompt,
                self._request.avoid,
                self._failed_on,
                self._dead,
            )
            if record is not None or not self._held or boot_now() >= waited_until:
                return record
            await asyncio.sleep(RESUME_POLL_S)

    def _open_try(self, record: EndpointRecord) -> EngineTry:
        return EngineTry(
            self._endpoints.session,
            record,
            self._request,
            f"{self._request.request_id}.{self._tries}",
            self._held,
            self._endpoints.silence_s,
            self._deadline,
        )

    @staticmethod
    def _ended(outcome: TryOutcome) -> bool:
        return outcome.reason is None or outcome.not_run

    def _note(self, record: EndpointRecord, outcome: TryOutcome, gained: int) -> None:
        self._not_run = self._not_run and outcome.not_run
        if gained:
            self._fruitless = 0
        elif not outcome.not_run:
            self._fruitless += 1
        start = (record.endpoint, record.incarnation)
        if not outcome.same_engine:
            self._failed_on.add(start)
            self._endpoints.note_failure(record.endpoint)
        if outcome.not_run and outcome.reason is Reason.ENDPOINT_FAILED:
            # Nobody listens there; its record lives on for a TTL. Only a new start is tried again.
            self._dead.add(start)
        eliot.log_message(
            "generation:try_failed",
            request_id=self._request.request_id,
            correlation_id=self._request.correlation_id,
            endpoint=record.endpoint,
            reason=outcome.reason.value,
            held=len(self._held),
        )

    def _may_try_again(self, outcome: TryOutcome) -> bool:
        if outcome.reason is Reason.TIMEOUT or boot_now() >= self._deadline:
            return False
        if self._tries >= MAX_TRIES or self._fruitless >= MAX_FRUITLESS:
            return False
        # A lost engine or connection does this work no more, so that going on elsewhere adds no
        # load; the budget is for tries beside an engine that may only be slow.
        charged = outcome.reason is not Reason.ENDPOINT_FAILED and not outcome.same_engine
        return self._endpoints.may_retry(outcome.reason, charged)

    def _failed(self, reason: Reason) -> Failed:
        retry_after_s = None if reason is Reason.TIMEOUT else RETRY_AFTER_S
        refusal = Refusal(
            reason,
            not_run=self._not_run,
            retry_after_s=retry_after_s,
            detail=f"{self._request.model}: no whole answer after {self._tries} tries",
        )
        return Failed(self._request.request_id, refusal, len(self._held))


__all__ = ["Generation"]
