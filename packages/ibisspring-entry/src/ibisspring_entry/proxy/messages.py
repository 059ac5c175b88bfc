"""What the proxy is asked and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.errors import Refusal


@dataclass(frozen=True)
class GenerateRequest:
    """
    One generation.

    :param request_id: id under which the caller knows it; a resumed try gets an id derived from it.
    :param client_account: whom it runs for.
    :param model: the service that the engines announce.
    :param adapter: weights of one trainer; empty for the base.
    :param priority: higher goes first at the engine.
    :param deadline_s: seconds from the call in which the whole answer must be there.
    :param correlation_id: goes into logs and on to the engine.
    :param avoid: endpoints that must not be used, such as the one on which a straggler runs.
    :param note_endpoint: told each engine before it is tried, also one that never writes a token.
    :param may_start: asked when its turn has come, since the key may be withdrawn while it waits.
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
    avoid: tuple[str, ...] = ()
    note_endpoint: Callable[[str], None] | None = None
    may_start: Callable[[], bool] | None = None


@dataclass(frozen=True)
class TokenRun:
    """
    Tokens that one weight version made.

    :param offset: place of the first token, counted from the start of the whole answer.
    :param version: what the engine wrote beside the tokens; None where it wrote none, and then the
        tokens must not become part of a sample.
    :param endpoint: the engine that made them.
    """

    request_id: str
    offset: int
    tokens: tuple[int, ...]
    text: str
    version: int | None
    endpoint: str


@dataclass(frozen=True)
class End:
    """
    The end mark: the answer is whole.

    :param total: tokens of the whole answer.
    :param endpoint: the engine that ended it.
    :param tries: engines' streams that made it, 1 where nothing failed.
    :param endpoint_s: seconds that it was worked on, without its wait for a turn.
    """

    request_id: str
    total: int
    endpoint: str
    tries: int = 1
    endpoint_s: float = 0.0


@dataclass(frozen=True)
class Failed:
    """
    The answer is not whole and will not be.

    :param total: tokens that were delivered before.
    """

    request_id: str
    refusal: Refusal
    total: int = 0


@dataclass(frozen=True)
class PlainRequest:
    """
    One call of a plain service.

    :param path: path and query as the caller wrote them, with a leading slash.
    :param headers: the caller's headers that may go on; never its key.
    :param idempotent: whether it may be sent again after it may have run.
    :param deadline_s: seconds from the call in which the whole answer must be there.
    :param may_start: asked when its turn has come, since the key may be withdrawn while it waits.
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
    may_start: Callable[[], bool] | None = None


@dataclass(frozen=True)
class PlainAnswer:
    """
    A whole answer.

    :param headers: those that may go on to the caller.
    :param replayed: whether it is the stored answer of an earlier call, which was billed already.
    :param endpoint_s: seconds that it was worked on, without its wait for a turn.
    """

    request_id: str
    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    endpoint: str = ""
    replayed: bool = False
    endpoint_s: float = 0.0


__all__ = ["End", "Failed", "GenerateRequest", "PlainAnswer", "PlainRequest", "TokenRun"]
