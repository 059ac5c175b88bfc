"""`POST /v1/generate`."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eliot
import falcon
import falcon.asgi
import msgspec

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.access import allowed_rules
from ibisspring_entry.http.bodies import parse_body, read_body
from ibisspring_entry.http.callers import Caller, identify
from ibisspring_entry.http.refusals import error_body, refuse
from ibisspring_entry.proxy.messages import End, Failed, GenerateRequest, TokenRun

if TYPE_CHECKING:

    from collections.abc import AsyncIterator

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings

MAX_TOKENS = 1_000_000


@dataclass(frozen=True)
class GenerateBody:
    """The body of a generation; docs/API.md."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = False
    adapter: str = ""
    deadline_s: float = 60.0


class GenerateResource:
    """Generations for callers."""

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._counters = kernel.find("counters")

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Run one generation."""
        caller = identify(self._kernel, request)
        asked = caller if isinstance(caller, Refusal) else await self._read(request, caller)
        if isinstance(asked, Refusal):
            refuse(response, asked, request.context.request_id, self._counters)
            return
        body, wanted = asked
        answers = self._kernel.find("endpoints").generate(wanted)
        if body.stream:
            await self._stream(response, wanted, answers)
            return
        await self._whole(response, wanted, answers)

    async def _read(
        self, request: falcon.asgi.Request, caller: Caller
    ) -> tuple[GenerateBody, GenerateRequest] | Refusal:
        data = await read_body(request, self._settings.max_body_bytes)
        if isinstance(data, Refusal):
            return data
        body = parse_body(data, GenerateBody)
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
        )
        return body, wanted

    async def _stream(
        self,
        response: falcon.asgi.Response,
        wanted: GenerateRequest,
        answers: AsyncIterator[TokenRun | End | Failed],
    ) -> None:
        # The first answer decides the status: a refusal before any token is a typed HTTP refusal.
        began = boot_now()
        first = await anext(answers)
        if isinstance(first, Failed):
            self._meter(wanted, 0, began)
            refuse(response, first.refusal, wanted.request_id, self._counters)
            return
        response.content_type = "application/x-ndjson"
        response.stream = self._lines(wanted, first, answers, began)

    async def _lines(
        self,
        wanted: GenerateRequest,
        first: TokenRun | End,
        answers: AsyncIterator[TokenRun | End | Failed],
        began: float,
    ) -> AsyncIterator[bytes]:
        total = 0
        try:
            async with aclosing(answers):
                yield self._line(wanted, first)
                total += len(getattr(first, "tokens", ()))
                async for answer in answers:
                    total += len(getattr(answer, "tokens", ()))
                    yield self._line(wanted, answer)
        finally:
            self._meter(wanted, total, began)

    def _line(self, wanted: GenerateRequest, answer: TokenRun | End | Failed) -> bytes:
        if isinstance(answer, TokenRun):
            line = {
                "request_id": wanted.request_id,
                "offset": answer.offset,
                "tokens": answer.tokens,
                "text": answer.text,
                "version": answer.version,
            }
        elif isinstance(answer, End):
            line = {"request_id": wanted.request_id, "done": True, "total": answer.total}
        else:
            self._counters.refused(answer.refusal.reason)
            error = error_body(answer.refusal, wanted.request_id)
            line = {"request_id": wanted.request_id, **error}
        return msgspec.json.encode(line) + b"\n"

    async def _whole(
        self,
        response: falcon.asgi.Response,
        wanted: GenerateRequest,
        answers: AsyncIterator[TokenRun | End | Failed],
    ) -> None:
        runs: list[TokenRun] = []
        began = boot_now()
        try:
            async with aclosing(answers):
                async for answer in answers:
                    if isinstance(answer, TokenRun):
                        runs.append(answer)
                        continue
                    if isinstance(answer, Failed):
                        refuse(response, answer.refusal, wanted.request_id, self._counters)
                        return
        finally:
            self._meter(wanted, sum(len(run.tokens) for run in runs), began)
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode(whole_answer(wanted.request_id, runs))

    def _meter(self, wanted: GenerateRequest, tokens: int, began: float) -> None:
        """Record the usage: what the engines made and the caller was sent, once."""
        eliot.log_message(
            "generate:ended",
            request_id=wanted.request_id,
            correlation_id=wanted.correlation_id,
            client_account=wanted.client_account,
            tokens=tokens,
        )
        meter = self._kernel.find_optional("usage_meter")
        if meter is None or tokens == 0:
            return
        meter.record(
            wanted.client_account, wanted.model, tokens, 1, boot_now() - began, wanted.request_id
        )


def whole_answer(request_id: str, runs: list[TokenRun]) -> dict[str, object]:
    """
    Build the answer of a generation that was not streamed.

    :param request_id: the request's id.
    :param runs: its token runs in order.
    :return: the JSON object of docs/API.md; neighbouring runs of one version are joined.
    """
    tokens: list[int] = []
    labels: list[dict[str, object]] = []
    for run in runs:
        start = len(tokens)
        tokens.extend(run.tokens)
        if labels and labels[-1]["version"] == run.version:
            labels[-1]["to"] = len(tokens)
            continue
        labels.append({"version": run.version, "from": start, "to": len(tokens)})
    return {
        "request_id": request_id,
        "tokens": tokens,
        "text": "".join(run.text for run in runs),
        "runs": labels,
        "total": len(tokens),
    }


__all__ = ["GenerateBody", "GenerateResource", "whole_answer"]
