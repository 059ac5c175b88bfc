"""Calls of plain services: once at most, or again where they are idempotent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.proxy.messages import PlainAnswer, PlainRequest
from ibisspring_entry.proxy.plain_try import send_try

if TYPE_CHECKING:
    from ibisspring_entry.proxy.endpoint_use import EndpointUse, Start

MAX_TRIES = 3
RETRY_AFTER_S = 1.0


class PlainCall:
    """The state of one call: what was tried, and whether any try may have run."""

    def __init__(self, endpoints: EndpointUse, request: PlainRequest, deadline: float) -> None:
        self._endpoints = endpoints
        self._request = request
        self._deadline = deadline
        self._failed_on: set[Start] = set()
        self._tries = 0
        self._not_run = True
        self._exhausted = False
        detail = f"no endpoint of {request.service} takes work"
        self._last = Refusal(Reason.NO_ENDPOINT, True, RETRY_AFTER_S, detail)

    async def answer(self) -> PlainAnswer | Refusal:
        """
        Send the call until it is answered or may not be sent again.

        :return: the whole answer, or the refusal whose `not_run` holds for all tries.
        """
        if self._request.idempotent:
            return await self._race()
        return await self._one_by_one()

    async def _one_by_one(self) -> PlainAnswer | Refusal:
        """
        Send a call that may not be repeated.

        It goes out again only when the try before surely did not run: its connect failed, or the
        endpoint said that it refused before work. After the first byte nothing else is certain.
        """
        while True:
            answer = await self._try()
            if isinstance(answer, PlainAnswer):
                return answer
            if not answer.not_run or not self._may_try_again(answer):
                return self._refusal()

    async def _race(self) -> PlainAnswer | Refusal:
        """
        Send a call that may be repeated, and hedge it.

        A connection that went silent or an endpoint that hangs shows as no answer in `silence_s`.
        Slow and dead cannot be told apart, so the first try is left alone and a second one goes
        elsewhere over a new connection; the first whole answer wins.
        """
        racing: set[asyncio.Task[PlainAnswer | Refusal]] = set()
        try:
            while True:
                racing.add(asyncio.create_task(self._try()))
                answer = await self._first_answer(racing)
                if answer is not None:
                    return answer
                reason = self._last.reason if not racing else Reason.ENDPOINT_SILENT
                if not self._may_try_again(Refusal(reason, False)):
                    break
            while racing:
                answer = await self._first_answer(racing, self._request.deadline_s)
                if answer is not None:
                    return answer
            return self._refusal()
        finally:
            for task in racing:
                task.cancel()

    async def _first_answer(
        self, racing: set[asyncio.Task[PlainAnswer | Refusal]], bound_s: float | None = None
    ) -> PlainAnswer | None:
        """Wait for a whole answer until `silence_s` is over or no try is left; drop failed ones."""
        until = boot_now() + (bound_s or self._endpoints.silence_s)
        while racing and boot_now() < until:
            done, _ = await asyncio.wait(
                racing, timeout=until - boot_now(), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                racing.discard(task)
                if isinstance(task.result(), PlainAnswer):
                    return task.result()
        return None

    async def _try(self) -> PlainAnswer | Refusal:
        record = self._endpoints.pick(
            self._request.service,
            "",
            failed_on=self._failed_on,
            repeatable=self._request.idempotent,
        )
        if record is None:
            self._exhausted = True
            return self._last
        self._tries += 1
        self._failed_on.add((record.endpoint, record.incarnation))
        try_id = f"{self._request.request_id}.{self._tries}"
        began = boot_now()
        with self._endpoints.work_on(record):
            answer = await send_try(
                self._endpoints.session, record, self._request, try_id, self._deadline
            )
        if isinstance(answer, PlainAnswer):
            self._endpoints.note_answer(record.endpoint, boot_now() - began)
        if isinstance(answer, Refusal):
            self._not_run = self._not_run and answer.not_run
            self._last = answer
            self._endpoints.note_failure(record.endpoint)
        return answer

    def _may_try_again(self, refusal: Refusal) -> bool:
        if self._tries >= MAX_TRIES or boot_now() >= self._deadline:
            return False
        # Without an endpoint there is nothing to wait for: asking again at once would spin.
        if self._exhausted:
            return False
        return self._endpoints.may_retry(refusal.reason, charged=not refusal.not_run)

    def _refusal(self) -> Refusal:
        last = self._last
        return Refusal(last.reason, self._not_run, last.retry_after_s, last.detail)


__all__ = ["PlainCall"]
