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
    SuspectsRead,
    TrialStarted,
)
from ibisspring_decisions.crash_suspects import Trials, standing
from ibisspring_directory.commands import RecordEnd, RemoveSuspect

if TYPE_CHECKING:
    from ibisspring_core.messages.crash_suspects import (
        ClearSuspect,
        ReadSuspects,
        ReportEnd,
        StartTrial,
    )
    from ibisspring_core.suspect_state import SuspectState
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
        found = self._suspects.summary(suspect.identity)
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
        return self._suspects.changed(suspect.identity)

    async def clear(self, message: ClearSuspect) -> Any:
        """Commit that a suspect was answered or released; an unknown one changes nothing."""
        if message.identity in self._suspects.by_identity:
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
            removed=message.identity not in self._suspects.by_identity,
        )
        return self._suspects.changed(message.identity)

    async def start_trial(self, message: StartTrial) -> Any:
        """Decide whether an entry may send a suspect once."""
        suspects = self._suspects
        wall_s = self._context.agreed_wall_s()
        others = self._unharmed_endpoints(message.service) - 1
        allowed = suspects.start_trial(self._trials, message, others, wall_s, boot_now())
        eliot.log_message(
            "directory:suspect_trial",
            identity=message.identity,
            service=message.service,
            ends=suspects.summary(message.identity).ends,
            other_endpoints=others,
            since_end_s=round(suspects.since_end_s(message.identity, wall_s), 3),
            allowed=allowed,
        )
        return TrialStarted(allowed)

    async def read(self, message: ReadSuspects) -> Any:
        """Return all suspects, after a quorum confirmed that none newer is committed."""
        confirmed = await self._context.confirm_read()
        if isinstance(confirmed, Refusal):
            return confirmed
        return SuspectsRead(self._suspects.all())

    @property
    def _suspects(self) -> SuspectState:
        # A snapshot replaces the object.
        return self._context.state.suspects

    def _unharmed_endpoints(self, service: str) -> int:
        """Count the serving endpoints, without those whose end the heartbeats do not show yet."""
        ended = {
            (end.endpoint, end.incarnation)
            for suspect in self._suspects.by_identity.values()
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
