"""
The service `crash_suspects`: what this entry does with requests that may end their endpoints.

Ordinary requests need no call to another daemon: the suspects are part of the directory view, and
without any suspect nothing is digested. Ends that this entry has seen apply here at once; they are
reported to the directory's leader in the background until it has stored them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    CrashSuspect,
    EndpointEnd,
    ReportEnd,
    StartTrial,
    SuspectsChanged,
    SuspectSummary,
    TrialStarted,
)
from ibisspring_decisions.crash_suspects import (
    MAX_SUSPECTS,
    MAX_TRIAL_S,
    QUARANTINE_RETRY_AFTER_S,
    TRIAL_RETRY_AFTER_S,
    Standing,
    standing,
)
from ibisspring_gateway.request_identity import HEAD_CHARS, head_of, identity_of

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_gateway.wire import CallerRequest

# Longest path and query that is stored of a request and logged.
MAX_TARGET_CHARS = 200
# Seconds for which a report is repeated. The leader is gone for less time in an election; an entry
# that is cut off for longer has served no request with its own knowledge alone.
REPORT_S = 60.0
REPORT_PAUSE_S = 0.1
# Longest time in seconds that an attempt waits for the answer to its report. A leader answers in a
# few milliseconds; without one, the next attempt must not be late for it.
REPORT_WAIT_S = 0.1
# Seconds that a request waits for the leader's answer about its trial.
TRIAL_TIMEOUT_S = 0.5


@dataclass
class _OwnSuspect:
    """
    A suspect with ends that this entry has seen and that its view may lack.

    :param starts: endpoints with their incarnations, as this entry saw them end.
    :param summary: all ends known here, those of the view included.
    :param change: change of the view that contains all starts; None while the leader lacks one.
    """

    starts: set[tuple[str, int]]
    summary: SuspectSummary
    change: int | None = None


class CrashSuspects:
    """Decides whether a request may be sent, and reports ends of endpoints and answers."""

    name = "crash_suspects"

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._own_by_identity: dict[str, _OwnSuspect] = {}
        self._trials: set[str] = set()
        self._clearing: set[str] = set()
        self._heads: set[str] = set()
        self._reports: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(cls, settings: VmSettings) -> CrashSuspects:
        """
        Build the service of an entry.

        :param settings: validated settings of the entry; its name is part of the reports.
        """
        return cls(settings.daemon)

    async def start(self, kernel: Kernel) -> None:
        """Follow the suspects of the directory view."""
        self._view = kernel.find("directory_view")
        self._counters = kernel.find("counters")
        self._view.subscribe(self._view_changed)

    async def stop(self) -> None:
        """Cancel the reports that the leader has not confirmed."""
        for task in self._reports:
            task.cancel()

    def standing(self, request: CallerRequest) -> Standing:
        """Return what may be done with a request, by all that this entry knows."""
        if not self._heads or head_of(request) not in self._heads:
            return Standing.CLEAR
        found = self._summary(identity_of(request))
        return standing(found.ends, found.in_trial)

    async def admit(
        self, request: CallerRequest, service: str, time_limit_s: float
    ) -> Refusal | None:
        """
        Decide whether an exchange of a request may begin; a trial is asked for where it needs one.

        :param service: service of the request's route.
        :param time_limit_s: seconds until the exchange ends.
        :return: the refusal of a request that must not be sent now; None if it may be sent.
        """
        found = self.standing(request)
        if found in (Standing.CLEAR, Standing.SUSPECT):
            return None
        identity = identity_of(request)
        retry_after_s = QUARANTINE_RETRY_AFTER_S
        if found is Standing.ON_TRIAL:
            retry_after_s = TRIAL_RETRY_AFTER_S
            if await self._start_trial(identity, service, time_limit_s):
                return None
        eliot.log_message(
            "crash_suspects:refused",
            request=request.request_id,
            identity=identity,
            standing=found.value,
            ends=self._summary(identity).ends,
            view_age_s=round(self._view.age_s(), 3),
        )
        detail = f"{self._summary(identity).ends} endpoints ended while they ran this request"
        return Refusal(Reason.CRASH_SUSPECT, True, retry_after_s, detail)

    async def _start_trial(self, identity: str, service: str, time_limit_s: float) -> bool:
        if identity in self._trials:
            return False
        self._trials.add(identity)
        message = StartTrial(identity, service, min(time_limit_s, MAX_TRIAL_S))
        answer = await self._view.call_leader(message, TRIAL_TIMEOUT_S)
        if isinstance(answer, TrialStarted) and answer.allowed:
            return True
        self._trials.discard(identity)
        return False

    def may_send(self, request: CallerRequest) -> bool:
        """Whether an admitted request may be sent to another endpoint."""
        found = self.standing(request)
        if found is Standing.ON_TRIAL:
            return identity_of(request) in self._trials
        return found is not Standing.QUARANTINED

    def exchange_ended(self, request: CallerRequest) -> None:
        """Record that an admitted exchange is over; its trial, if it was one, is too."""
        if self._trials:
            self._trials.discard(identity_of(request))

    async def record_end(
        self, request: CallerRequest, record: EndpointRecord, in_flight: int
    ) -> None:
        """
        Record that an endpoint ended while it ran a request, and report it to the leader.

        Returns once the leader has answered, or after `REPORT_WAIT_S`: copies of the request may
        have ended endpoints through other entries at the same moment.

        :param in_flight: requests of this entry that were there, this one included.
        """
        identity = identity_of(request)
        in_trial = identity in self._trials
        self._add_start(identity, (record.endpoint, record.incarnation), in_trial)
        end = EndpointEnd(
            record.endpoint,
            record.incarnation,
            self._daemon,
            request.request_id,
            in_flight,
            self._view.wall_s(),
            in_trial,
        )
        target = request.target[:MAX_TARGET_CHARS]
        suspect = CrashSuspect(
            identity, record.service, request.client_account, request.method, target, (end,)
        )
        self._counters.add("crash_suspects.endpoint_ended")
        eliot.log_message(
            "crash_suspects:endpoint_ended",
            request=request.request_id,
            identity=identity,
            client_account=request.client_account,
            method=request.method,
            target=target,
            endpoint=record.endpoint,
            incarnation=record.incarnation,
            in_flight=in_flight,
            in_trial=in_trial,
            ends=self._summary(identity).ends,
        )
        report = self._report(ReportEnd(suspect), identity)
        await asyncio.wait((report,), timeout=REPORT_WAIT_S)

    def _add_start(self, identity: str, start: tuple[str, int], in_trial: bool) -> None:
        known = self._summary(identity)
        own = self._own_by_identity.setdefault(identity, _OwnSuspect(set(), known))
        if start not in own.starts:
            own.starts.add(start)
            # Another entry may have reported this start already. Until the leader has answered, one
            # end too many is counted rather than one too few.
            own.summary = SuspectSummary(known.ends + 1, known.in_trial or in_trial)
        own.change = None
        while len(self._own_by_identity) > MAX_SUSPECTS:
            del self._own_by_identity[next(iter(self._own_by_identity))]
        self._update_heads()

    def record_answer(self, request: CallerRequest) -> None:
        """Clear a request that an endpoint answered, here and at the leader."""
        if self.standing(request) is Standing.CLEAR:
            return
        identity = identity_of(request)
        known_ends = self._summary(identity).ends
        self._own_by_identity.pop(identity, None)
        if identity not in self._clearing:
            self._clearing.add(identity)
            self._report(ClearSuspect(identity, known_ends), identity)

    def _summary(self, identity: str) -> SuspectSummary:
        known = self._view.view.suspects.get(identity, SuspectSummary(0, False))
        own = self._own_by_identity.get(identity)
        if own is None:
            return known
        return SuspectSummary(
            max(known.ends, own.summary.ends), known.in_trial or own.summary.in_trial
        )

    def _report(self, message: Any, identity: str) -> asyncio.Task[None]:
        task = asyncio.create_task(self._send(message, identity))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)
        return task

    async def _send(self, message: Any, identity: str) -> None:
        end_s = boot_now() + REPORT_S
        answer = None
        while not isinstance(answer, SuspectsChanged) and boot_now() < end_s:
            answer = await self._view.call_leader(message, end_s - boot_now())
            if not isinstance(answer, SuspectsChanged):
                await asyncio.sleep(REPORT_PAUSE_S)
        self._clearing.discard(identity)
        if not isinstance(answer, SuspectsChanged):
            self._counters.add("crash_suspects.report_lost")
            eliot.log_message(
                "crash_suspects:report_lost", identity=identity, report=type(message).__name__
            )
            return
        own = self._own_by_identity.get(identity)
        if own is not None and isinstance(message, ReportEnd):
            own.change = answer.change
            own.summary = answer.summary
            self._view_changed()

    def _view_changed(self) -> None:
        change = self._view.view.suspect_change
        for identity, own in list(self._own_by_identity.items()):
            if own.change is not None and own.change <= change:
                del self._own_by_identity[identity]
        self._update_heads()

    def _update_heads(self) -> None:
        identities = (*self._view.view.suspects, *self._own_by_identity)
        self._heads = {identity[:HEAD_CHARS] for identity in identities}


__all__ = ["CrashSuspects"]
