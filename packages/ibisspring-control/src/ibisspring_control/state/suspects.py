"""Crash suspects: requests under which endpoints ended, and the trials that are under way."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ibisspring_core.messages.crash_suspects import CrashSuspect, TrialStarted
from ibisspring_core.suspect_state import SuspectState
from ibisspring_decisions.crash_suspects import Trials

if TYPE_CHECKING:
    from ibisspring_control.state.moment import LogPosition
    from ibisspring_core.messages.crash_suspects import (
        ClearSuspect,
        ReportEnd,
        StartTrial,
        SuspectsChanged,
        SuspectSummary,
    )


@dataclass(frozen=True)
class SuspectsSnapshot:
    """
    All suspects, and the trials as `Trials` keeps them.

    :param change: number of the newest change of the suspects.
    :param trials: service, identity, and end of the trial by the log's clock, sorted.
    """

    suspects: tuple[CrashSuspect, ...] = ()
    change: int = 0
    trials: tuple[tuple[str, str, float], ...] = ()


class Suspects:
    """The suspects in the order of their identities, and one trial of a service at a time."""

    def __init__(self, snapshot: SuspectsSnapshot) -> None:
        self._state = SuspectState(snapshot.suspects, snapshot.change)
        self._trials = Trials.from_trials(snapshot.trials)

    def snapshot(self) -> SuspectsSnapshot:
        """Return the complete state, sorted."""
        by_identity = self._state.by_identity
        suspects = tuple(by_identity[identity] for identity in sorted(by_identity))
        return SuspectsSnapshot(suspects, self._state.change, self._trials.trials())

    @property
    def change(self) -> int:
        """Number of the newest change of the suspects."""
        return self._state.change

    def all(self) -> tuple[CrashSuspect, ...]:
        """Return all suspects, those with the most ends first."""
        return self._state.all()

    def summaries(self) -> dict[str, SuspectSummary]:
        """Return the suspects by identity, as they are sent to the entries."""
        return self._state.summaries()

    def report_end(self, command: ReportEnd, position: LogPosition) -> SuspectsChanged:
        """Add an end; its time is that of the log, as entries' wall clocks may be wrong."""
        reported = command.suspect
        ends = tuple(replace(end, wall_s=position.stamped_s) for end in reported.ends)
        self._state.record(replace(reported, ends=ends))
        self._trials.ended(reported.identity)
        return self._state.changed(reported.identity)

    def clear(self, command: ClearSuspect) -> SuspectsChanged:
        """Remove a suspect unless it has more ends than the sender knew."""
        self._state.clear(command.identity, command.known_ends)
        self._trials.ended(command.identity)
        return self._state.changed(command.identity)

    def start_trial(self, command: StartTrial, position: LogPosition) -> TrialStarted:
        """Start a trial if it is allowed."""
        now = position.stamped_s
        others = command.other_endpoints or 0
        return TrialStarted(self._state.start_trial(self._trials, command, others, now, now))


__all__ = ["Suspects", "SuspectsSnapshot"]
