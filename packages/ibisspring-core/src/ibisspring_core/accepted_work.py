"""
Pauses of accepted work under which endpoints ended.

Accepted work is what callers have handed in for later: the reward calls of jobs' items and the
prompts of trainers' steps. It is repeated by this system until it is done, and never suspected of
ending its endpoints: a crash of many endpoints for another reason would otherwise leave it undone
for good. Pauses bound what a request can do that ends its endpoints nevertheless.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.crash_suspects import MAX_SUSPECTS, item_pause_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.request_identity import IdentifiedRequest


@dataclass
class _EndedWork:
    """
    Work under which endpoints ended since its last answer.

    :param starts: endpoints with their incarnations. Requests of one identity, such as the samples
        of a group, may have been at the same endpoint.
    :param paused_until: boot-clock time in seconds.
    """

    starts: set[tuple[str, int]] = field(default_factory=set)
    paused_until: float = 0.0


class AcceptedWork:
    """
    The accepted work of one entry under which endpoints ended.

    Without any, nothing is digested.
    """

    def __init__(self, identify: Callable[[Any], IdentifiedRequest]) -> None:
        """
        :param identify: returns the parts of a request that its identity depends on.
        """
        self._identify = identify
        self._ended_by_identity: dict[str, _EndedWork] = {}

    def _ended(self, request: Any) -> _EndedWork | None:
        if not self._ended_by_identity:
            return None
        return self._ended_by_identity.get(self._identify(request).identity())

    def ends(self, request: Any) -> int:
        """Return the number of endpoints that ended since the last answer."""
        ended = self._ended(request)
        return len(ended.starts) if ended is not None else 0

    def refusal(self, request: Any) -> Refusal | None:
        """Return the refusal of a request that pauses; None if it may be sent now."""
        ended = self._ended(request)
        pause_s = ended.paused_until - boot_now() if ended is not None else 0.0
        if pause_s <= 0.0:
            return None
        detail = f"{len(ended.starts)} endpoints ended while they ran this work"
        return Refusal(Reason.CRASH_SUSPECT, True, pause_s, detail)

    def endpoint_ended(self, request: Any, record: EndpointRecord) -> None:
        """
        Record that an endpoint ended while it ran a request.

        :param record: the endpoint's record.
        """
        identified = self._identify(request)
        identity = identified.identity()
        ended = self._ended_by_identity.setdefault(identity, _EndedWork())
        start = (record.endpoint, record.incarnation)
        if start in ended.starts:
            return
        ended.starts.add(start)
        pause_s = item_pause_s(len(ended.starts))
        ended.paused_until = boot_now() + pause_s
        while len(self._ended_by_identity) > MAX_SUSPECTS:
            del self._ended_by_identity[next(iter(self._ended_by_identity))]
        eliot.log_message(
            "crash_suspects:work_ended",
            request=identified.request_id,
            identity=identity,
            client_account=identified.client_account,
            endpoint=record.endpoint,
            incarnation=record.incarnation,
            ends=len(ended.starts),
            pause_s=pause_s,
        )

    def answered(self, request: Any) -> None:
        """Record that an endpoint answered a request."""
        if self._ended_by_identity:
            self._ended_by_identity.pop(self._identify(request).identity(), None)


__all__ = ["AcceptedWork"]
