"""A generation under an Idempotency-Key: one run and one bill, however often it is asked for."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import falcon

from ibisspring_entry.claims import KeyedCall
from ibisspring_entry.http.generate_wire import NDJSON, line_of, whole_answer
from ibisspring_entry.http.usage import bill
from ibisspring_entry.proxy.messages import Failed, PlainAnswer, TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ibisspring_core.errors import Refusal
    from ibisspring_core.kernel import Kernel
    from ibisspring_entry.http.callers import Caller
    from ibisspring_entry.http.generate_wire import GenerateBody
    from ibisspring_entry.proxy.messages import GenerateRequest


class KeyedGeneration:
    """
    One run, apart from its caller: when the caller leaves, the run goes on and its answer is stored
    for the caller's next try.
    """

    def __init__(
        self, kernel: Kernel, caller: Caller, body: GenerateBody, wanted: GenerateRequest
    ) -> None:
        self._kernel = kernel
        self._caller = caller
        self._body = body
        self._wanted = wanted
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def start(self, key: str) -> PlainAnswer | Refusal | None:
        """
        Claim the key and begin.

        :param key: the caller's Idempotency-Key.
        :return: the final answer where it is there already or the run is not streamed; None where
            `lines` streams it.
        """
        parts = (
            self._wanted.model,
            self._wanted.adapter,
            self._wanted.prompt,
            str(self._wanted.max_tokens),
            str(self._body.stream),
        )
        call = KeyedCall.from_parts(
            self._wanted.client_account, key, self._wanted.request_id, parts
        )
        ending = asyncio.ensure_future(self._kernel.find("claims").run_once(call, self._run))
        if not self._body.stream:
            return await ending
        first = asyncio.ensure_future(self._lines.get())
        await asyncio.wait({ending, first}, return_when=asyncio.FIRST_COMPLETED)
        if not first.done():
            first.cancel()
            return await ending
        self._lines_first = first.result()
        return None

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """
        Stream the run.

        :return: its lines, the end mark or an error last.
        """
        line = self._lines_first
        while line is not None:
            yield line
            line = await self._lines.get()

    async def _run(self) -> PlainAnswer | Refusal:
        # It outlives its caller, but not its key.
        opened = self._kernel.find("http").open_work.enter(
            self._caller.key, self._caller.client_account
        )
        try:
            return await self._generate()
        except asyncio.CancelledError:
            refusal = opened.take_end()
            if refusal is None:
                raise
            self._lines.put_nowait(line_of(self._wanted.request_id, self._failed(refusal)))
            self._lines.put_nowait(None)
            return refusal

    def _failed(self, refusal: Refusal) -> Failed:
        return Failed(self._wanted.request_id, refusal)

    async def _generate(self) -> PlainAnswer | Refusal:
        endpoint_s = 0.0
        request_id = self._wanted.request_id
        runs: list[TokenRun] = []
        stored: list[bytes] = []
        answers = self._kernel.find("endpoints").generate(self._wanted)
        async with aclosing(answers):
            async for answer in answers:
                if isinstance(answer, Failed) and not runs:
                    return answer.refusal
                line = line_of(request_id, answer)
                self._lines.put_nowait(line)
                if isinstance(answer, Failed):
                    self._lines.put_nowait(None)
                    return answer.refusal
                stored.append(line)
                if isinstance(answer, TokenRun):
                    runs.append(answer)
                else:
                    endpoint_s = answer.endpoint_s
        self._lines.put_nowait(None)
        tokens = sum(len(run.tokens) for run in runs)
        wanted = self._wanted
        bill(
            self._kernel,
            wanted.client_account,
            wanted.model,
            tokens,
            endpoint_s,
            request_id,
        )
        if self._body.stream:
            return self._answer(b"".join(stored), NDJSON)
        return self._answer(whole_answer(request_id, runs), falcon.MEDIA_JSON)

    def _answer(self, body: bytes, content_type: str) -> PlainAnswer:
        return PlainAnswer(self._wanted.request_id, 200, body, (("content-type", content_type),))


__all__ = ["KeyedGeneration"]
