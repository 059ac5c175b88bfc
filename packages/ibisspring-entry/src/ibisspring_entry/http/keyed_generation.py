"""A generation with an Idempotency-Key: run and billed once, however often it is requested."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import falcon

from ibisspring_entry.claims import KeyedCall
from ibisspring_entry.http.generate_wire import NDJSON, complete_answer, encode_line
from ibisspring_entry.http.usage import bill
from ibisspring_entry.proxy.messages import CompleteAnswer, GenerationFailed, TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ibisspring_core.errors import Refusal
    from ibisspring_core.kernel import Kernel
    from ibisspring_entry.http.callers import Caller
    from ibisspring_entry.http.generate_wire import GenerateBody
    from ibisspring_entry.proxy.messages import GenerateRequest


class KeyedGeneration:
    """
    A generation that runs independently of its caller's connection.

    If the caller closes the connection, the generation continues, and its response is stored for
    the caller's next request with the same key.
    """

    def __init__(
        self, kernel: Kernel, caller: Caller, body: GenerateBody, endpoint_request: GenerateRequest
    ) -> None:
        self._kernel = kernel
        self._caller = caller
        self._body = body
        self._endpoint_request = endpoint_request
        self._line_queue: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def start(self, key: str) -> CompleteAnswer | Refusal | None:
        """
        Claim the caller's Idempotency-Key and start the generation.

        :param key: the value of the header `Idempotency-Key`.
        :return: the complete response if it is already stored or the generation is not streamed, a
            refusal, or None if `lines` streams the response.
        """
        parts = (
            self._endpoint_request.model,
            self._endpoint_request.adapter,
            self._endpoint_request.prompt,
            str(self._endpoint_request.max_tokens),
            str(self._body.stream),
        )
        call = KeyedCall.from_parts(
            self._endpoint_request.client_account, key, self._endpoint_request.request_id, parts
        )
        run_task = asyncio.ensure_future(self._kernel.find("claims").run_once(call, self._run))
        if not self._body.stream:
            return await run_task
        first = asyncio.ensure_future(self._line_queue.get())
        await asyncio.wait({run_task, first}, return_when=asyncio.FIRST_COMPLETED)
        if not first.done():
            first.cancel()
            return await run_task
        self._first_line = first.result()
        return None

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """
        Stream the generation's response to the caller.

        :return: NDJSON lines; the last line is the end mark or an error.
        """
        line = self._first_line
        while line is not None:
            yield line
            line = await self._line_queue.get()

    async def _run(self) -> CompleteAnswer | Refusal:
        # The generation continues without its caller, but is cancelled if the caller's API key is
        # withdrawn.
        open_request = self._kernel.find("http").open_work.register(
            self._caller.key, self._caller.client_account
        )
        try:
            return await self._generate()
        except asyncio.CancelledError:
            refusal = open_request.take_refusal()
            if refusal is None:
                raise
            self._line_queue.put_nowait(
                encode_line(self._endpoint_request.request_id, self._failure(refusal))
            )
            self._line_queue.put_nowait(None)
            return refusal

    def _failure(self, refusal: Refusal) -> GenerationFailed:
        return GenerationFailed(self._endpoint_request.request_id, refusal)

    async def _generate(self) -> CompleteAnswer | Refusal:
        endpoint_s = 0.0
        request_id = self._endpoint_request.request_id
        runs: list[TokenRun] = []
        stored_lines: list[bytes] = []
        pieces = self._kernel.find("endpoints").generate(self._endpoint_request)
        async with aclosing(pieces):
            async for piece in pieces:
                if isinstance(piece, GenerationFailed) and not runs:
                    return piece.refusal
                line = encode_line(request_id, piece)
                self._line_queue.put_nowait(line)
                if isinstance(piece, GenerationFailed):
                    self._line_queue.put_nowait(None)
                    return piece.refusal
                stored_lines.append(line)
                if isinstance(piece, TokenRun):
                    runs.append(piece)
                else:
                    endpoint_s = piece.endpoint_s
        self._line_queue.put_nowait(None)
        tokens = sum(len(run.tokens) for run in runs)
        endpoint_request = self._endpoint_request
        bill(
            self._kernel,
            endpoint_request.client_account,
            endpoint_request.model,
            tokens,
            endpoint_s,
            request_id,
        )
        if self._body.stream:
            return self._plain_answer(b"".join(stored_lines), NDJSON)
        return self._plain_answer(complete_answer(request_id, runs), falcon.MEDIA_JSON)

    def _plain_answer(self, body: bytes, content_type: str) -> CompleteAnswer:
        return CompleteAnswer(
            self._endpoint_request.request_id, 200, body, (("content-type", content_type),)
        )


__all__ = ["KeyedGeneration"]
