"""Requests to the proxy, which sends them to endpoints, and the proxy's answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.errors import Refusal


@dataclass(frozen=True)
class GenerateRequest:
    """
    A request to generate text with a model.

    :param request_id: the id of the request; each try at an engine has an id derived from it.
    :param client_account: the client account for which the generation runs.
    :param model: the service name that the engines announce.
    :param prompt: the prompt's text.
    :param max_tokens: largest number of tokens to generate.
    :param adapter: name of a trainer's adapter weights; empty for the base model.
    :param priority: the engine schedules higher priorities first.
    :param deadline_s: seconds from the call within which the complete answer is needed.
    :param correlation_id: id from the caller's header `X-Correlation-Id`, which is written to logs
        and sent to the engine.
    :param excluded_endpoints: ids of endpoints that must not be used, such as the engine that
        already runs a slow attempt at the same sample.
    :param on_endpoint_chosen: called with each engine's id before the engine is tried, so also for
        an engine that never returns a token.
    :param is_still_allowed: called when the request has got a slot; False rejects it, because its
        key may have been withdrawn while it waited.
    :param accepted: the request is work that was accepted for later, and is repeated until done.
    """

    request_id: str
    client_account: str
    model: str
    prompt: str
    max_tokens: int
    adapter: str = ""
    priority: int = 0
    deadline_s: float = 60.0
    correlation_id: str = ""
    excluded_endpoints: tuple[str, ...] = ()
    on_endpoint_chosen: Callable[[str], None] | None = None
    is_still_allowed: Callable[[], bool] | None = None
    accepted: bool = False


@dataclass(frozen=True)
class TokenRun:
    """
    Consecutive tokens that one weight version generated.

    :param offset: position of the first token in the complete answer.
    :param tokens: the token ids.
    :param text: the tokens' text.
    :param version: the weight version that the engine reported with the tokens; None if it reported
        none, in which case the tokens must not become part of a sample.
    :param endpoint: id of the engine that generated the tokens.
    """

    request_id: str
    offset: int
    tokens: tuple[int, ...]
    text: str
    version: int | None
    endpoint: str


@dataclass(frozen=True)
class GenerationEnd:
    """
    The end mark of a generation's complete answer.

    :param total: number of tokens of the complete answer.
    :param endpoint: id of the engine that generated the last tokens.
    :param tries: number of tries that the generation needed; 1 if no try failed.
    :param endpoint_s: seconds from the start of the first try to the end, without the wait for a
        slot.
    """

    request_id: str
    total: int
    endpoint: str
    tries: int = 1
    endpoint_s: float = 0.0


@dataclass(frozen=True)
class GenerationFailed:
    """
    The end of a generation that failed; its answer stays incomplete.

    :param refusal: why it failed.
    :param total: number of tokens that were delivered before the failure.
    """

    request_id: str
    refusal: Refusal
    total: int = 0


@dataclass(frozen=True)
class PlainRequest:
    """
    One call of a plain service.

    :param path: path and query as the caller sent them, with a leading slash.
    :param headers: the caller's headers that are forwarded; never its API key.
    :param idempotent: whether the call may be sent again although an earlier try may have run.
    :param deadline_s: seconds from the call within which the complete answer is needed.
    :param is_still_allowed: called when the request has got a slot; False rejects it, because its
        key may have been withdrawn while it waited.
    :param accepted: the request is work that was accepted for later, and is repeated until done.
    """

    request_id: str
    client_account: str
    service: str
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    idempotent: bool = False
    deadline_s: float = 60.0
    correlation_id: str = ""
    is_still_allowed: Callable[[], bool] | None = None
    accepted: bool = False


@dataclass(frozen=True)
class CompleteAnswer:
    """
    A complete answer of a plain service, or of a generation under an Idempotency-Key.

    :param headers: the endpoint's headers that are forwarded to the caller.
    :param endpoint: id of the endpoint that answered; empty for a replayed answer.
    :param replayed: whether this is the stored answer of an earlier call, which was already billed.
    :param endpoint_s: seconds that the call took at the endpoints, without the wait for a slot.
    """

    request_id: str
    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    endpoint: str = ""
    replayed: bool = False
    endpoint_s: float = 0.0


__all__ = [
    "GenerationEnd",
    "GenerationFailed",
    "GenerateRequest",
    "CompleteAnswer",
    "PlainRequest",
    "TokenRun",
]
