"""A whole generation out of one or more tries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.engine_try import EngineTry, TryOutcome
from ibisspring_entry.proxy.messages import End, Failed, GenerateRequest, TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_entry.proxy.service import Endpoints

MAX_TRIES = 5
"""Tries of one generation: with one in a hundred failing, five in a row fail once in 10^10."""

RETRY_AFTER_S = 1.0


class Generation:
    """The state of one generation: what the caller holds, and where it was tried."""

    def __init__(self, endpoints: Endpoints, request: GenerateRequest) -> None:
        self._endpoints = endpoints
        self._request = request
        self._held: list[int] = []
        self._tries = 0
        self._failed_on: set[str] = set()
        self._not_run = True
        self._deadline = boot_now() + request.deadline_s

    async def answers(self) -> AsyncIterator[TokenRun | End | Failed]:
        """
        Bring the whole answer or say truthfully that it is not whole.

        :return: token runs, then exactly one `End` or `Failed`.
        """
        record: EndpointRecord | None = None
        while True:
            if record is None:
                record = self._endpoints.pick(
                    self._request.model,
                    self._request.prompt,
                    self._request.avoid,
                    frozenset(self._failed_on),
                )
            if record is None:
                yield self._failed(Reason.NO_ENDPOINT)
                return
            self._tries += 1
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
                yield End(self._request.request_id, len(self._held), record.endpoint, self._tries)
                return
            self._note(record, outcome)
            if not self._may_try_again(outcome):
                yield self._failed(outcome.reason)
                return
            record = record if outcome.same_engine else None

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

    def _note(self, record: EndpointRecord, outcome: TryOutcome) -> None:
        self._not_run = self._not_run and outcome.not_run
        if not outcome.same_engine:
            self._failed_on.add(record.endpoint)
            self._endpoints.note_failure(record.endpoint)
        eliot.log_message(
            "generation:try_failed",
            request_id=self._request.request_id,
            endpoint=record.endpoint,
            reason=outcome.reason.value,
            held=len(self._held),
        )

    def _may_try_again(self, outcome: TryOutcome) -> bool:
        if outcome.reason is Reason.TIMEOUT or boot_now() >= self._deadline:
            return False
        if self._tries >= MAX_TRIES:
            return False
        return self._endpoints.may_retry(outcome.reason)

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
