"""Encoding of generations for callers (docs/API.md): request body, NDJSON lines, JSON object."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ibisspring_entry.http.refusals import error_body
from ibisspring_entry.proxy.messages import GenerationEnd, GenerationFailed, TokenRun

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


def encode_line(request_id: str, piece: TokenRun | GenerationEnd | GenerationFailed) -> bytes:
    """
    Encode one piece of a streamed response.

    :param request_id: id that each line repeats.
    :param piece: a run of tokens, the end of the generation, or its failure.
    :return: one JSON line with a newline.
    """
    if isinstance(piece, TokenRun):
        line = {
            "request_id": request_id,
            "offset": piece.offset,
            "tokens": piece.tokens,
            "text": piece.text,
            "version": piece.version,
        }
    elif isinstance(piece, GenerationEnd):
        line = {"request_id": request_id, "done": True, "total": piece.total}
    else:
        line = {"request_id": request_id, **error_body(piece.refusal, request_id)}
    return msgspec.json.encode(line) + b"\n"


def complete_answer(request_id: str, runs: list[TokenRun]) -> bytes:
    """
    Encode the response of a generation that is not streamed.

    :param request_id: id that the response contains.
    :param runs: the token runs of the generation in order.
    :return: one JSON object; adjacent runs with the same version are merged.
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


__all__ = ["NDJSON", "GenerateBody", "complete_answer", "encode_line"]
