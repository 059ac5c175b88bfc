"""The replicated part of the crash suspects: which requests ended which endpoints."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ibisspring_core.messages.crash_suspects import SuspectSummary
from ibisspring_decisions.crash_suspects import QUARANTINE_ENDS, SUSPICION_S, Suspicion, evicted

if TYPE_CHECKING:
    from ibisspring_core.messages.crash_suspects import CrashSuspect

# Most ends that are stored of a request. Later ones change nothing for it.
MAX_ENDS = 8


class SuspectState:
    """
    The suspects by identity; changed only by committed commands, without a clock.

    :param change: number of the newest change; rises with each one.
    """

    def __init__(self, suspects: tuple[CrashSuspect, ...] = (), change: int = 0) -> None:
        self.by_identity = {one.identity: one for one in suspects}
        self.change = change

    def summaries(self) -> dict[str, SuspectSummary]:
        """Return the suspects by identity, as they are sent to the entries."""
        return {identity: summary(one) for identity, one in self.by_identity.items()}

    def summary(self, identity: str) -> SuspectSummary:
        """Return what is known of a request, which need not be a suspect."""
        suspect = self.by_identity.get(identity)
        return summary(suspect) if suspect is not None else SuspectSummary(0, False)

    def record(self, reported: CrashSuspect) -> None:
        """Add one end of a request, unless it is known."""
        known = self.by_identity.get(reported.identity)
        ends = known.ends if known is not None else ()
        newest = reported.ends[0]
        starts = {(one.endpoint, one.incarnation) for one in ends}
        if (newest.endpoint, newest.incarnation) in starts:
            return
        if len(ends) < QUARANTINE_ENDS:
            ends = tuple(one for one in ends if newest.wall_s - one.wall_s < SUSPICION_S)
        if len(ends) >= MAX_ENDS:
            return
        self.by_identity[reported.identity] = replace(known or reported, ends=(*ends, newest))
        for identity in evicted(map(_suspicion, self.by_identity.values())):
            del self.by_identity[identity]
        self.change += 1

    def clear(self, identity: str, known_ends: int) -> None:
        """Remove a suspect unless it has more ends than the sender of the command knew."""
        known = self.by_identity.get(identity)
        if known is None or len(known.ends) > known_ends:
            return
        del self.by_identity[identity]
        self.change += 1


def summary(suspect: CrashSuspect) -> SuspectSummary:
    """Summarize a suspect for the decisions about it."""
    return SuspectSummary(len(suspect.ends), any(end.in_trial for end in suspect.ends))


def _suspicion(suspect: CrashSuspect) -> Suspicion:
    newest_s = max(end.wall_s for end in suspect.ends)
    return Suspicion(suspect.identity, len(suspect.ends), newest_s)


__all__ = ["SuspectState", "summary"]
