"""`POST /v1/generate`."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import falcon
import falcon.asgi

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.access import allowed_rules
from ibisspring_entry.http.bodies import parse_body, read_body
from ibisspring_entry.http.callers import admit, key_holds
from ibisspring_entry.http.ending import ended, serve_until_ended
from ibisspring_entry.http.generate_wire import NDJSON, GenerateBody, line_of, whole_answer
from ibisspring_entry.http.keyed_generation import KeyedGeneration
from ibisspring_entry.http.refusals import refuse
from ibisspring_entry.http.usage import bill
from ibisspring_entry.proxy.messages import End, Failed, GenerateRequest, TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings
    from ibisspring_entry.http.callers import Caller

MAX_TOKENS = 1_000_000


class GenerateResource:
    """Generations for callers."""

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._counters = kernel.find("counters")

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Run one generation."""
        work = self._serve(request, response)
        await serve_until_ended(request, response, self._counters, work)

    async def _serve(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        caller = admit(self._kernel, request)
        asked = caller if isinstance(caller, Refusal) else await self._read(request, caller)
        if isinstance(asked, Refusal):
            refuse(response, asked, request.context.request_id, self._counters)
            return
        body, wanted = asked
        key = request.get_header("Idempotency-Key")
        if key is not None:
            generation = KeyedGeneration(self._kernel, caller, body, wanted)
            await self._once(request, response, generation, key)
            return
        answers = self._kernel.find("endpoints").generate(wanted)
        if body.stream:
            await self._stream(request, response, wanted, answers)
            return
        await self._whole(response, wanted, answers)

    async def _read(
        self, request: falcon.asgi.Request, caller: Caller
    ) -> tuple[GenerateBody, GenerateRequest] | Refusal:
        data = await read_body(request, self._settings)
        body = data if isinstance(data, Refusal) else parse_body(data, GenerateBody)
        if isinstance(body, Refusal):
            return body
        if not 0 < body.max_tokens <= MAX_TOKENS or not body.deadline_s > 0:
            detail = f"max_tokens must be 1 to {MAX_TOKENS}, deadline_s above 0"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        rules = allowed_rules(self._kernel, caller.client_account, body.model)
        if isinstance(rules, Refusal):
            return rules
        wanted = GenerateRequest(
            request_id=request.context.request_id,
            client_account=caller.client_account,
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            adapter=body.adapter,
            deadline_s=min(body.deadline_s, self._settings.request_timeout_s),
            correlation_id=request.context.correlation_id,
            may_start=lambda: key_holds(self._kernel, caller),
        )
        return body, wanted

    async def _once(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        generation: KeyedGeneration,
        key: str,
    ) -> None:
        answer = await generation.start(key)
        if answer is None:
            response.content_type = NDJSON
            response.stream = self._until_ended(request, generation.lines())
            return
        if isinstance(answer, Refusal):
            refuse(response, answer, request.context.request_id, self._counters)
            return
        response.data = answer.body
        for name, value in answer.headers:
            response.set_header(name, value)

    async def _until_ended(
        self, request: falcon.asgi.Request, lines: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[bytes, None]:
        """Stream, and tell the caller when the stream is ended by its key or the lease."""
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield line
        except asyncio.CancelledError:
            refusal = ended(request)
            if refusal is None:
                raise
            self._counters.refused(refusal.reason)
            request_id = request.context.request_id
            yield line_of(request_id, Failed(request_id, refusal))

    async def _stream(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        wanted: GenerateRequest,
        answers: AsyncGenerator[TokenRun | End | Failed, None],
    ) -> None:
        # The first answer decides the status: a refusal before any token is a typed HTTP refusal.
        first = await anext(answers)
        if isinstance(first, Failed):
            refuse(response, first.refusal, wanted.request_id, self._counters)
            return
        response.content_type = NDJSON
        lines = self._lines(wanted, first, answers)
        response.stream = self._until_ended(request, lines)

    async def _lines(
        self,
        wanted: GenerateRequest,
        first: TokenRun | End,
        answers: AsyncGenerator[TokenRun | End | Failed, None],
    ) -> AsyncGenerator[bytes, None]:
        total = 0
        endpoint_s: float | None = None
        began = boot_now()
        answer: TokenRun | End | Failed | None = first
        try:
            async with aclosing(answers):
                while answer is not None:
                    if isinstance(answer, TokenRun):
                        total += len(answer.tokens)
                    if isinstance(answer, End):
                        endpoint_s = answer.endpoint_s
                    if isinstance(answer, Failed):
                        self._counters.refused(answer.refusal.reason)
                    yield line_of(wanted.request_id, answer)
                    answer = await anext(answers, None)
        finally:
            # A caller that left is billed for what it was sent, from its first token on.
            self._bill(wanted, total, boot_now() - began if endpoint_s is None else endpoint_s)

    async def _whole(
        self,
        response: falcon.asgi.Response,
        wanted: GenerateRequest,
        answers: AsyncGenerator[TokenRun | End | Failed, None],
    ) -> None:
        runs: list[TokenRun] = []
        endpoint_s = 0.0
        async with aclosing(answers):
            async for answer in answers:
                if isinstance(answer, TokenRun):
                    runs.append(answer)
                elif isinstance(answer, End):
                    endpoint_s = answer.endpoint_s
                else:
                    refuse(response, answer.refusal, wanted.request_id, self._counters)
                    return
        self._bill(wanted, sum(len(run.tokens) for run in runs), endpoint_s)
        response.content_type = falcon.MEDIA_JSON
        response.data = whole_answer(wanted.request_id, runs)

    def _bill(self, wanted: GenerateRequest, tokens: int, endpoint_s: float) -> None:
        if tokens == 0:
            return
        bill(
            self._kernel,
            wanted.client_account,
            wanted.model,
            tokens,
            endpoint_s,
            wanted.request_id,
        )


__all__ = ["GenerateResource"]
