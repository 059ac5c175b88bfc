"""Engines' wire format (docs/API.md, Engines): request bodies and the JSON lines of responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ibisspring_core.json_input import decode_json

if TYPE_CHECKING:
    from ibisspring_entry.proxy.messages import GenerateRequest


@dataclass(frozen=True)
class EngineLine:
    """One line of an engine's stream: tokens, an error, or the end mark (`done` with `total`)."""

    request_id: str
    offset: int = 0
    tokens: tuple[int, ...] = ()
    text: str = ""
    version: int | None = None
    done: bool = False
    total: int = 0
    error: str = ""


@dataclass(frozen=True)
class RequestState:
    """Answer to `GET /requests/{id}`; `state` is `running`, `done` or `unknown`."""

    request_id: str
    state: str
    offset: int = 0


def generate_body(
    request: GenerateRequest, try_id: str, resume_tokens: tuple[int, ...]
) -> dict[str, object]:
    """
    Build the JSON body of a try's `POST /generate` to an engine.

    :param request: the generation.
    :param try_id: the id of this try, which the engine echoes.
    :param resume_tokens: tokens received by earlier tries, after which the engine continues.
    """
    return {
        "request_id": try_id,
        "model": request.model,
        "adapter": request.adapter,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "priority": request.priority,
        "resume_tokens": list(resume_tokens),
    }


def parse_line(data: bytes) -> EngineLine | None:
    """
    Parse one line of an engine's stream.

    :return: the line, or None if the bytes are no valid line, such as the incomplete last line of a
        truncated stream.
    """
    try:
        return decode_json(data, EngineLine)
    except msgspec.DecodeError:
        return None


def parse_state(data: bytes) -> RequestState | None:
    """
    Parse the body of an engine's answer to `GET /requests/{id}`.

    :return: the state of the request, or None if the body is no valid state.
    """
    try:
        return decode_json(data, RequestState)
    except msgspec.DecodeError:
        return None


def says_not_run(data: bytes) -> bool:
    """
    Return whether an engine's refusal says that the request was not run.

    :param data: the body of a 429 or 503 response.
    :return: True only if the body is a JSON object whose `not_run` is true.
    """
    try:
        return decode_json(data, dict).get("not_run") is True
    except msgspec.DecodeError:
        return False


__all__ = [
    "EngineLine",
    "RequestState",
    "generate_body",
    "parse_line",
    "parse_state",
    "says_not_run",
]
