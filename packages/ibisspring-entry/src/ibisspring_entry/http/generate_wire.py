"""Generations on the wire towards callers (docs/API.md): the body in, lines or one object out."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ibisspring_entry.http.refusals import error_body
from ibisspring_entry.proxy.messages import End, Failed, TokenRun

NDJSON = "application/x-ndjson"


@dataclass(frozen=True)
class GenerateBody:
    """The body of `POST /v1/generate`."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = False
    adapter: str = ""
    deadline_s: float = 60.0


def line_of(request_id: str, answer: TokenRun | End | Failed) -> bytes:
    """
    Encode one piece of a streamed answer.

    :param request_id: the request's id.
    :param answer: tokens, the end mark or the error.
    :return: one JSON line.
    """
    if isinstance(answer, TokenRun):
        line = {
            "request_id": request_id,
            "offset": answer.offset,
            "tokens": answer.tokens,
            "text": answer.text,
            "version": answer.version,
        }
    elif isinstance(answer, End):
        line = {"request_id": request_id, "done": True, "total": answer.total}
    else:
        line = {"request_id": request_id, **error_body(answer.refusal, request_id)}
    return msgspec.json.encode(line) + b"\n"


def whole_answer(request_id: str, runs: list[TokenRun]) -> bytes:
    """
    Encode the answer of a generation that is not streamed.

    :param request_id: the request's id.
    :param runs: its token runs in order.
    :return: one JSON object; neighbouring runs of one version are joined.
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
    answer = {
        "request_id": request_id,
        "tokens": tokens,
        "text": "".join(run.text for run in runs),
        "runs": labels,
        "total": len(tokens),
    }
    return msgspec.json.encode(answer)


__all__ = ["NDJSON", "GenerateBody", "line_of", "whole_answer"]
