"""`POST /v1/generate`: generations for callers, streamed or as one JSON object."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import falcon
import falcon.asgi

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.access import authorize_call
from ibisspring_entry.http.bodies import parse_body, read_body
from ibisspring_entry.http.callers import admit, is_key_valid
from ibisspring_entry.http.ending import serve_cancellable, take_cancellation
from ibisspring_entry.http.generate_wire import NDJSON, GenerateBody, complete_answer, encode_line
from ibisspring_entry.http.keyed_generation import KeyedGeneration
from ibisspring_entry.http.refusals import refuse
from ibisspring_entry.http.usage import bill
from ibisspring_entry.proxy.messages import (
    GenerateRequest,
    GenerationEnd,
    GenerationFailed,
    TokenRun,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings
    from ibisspring_entry.http.callers import Caller

MAX_TOKENS = 1_000_000


class GenerateResource:
    """`POST /v1/generate`: runs a generation at an engine and sends its tokens to the caller."""

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._counters = kernel.find("counters")

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Run one generation; respond with a stream of lines or one JSON object, as requested."""
        work = self._serve(request, response)
        await serve_cancellable(request, response, self._counters, work)

    async def _serve(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        caller = admit(self._kernel, request)
        parsed = caller if isinstance(caller, Refusal) else await self._read(request, caller)
        if isinstance(parsed, Refusal):
            refuse(response, parsed, request.context.request_id, self._counters)
            return
        body, endpoint_request = parsed
        key = request.get_header("Idempotency-Key")
        if key is not None:
            generation = KeyedGeneration(self._kernel, caller, body, endpoint_request)
            await self._serve_keyed(request, response, generation, key)
            return
        pieces = self._kernel.find("endpoints").generate(endpoint_request)
        if body.stream:
            await self._serve_stream(request, response, endpoint_request, pieces)
            return
        await self._serve_complete(response, endpoint_request, pieces)

    async def _read(
        self, request: falcon.asgi.Request, caller: Caller
    ) -> tuple[GenerateBody, GenerateRequest] | Refusal:
        data = await read_body(request, self._settings)
        body = data if isinstance(data, Refusal) else parse_body(data, GenerateBody)
        if isinstance(body, Refusal):
            return body
        if not 0 < body.max_tokens <= MAX_TOKENS or not body.deadline_s > 0:
            detail = f"max_tokens must be from 1 to {MAX_TOKENS}, deadline_s greater than 0"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        rules = authorize_call(self._kernel, caller.client_account, body.model)
        if isinstance(rules, Refusal):
            return rules
        endpoint_request = GenerateRequest(
            request_id=request.context.request_id,
            client_account=caller.client_account,
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            adapter=body.adapter,
            deadline_s=min(body.deadline_s, self._settings.request_timeout_s),
            correlation_id=request.context.correlation_id,
            is_still_allowed=lambda: is_key_valid(self._kernel, caller),
        )
        return body, endpoint_request

    async def _serve_keyed(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        generation: KeyedGeneration,
        key: str,
    ) -> None:
        answer = await generation.start(key)
        if answer is None:
            response.content_type = NDJSON
            response.stream = self._with_cancellation_error(request, generation.lines())
            return
        if isinstance(answer, Refusal):
            refuse(response, answer, request.context.request_id, self._counters)
            return
        response.data = answer.body
        for name, value in answer.headers:
            response.set_header(name, value)

    async def _with_cancellation_error(
        self, request: falcon.asgi.Request, lines: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[bytes, None]:
        """Yield `lines`; if this entry cancels the request, yield an error line at the end."""
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield line
        except asyncio.CancelledError:
            refusal = take_cancellation(request)
            if refusal is None:
                raise
            self._counters.refused(refusal.reason)
            request_id = request.context.request_id
            yield encode_line(request_id, GenerationFailed(request_id, refusal))

    async def _serve_stream(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        endpoint_request: GenerateRequest,
        pieces: AsyncGenerator[TokenRun | GenerationEnd | GenerationFailed, None],
    ) -> None:
        # The first piece determines the HTTP status: a refusal before any token is sent with the
        # status and body of its reason.
        first = await anext(pieces)
        if isinstance(first, GenerationFailed):
            refuse(response, first.refusal, endpoint_request.request_id, self._counters)
            return
        response.content_type = NDJSON
        lines = self._stream_lines(endpoint_request, first, pieces)
        response.stream = self._with_cancellation_error(request, lines)

    async def _stream_lines(
        self,
        endpoint_request: GenerateRequest,
        first: TokenRun | GenerationEnd,
        pieces: AsyncGenerator[TokenRun | GenerationEnd | GenerationFailed, None],
    ) -> AsyncGenerator[bytes, None]:
        total = 0
        endpoint_s: float | None = None
        started_at = boot_now()
        piece: TokenRun | GenerationEnd | GenerationFailed | None = first
        try:
            async with aclosing(pieces):
                while piece is not None:
                    if isinstance(piece, TokenRun):
                        total += len(piece.tokens)
                    if isinstance(piece, GenerationEnd):
                        endpoint_s = piece.endpoint_s
                    if isinstance(piece, GenerationFailed):
                        self._counters.refused(piece.refusal.reason)
                    yield encode_line(endpoint_request.request_id, piece)
                    piece = await anext(pieces, None)
        finally:
            # A caller that closed the connection is billed for the tokens sent so far and for the
            # time since the first token.
            self._bill(
                endpoint_request,
                total,
                boot_now() - started_at if endpoint_s is None else endpoint_s,
            )

    async def _serve_complete(
        self,
        response: falcon.asgi.Response,
        endpoint_request: GenerateRequest,
        pieces: AsyncGenerator[TokenRun | GenerationEnd | GenerationFailed, None],
    ) -> None:
        runs: list[TokenRun] = []
        endpoint_s = 0.0
        async with aclosing(pieces):
            async for piece in pieces:
                if isinstance(piece, TokenRun):
                    runs.append(piece)
                elif isinstance(piece, GenerationEnd):
                    endpoint_s = piece.endpoint_s
                else:
                    refuse(response, piece.refusal, endpoint_request.request_id, self._counters)
                    return
        self._bill(endpoint_request, sum(len(run.tokens) for run in runs), endpoint_s)
        response.content_type = falcon.MEDIA_JSON
        response.data = complete_answer(endpoint_request.request_id, runs)

    def _bill(self, endpoint_request: GenerateRequest, tokens: int, endpoint_s: float) -> None:
        if tokens == 0:
            return
        bill(
            self._kernel,
            endpoint_request.client_account,
            endpoint_request.model,
            tokens,
            endpoint_s,
            endpoint_request.request_id,
        )


__all__ = ["GenerateResource"]
