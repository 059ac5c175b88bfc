"""
Pauses of accepted work under which endpoints ended.

Accepted work is what callers have handed in for later: the reward calls of jobs' items and the
prompts of trainers' steps. It is repeated by this system until it is done, and never suspected of
ending its endpoints: a crash of many endpoints for another reason would otherwise leave it undone
for good. Pauses bound what a request can do that ends its endpoints nevertheless.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ibisspring_decisions.crash_suspects import MAX_SUSPECTS, item_pause_s


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
    """The accepted work of one entry under which endpoints ended, by identity of the request."""

    def __init__(self) -> None:
        self._ended_by_identity: dict[str, _EndedWork] = {}

    def __bool__(self) -> bool:
        return bool(self._ended_by_identity)

    def ends(self, identity: str) -> int:
        """Return the number of endpoints that ended since the last answer."""
        ended = self._ended_by_identity.get(identity)
        return len(ended.starts) if ended is not None else 0

    def pause_left_s(self, identity: str, now: float) -> float:
        """Return the seconds until a request may be sent again; 0.0 if it may be sent now."""
        ended = self._ended_by_identity.get(identity)
        return max(0.0, ended.paused_until - now) if ended is not None else 0.0

    def endpoint_ended(self, identity: str, start: tuple[str, int], now: float) -> None:
        """
        Record that an endpoint ended while it ran a request.

        :param start: the endpoint's id and incarnation.
        """
        ended = self._ended_by_identity.setdefault(identity, _EndedWork())
        if start in ended.starts:
            return
        ended.starts.add(start)
        ended.paused_until = now + item_pause_s(len(ended.starts))
        while len(self._ended_by_identity) > MAX_SUSPECTS:
            del self._ended_by_identity[next(iter(self._ended_by_identity))]

    def answered(self, identity: str) -> None:
        """Record that an endpoint answered a request."""
        self._ended_by_identity.pop(identity, None)


__all__ = ["AcceptedWork"]
