"""The replicated part of the crash suspects: which requests ended which endpoints."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ibisspring_core.messages.crash_suspects import SuspectsChanged, SuspectSummary
from ibisspring_decisions.crash_suspects import (
    QUARANTINE_ENDS,
    SUSPICION_S,
    Standing,
    Suspicion,
    evicted,
    standing,
)

if TYPE_CHECKING:
    from ibisspring_core.messages.crash_suspects import CrashSuspect, StartTrial
    from ibisspring_decisions.crash_suspects import Trials

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

    def all(self) -> tuple[CrashSuspect, ...]:
        """Return all suspects, those with the most ends first."""
        suspects = self.by_identity.values()
        return tuple(sorted(suspects, key=lambda one: (-len(one.ends), one.identity)))

    def summaries(self) -> dict[str, SuspectSummary]:
        """Return the suspects by identity, sorted, as they are sent to the entries."""
        return {identity: _summary(one) for identity, one in sorted(self.by_identity.items())}

    def summary(self, identity: str) -> SuspectSummary:
        """Return what is known of a request, which need not be a suspect."""
        suspect = self.by_identity.get(identity)
        return _summary(suspect) if suspect is not None else SuspectSummary(0, False)

    def changed(self, identity: str) -> SuspectsChanged:
        """Build the answer to a report about a request, after it was applied."""
        return SuspectsChanged(self.change, self.summary(identity))

    def since_end_s(self, identity: str, wall_s: float) -> float:
        """
        Return the seconds since the newest end of a request; 0.0 if none is known.

        An entry may know of an end whose report has not arrived yet.

        :param wall_s: the present time, by the clock of the ends.
        """
        suspect = self.by_identity.get(identity)
        ends = suspect.ends if suspect is not None else ()
        return min((wall_s - end.wall_s for end in ends), default=0.0)

    def start_trial(
        self, trials: Trials, message: StartTrial, other_endpoints: int, wall_s: float, now: float
    ) -> bool:
        """
        Start the trial of a request, and return whether it is allowed.

        :param other_endpoints: serving endpoints of the service beside the one that it may end.
        :param wall_s: the present time, by the clock of the ends.
        :param now: the present time, by the clock of `trials`.
        """
        found = self.summary(message.identity)
        if standing(found.ends, found.in_trial) is Standing.QUARANTINED:
            return False
        since_end_s = self.since_end_s(message.identity, wall_s)
        return trials.start(
            message.service,
            message.identity,
            message.time_limit_s,
            other_endpoints,
            since_end_s,
            now,
        )

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


def standing_of(suspect: CrashSuspect) -> Standing:
    """Return what may be done with a suspect."""
    found = _summary(suspect)
    return standing(found.ends, found.in_trial)


def _summary(suspect: CrashSuspect) -> SuspectSummary:
    return SuspectSummary(len(suspect.ends), any(end.in_trial for end in suspect.ends))


def _suspicion(suspect: CrashSuspect) -> Suspicion:
    newest_s = max(end.wall_s for end in suspect.ends)
    return Suspicion(suspect.identity, len(suspect.ends), newest_s)


__all__ = ["SuspectState", "standing_of"]
