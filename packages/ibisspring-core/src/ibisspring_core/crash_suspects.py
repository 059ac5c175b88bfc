"""
The service `crash_suspects`: what this entry does with requests that may end their endpoints.

Ordinary requests need no call to another daemon: the suspects are part of the view that the leader
sends to each entry, and without any suspect nothing is digested. Ends that this entry has seen
apply here at once; they are reported to the leader in the background until it has stored them.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import eliot

from ibisspring_core.accepted_work import AcceptedWork
from ibisspring_core.clock import boot_now
from ibisspring_core.connections import is_refused
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
from ibisspring_core.request_identity import HEAD_CHARS
from ibisspring_decisions.crash_suspects import (
    MAX_SUSPECTS,
    MAX_TRIAL_S,
    QUARANTINE_RETRY_AFTER_S,
    TRIAL_RETRY_AFTER_S,
    Standing,
    standing,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.request_identity import IdentifiedRequest

# Longest path and query that is stored of a request and logged.
MAX_TARGET_CHARS = 200
# Seconds for which a report is repeated. An election takes less, and an entry that is cut off for
# longer serves no callers.
REPORT_S = 60.0
# Seconds for which a daemon that stops still waits for the answers to its reports.
STOP_WAIT_S = 0.5
REPORT_PAUSE_S = 0.1
# Longest time in seconds that an attempt waits for the answer to its report. A leader answers in a
# few milliseconds; without one, the next attempt must not be late for it.
REPORT_WAIT_S = 0.1
# Seconds that a request waits for the leader's answer about its trial.
TRIAL_TIMEOUT_S = 0.5


class SuspectsLink(Protocol):
    """An entry's way to the leader that stores the suspects."""

    def suspects(self) -> Mapping[str, SuspectSummary]:
        """Return the suspects of this entry's view, by identity."""

    def change(self) -> int:
        """Return the number of the newest change of the suspects that the view contains."""

    def age_s(self) -> float:
        """Return the seconds since the leader last confirmed the view."""

    def wall_s(self) -> float:
        """Return the wall clock in seconds since 1970."""

    async def call(self, message: ReportEnd | ClearSuspect | StartTrial, timeout_s: float) -> Any:
        """Send a message to the leader, repeatedly if necessary; return its answer."""


@dataclass
class _OwnSuspect:
    """
    A suspect with ends that this entry has seen and that its view may lack.

    :param starts: endpoints with their incarnations, as this entry saw them end.
    :param summary: all ends known here, those of the view included.
    :param reports: number of reports that the leader has not answered.
    :param change: change of the view that contains all starts; None while the leader lacks one.
    """

    starts: set[tuple[str, int]]
    summary: SuspectSummary
    reports: int = 0
    change: int | None = None


class CrashSuspects:
    """
    Decides whether a request may be sent, and reports ends of endpoints and answers.

    A request whose field `accepted` is set is work that was accepted for later. It is not suspected
    and shares no identity with callers' requests; it only pauses here (see `AcceptedWork`).
    """

    name = "crash_suspects"

    def __init__(
        self,
        daemon: str,
        identify: Callable[[Any], IdentifiedRequest],
        link: Callable[[Kernel], SuspectsLink],
    ) -> None:
        """
        Build the service of an entry.

        :param daemon: name of the entry, which is part of its reports.
        :param identify: returns the parts of a request that its identity depends on.
        :param link: builds the way to the leader from the started services.
        """
        self._daemon = daemon
        self._identify = identify
        self._build_link = link
        self._own_by_identity: dict[str, _OwnSuspect] = {}
        # Identities of the requests on trial here, by identity of the request object.
        self._trial_by_request: dict[int, str] = {}
        self._clearing: set[str] = set()
        self._heads: set[str] = set()
        self._seen_change = 0
        self._reports: set[asyncio.Task[None]] = set()
        # Requests with an attempt whose end is being checked, by identity of the object.
        self._checked: Counter[int] = Counter()
        self._accepted = AcceptedWork(identify)

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that connect this entry with the leader."""
        self._link = self._build_link(kernel)
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """Wait for the reports under way, and cancel those that the leader does not answer."""
        if self._reports:
            await asyncio.wait(self._reports, timeout=STOP_WAIT_S)
        for task in self._reports:
            task.cancel()

    def standing(self, request: Any) -> Standing:
        """Return what may be done with a request, by all that this entry knows."""
        return self._standing_of(self._known_identity(request))

    def _known_identity(self, request: Any) -> str | None:
        """Return the identity of a request that may be a suspect; None if its head is unknown."""
        if self._link.change() != self._seen_change:
            self._view_changed()
        if not self._heads:
            return None
        identified = self._identify(request)
        return identified.identity() if identified.head() in self._heads else None

    def _standing_of(self, identity: str | None) -> Standing:
        if identity is None:
            return Standing.CLEAR
        found = self._summary(identity)
        return standing(found.ends, found.in_trial)

    async def admit(
        self, request: Any, service: str, time_limit_s: float, other_endpoints: int | None = None
    ) -> Refusal | None:
        """
        Decide whether an exchange of a request may begin; a trial is asked for where it needs one.

        :param service: service of the request's route.
        :param time_limit_s: seconds until the exchange ends.
        :param other_endpoints: serving endpoints of the service beside one, where the leader does
            not count them itself.
        :return: the refusal of a request that must not be sent now; None if it may be sent.
        """
        if request.accepted:
            return self._accepted.refusal(request)
        identity = self._known_identity(request)
        found = self._standing_of(identity)
        if found in (Standing.CLEAR, Standing.SUSPECT):
            return None
        retry_after_s = QUARANTINE_RETRY_AFTER_S
        if found is Standing.ON_TRIAL:
            retry_after_s = TRIAL_RETRY_AFTER_S
            message = StartTrial(identity, service, min(time_limit_s, MAX_TRIAL_S), other_endpoints)
            if await self._start_trial(request, message):
                return None
        ends = self._summary(identity).ends
        eliot.log_message(
            "crash_suspects:refused",
            request=self._identify(request).request_id,
            identity=identity,
            standing=found.value,
            ends=ends,
            view_age_s=round(self._link.age_s(), 3),
        )
        detail = f"{ends} endpoints ended while they ran this request"
        return Refusal(Reason.CRASH_SUSPECT, True, retry_after_s, detail)

    async def _start_trial(self, request: Any, message: StartTrial) -> bool:
        if message.identity in self._trial_by_request.values():
            return False
        self._trial_by_request[id(request)] = message.identity
        allowed = False
        try:
            answer = await self._link.call(message, TRIAL_TIMEOUT_S)
            allowed = isinstance(answer, TrialStarted) and answer.allowed
        finally:
            # A caller that leaves cancels the call; its request must not count as on trial.
            if not allowed:
                self.exchange_ended(request)
        return allowed

    def may_send(self, request: Any) -> bool:
        """Whether an admitted request may be sent to another endpoint."""
        if request.accepted:
            return self._accepted.refusal(request) is None
        identity = self._known_identity(request)
        found = self._standing_of(identity)
        if found is Standing.ON_TRIAL:
            return identity in self._trial_by_request.values()
        return found is not Standing.QUARANTINED

    def may_hedge(self, request: Any) -> bool:
        """Whether a request may be at two endpoints at the same time."""
        if self._checked[id(request)]:
            return False
        if request.accepted:
            return not self._accepted.ends(request)
        return self.standing(request) is Standing.CLEAR

    def exchange_ended(self, request: Any) -> None:
        """Record that an admitted exchange is over; its trial, if it was one, is too."""
        self._trial_by_request.pop(id(request), None)

    async def check_end(self, request: Any, record: EndpointRecord, in_flight: int) -> None:
        """
        Check whether an endpoint ended while it ran a request, and report it to the leader if so.

        The connection of the request must have broken after a part of it was sent. Returns once the
        leader has answered, or after `REPORT_WAIT_S`: copies of the request may have ended
        endpoints through other entries at the same moment.

        :param in_flight: requests of this entry that were there, this one included.
        """
        self._checked[id(request)] += 1
        try:
            if await is_refused(record.address):
                await self._report_end(request, record, in_flight)
        finally:
            self._checked[id(request)] -= 1
            if not self._checked[id(request)]:
                del self._checked[id(request)]

    async def _report_end(self, request: Any, record: EndpointRecord, in_flight: int) -> None:
        if request.accepted:
            self._counters.add("crash_suspects.endpoint_ended")
            self._accepted.endpoint_ended(request, record)
            return
        identified = self._identify(request)
        identity = identified.identity()
        in_trial = identity in self._trial_by_request.values()
        self._add_start(identity, (record.endpoint, record.incarnation), in_trial)
        end = EndpointEnd(
            record.endpoint,
            record.incarnation,
            self._daemon,
            identified.request_id,
            in_flight,
            self._link.wall_s(),
            in_trial,
        )
        suspect = CrashSuspect(
            identity,
            record.service,
            identified.client_account,
            identified.method,
            identified.target[:MAX_TARGET_CHARS],
            (end,),
        )
        self._log_end(suspect, end)
        report = self._report(ReportEnd(suspect), identity)
        await asyncio.wait((report,), timeout=REPORT_WAIT_S)

    def _log_end(self, suspect: CrashSuspect, end: EndpointEnd) -> None:
        self._counters.add("crash_suspects.endpoint_ended")
        eliot.log_message(
            "crash_suspects:endpoint_ended",
            request=end.request,
            identity=suspect.identity,
            client_account=suspect.client_account,
            method=suspect.method,
            target=suspect.target,
            endpoint=end.endpoint,
            incarnation=end.incarnation,
            in_flight=end.in_flight,
            in_trial=end.in_trial,
            ends=self._summary(suspect.identity).ends,
        )

    def _add_start(self, identity: str, start: tuple[str, int], in_trial: bool) -> None:
        known = self._summary(identity)
        own = self._own_by_identity.setdefault(identity, _OwnSuspect(set(), known))
        if start not in own.starts:
            own.starts.add(start)
            # Another entry may have reported this start already. Until the leader has answered, one
            # end too many is counted rather than one too few.
            own.summary = SuspectSummary(known.ends + 1, known.in_trial or in_trial)
        own.reports += 1
        own.change = None
        while len(self._own_by_identity) > MAX_SUSPECTS:
            del self._own_by_identity[next(iter(self._own_by_identity))]
        self._update_heads()

    def record_answer(self, request: Any) -> None:
        """Clear a request that an endpoint answered, here and at the leader."""
        if request.accepted:
            self._accepted.answered(request)
            return
        identity = self._known_identity(request)
        if self._standing_of(identity) is Standing.CLEAR:
            return
        known_ends = self._summary(identity).ends
        self._own_by_identity.pop(identity, None)
        if identity not in self._clearing:
            self._clearing.add(identity)
            self._report(ClearSuspect(identity, known_ends), identity)

    def _summary(self, identity: str) -> SuspectSummary:
        known = self._link.suspects().get(identity, SuspectSummary(0, False))
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
            answer = await self._link.call(message, end_s - boot_now())
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
        if own is None or not isinstance(message, ReportEnd):
            return
        own.reports -= 1
        if not own.reports:
            own.change = answer.change
            own.summary = answer.summary
            self._view_changed()

    def _view_changed(self) -> None:
        change = self._seen_change = self._link.change()
        for identity, own in list(self._own_by_identity.items()):
            if own.change is not None and own.change <= change:
                del self._own_by_identity[identity]
        self._update_heads()

    def _update_heads(self) -> None:
        identities = (*self._link.suspects(), *self._own_by_identity)
        self._heads = {identity[:HEAD_CHARS] for identity in identities}


__all__ = ["CrashSuspects", "SuspectsLink"]
