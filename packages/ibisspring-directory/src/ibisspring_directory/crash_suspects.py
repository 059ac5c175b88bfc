"""
Requests under which endpoints ended, on the directory's leader.

Entries report each end and each answer of a suspect. Both are committed to the directory's log, so
that neither the loss of the entry nor that of the leader loses them, and are part of every entry's
view. Trials are allowed by the leader alone and are not stored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.crash_suspects import (
    SuspectsChanged,
    SuspectsRead,
    TrialStarted,
)
from ibisspring_decisions.crash_suspects import Standing, Trials, standing
from ibisspring_directory.commands import RecordEnd, RemoveSuspect

if TYPE_CHECKING:
    from ibisspring_core.messages.crash_suspects import (
        ClearSuspect,
        CrashSuspect,
        ReadSuspects,
        ReportEnd,
        StartTrial,
        SuspectSummary,
    )
    from ibisspring_directory.leader_context import LeaderContext


class CrashSuspects:
    """The handlers of messages about crash suspects, on the directory's leader."""

    def __init__(self, context: LeaderContext) -> None:
        self._context = context
        self._trials = Trials()

    def start_term(self, now: float) -> None:
        """Forget the trials, which a previous leader may have allowed."""
        self._trials.start_term(now)

    async def report_end(self, message: ReportEnd) -> Any:
        """Commit the end of an endpoint under a request; an end that is known changes nothing."""
        suspect = message.suspect
        committed = await self._context.propose(RecordEnd(suspect))
        if isinstance(committed, Refusal):
            return committed
        self._trials.ended(suspect.identity)
        found = self._summary(suspect.identity)
        self._context.counters.add("directory.endpoint_ended_under_request")
        eliot.log_message(
            "directory:crash_suspect",
            identity=suspect.identity,
            request=suspect.ends[0].request,
            client_account=suspect.client_account,
            service=suspect.service,
            target=suspect.target,
            endpoint=suspect.ends[0].endpoint,
            incarnation=suspect.ends[0].incarnation,
            reporter=suspect.ends[0].daemon,
            in_trial=suspect.ends[0].in_trial,
            ends=found.ends,
            standing=standing(found.ends, found.in_trial).value,
        )
        return self._changed(suspect.identity)

    async def clear(self, message: ClearSuspect) -> Any:
        """Commit that a suspect was answered or released; an unknown one changes nothing."""
        if self._find(message.identity) is not None:
            committed = await self._context.propose(
                RemoveSuspect(message.identity, message.known_ends)
            )
            if isinstance(committed, Refusal):
                return committed
        self._trials.ended(message.identity)
        eliot.log_message(
            "directory:suspect_cleared",
            identity=message.identity,
            known_ends=message.known_ends,
            operator=message.operator,
            removed=self._find(message.identity) is None,
        )
        return self._changed(message.identity)

    async def start_trial(self, message: StartTrial) -> Any:
        """Decide whether an entry may send a suspect once."""
        # The entry may know of an end whose report has not arrived yet.
        suspect = self._find(message.identity)
        found = self._summary(message.identity)
        ends = suspect.ends if suspect is not None else ()
        wall_s = self._context.agreed_wall_s()
        since_end_s = min((wall_s - end.wall_s for end in ends), default=0.0)
        others = self._unharmed_endpoints(message.service) - 1
        is_quarantined = standing(found.ends, found.in_trial) is Standing.QUARANTINED
        allowed = not is_quarantined and self._trials.start(
            message.service,
            message.identity,
            message.time_limit_s,
            others,
            since_end_s,
            boot_now(),
        )
        eliot.log_message(
            "directory:suspect_trial",
            identity=message.identity,
            service=message.service,
            ends=found.ends,
            other_endpoints=others,
            since_end_s=round(since_end_s, 3),
            allowed=allowed,
        )
        return TrialStarted(allowed)

    async def read(self, message: ReadSuspects) -> Any:
        """Return all suspects, after a quorum confirmed that none newer is committed."""
        confirmed = await self._context.confirm_read()
        if isinstance(confirmed, Refusal):
            return confirmed
        suspects = self._context.state.suspects.by_identity.values()
        return SuspectsRead(tuple(sorted(suspects, key=lambda one: -len(one.ends))))

    def _find(self, identity: str) -> CrashSuspect | None:
        return self._context.state.suspects.by_identity.get(identity)

    def _summary(self, identity: str) -> SuspectSummary:
        return self._context.state.suspects.summary(identity)

    def _changed(self, identity: str) -> SuspectsChanged:
        return SuspectsChanged(self._context.state.suspects.change, self._summary(identity))

    def _unharmed_endpoints(self, service: str) -> int:
        """Count the serving endpoints, without those whose end the heartbeats do not show yet."""
        ended = {
            (end.endpoint, end.incarnation)
            for suspect in self._context.state.suspects.by_identity.values()
            for end in suspect.ends
        }
        records = (one.record for one in self._context.endpoints.table.records())
        return sum(
            record.service == service
            and record.state == SERVING
            and (record.endpoint, record.incarnation) not in ended
            for record in records
        )


__all__ = ["CrashSuspects"]
