"""Calls of plain services: run at most once, or hedged and retried if they are idempotent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.messages import CompleteAnswer, PlainRequest
from ibisspring_entry.proxy.plain_try import send_try

if TYPE_CHECKING:
    from ibisspring_entry.proxy.endpoint_use import EndpointClient, EndpointStart

MAX_TRIES = 3
RETRY_AFTER_S = 1.0
"""Seconds after which the caller should retry if no endpoint of the service accepts requests."""


class PlainCall:
    """The state of one plain call: the endpoints tried, and whether any try may have run."""

    def __init__(self, endpoints: EndpointClient, request: PlainRequest, deadline: float) -> None:
        self._endpoints = endpoints
        self._request = request
        self._deadline = deadline
        self._failed_on: set[EndpointStart] = set()
        self._tries = 0
        self._not_run = True
        self._no_endpoint = False
        detail = f"no endpoint of {request.service} accepts requests"
        self._last_refusal = Refusal(Reason.NO_ENDPOINT, True, RETRY_AFTER_S, detail)

    async def answer(self) -> CompleteAnswer | Refusal:
        """
        Send the call until it is answered or must not be sent again.

        :return: the complete answer, or a refusal whose `not_run` is True only if no try has run.
        """
        if self._request.idempotent:
            return await self._call_hedged()
        return await self._call_at_most_once()

    async def _call_at_most_once(self) -> CompleteAnswer | Refusal:
        """
        Send a call that must run at most once.

        The call is resent only if the previous try certainly has not run, because connecting failed
        or the endpoint answered that it refused the call before running it. Any other failure after
        the first byte was sent leaves it unknown whether the call ran.
        """
        while True:
            answer = await self._try()
            if isinstance(answer, CompleteAnswer):
                return answer
            if not answer.not_run or not self._may_try_again(answer):
                return self._final_refusal()

    async def _call_hedged(self) -> CompleteAnswer | Refusal:
        """
        Send a call that may be repeated, with hedged tries.

        If no answer arrives within `silence_s`, the connection or the endpoint may be dead or just
        slow, which cannot be told apart. The first try therefore continues while a second one is
        sent to another endpoint over a new connection; the first complete answer is returned.
        """
        running: set[asyncio.Task[CompleteAnswer | Refusal]] = set()
        try:
            while True:
                running.add(asyncio.create_task(self._try()))
                answer = await self._first_answer(running)
                if answer is not None:
                    return answer
                if running and not self._endpoints.may_hedge(self._request):
                    break
                reason = self._last_refusal.reason if not running else Reason.ENDPOINT_SILENT
                if not self._may_try_again(Refusal(reason, False)):
                    break
            while running:
                answer = await self._first_answer(running, self._request.deadline_s)
                if answer is not None:
                    return answer
            return self._final_refusal()
        finally:
            for task in running:
                task.cancel()

    async def _first_answer(
        self, running: set[asyncio.Task[CompleteAnswer | Refusal]], wait_s: float | None = None
    ) -> CompleteAnswer | None:
        """
        Wait for the first complete answer and remove failed tries from `running`.

        :param running: the tasks of the tries in progress.
        :param wait_s: time limit in seconds; None stands for `silence_s`.
        :return: the answer, or None if the limit has passed or all tries have failed.
        """
        until = boot_now() + (wait_s or self._endpoints.silence_s)
        while running and boot_now() < until:
            done, _ = await asyncio.wait(
                running, timeout=until - boot_now(), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                running.discard(task)
                if isinstance(task.result(), CompleteAnswer):
                    return task.result()
        return None

    async def _try(self) -> CompleteAnswer | Refusal:
        record = self._endpoints.pick(
            self._request.service,
            "",
            failed_on=self._failed_on,
            repeatable=self._request.idempotent,
        )
        if record is None:
            self._no_endpoint = True
            return self._last_refusal
        self._tries += 1
        self._failed_on.add((record.endpoint, record.incarnation))
        try_id = f"{self._request.request_id}.{self._tries}"
        began = boot_now()
        with self._endpoints.count_in_flight(record):
            answer = await send_try(
                self._endpoints.session,
                record,
                self._request,
                try_id,
                self._deadline,
                self._endpoints.read_body,
            )
        if isinstance(answer, CompleteAnswer):
            self._endpoints.record_answer(self._request, record.endpoint, boot_now() - began)
        if isinstance(answer, Refusal):
            self._not_run = self._not_run and answer.not_run
            self._last_refusal = answer
            self._endpoints.record_failure(record.endpoint)
            if answer.reason is Reason.ENDPOINT_FAILED and not answer.not_run:
                await self._endpoints.check_end(self._request, record)
        return answer

    def _may_try_again(self, refusal: Refusal) -> bool:
        if self._tries >= MAX_TRIES or boot_now() >= self._deadline:
            return False
        if not self._endpoints.may_send(self._request):
            return False
        # If no endpoint was available, an immediate retry would find no endpoint either, and the
        # call would be retried in a loop without pause.
        if self._no_endpoint:
            return False
        return self._endpoints.may_retry(refusal.reason, charged=not refusal.not_run)

    def _final_refusal(self) -> Refusal:
        last = self._last_refusal
        return Refusal(last.reason, self._not_run, last.retry_after_s, last.detail)


__all__ = ["PlainCall"]
