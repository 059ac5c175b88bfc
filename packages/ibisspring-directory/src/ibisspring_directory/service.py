"""
The service `directory`: the leader's handlers of requests from daemons, operators, trainers and
endpoints.

Every daemon renews its session at the leader at least twice a second (a renewal). The answer to a
renewal contains the daemon's view: the part of the directory that it needs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now, wall_now
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    ReadSuspects,
    ReportEnd,
    StartTrial,
)
from ibisspring_core.messages.directory import (
    Announce,
    CountUsage,
    Depart,
    NameVersion,
    ReadTable,
    Renew,
    ReplaceTable,
    Retire,
    Unchanged,
    UsageCounted,
    View,
)
from ibisspring_core.messages.evacuations import Evacuate, ReadEvacuations
from ibisspring_core.settings.vm import CONTROL, ENTRY
from ibisspring_directory.cold_engines import ColdEngines
from ibisspring_directory.commands import COMMANDS
from ibisspring_directory.crash_suspects import CrashSuspects
from ibisspring_directory.evacuations import Evacuations
from ibisspring_directory.known_endpoints import KnownEndpoints
from ibisspring_directory.leader_context import LeaderContext
from ibisspring_directory.retirements import Retirements
from ibisspring_directory.route_tables import RouteTables
from ibisspring_directory.sessions import SESSION_ACTIVE_S, Sessions
from ibisspring_directory.usage import WindowCounts
from ibisspring_directory.version_lags import VersionLags
from ibisspring_directory.views import Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_consensus.proposals import Committed
    from ibisspring_core.errors import Refusal
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_directory.sessions import Session

SWEEP_S = 0.2
# Longest time, in seconds, that an operator's change waits for active daemons whose view lacks it.
# The limit is below the time after which the operator's client treats the request as lost.
MAX_CHANGE_WAIT_S = 2.5
# First revision number of full views, which also contain the engines' weight versions and current
# loads of weights. It is above the revisions of all views without these (entry views). A store that
# has just become a member of the jobs' log holds a lower revision and is therefore sent the full
# view at once.
FIRST_FULL_REVISION = 1 << 32
# Maximum number of messages per second with usage counts that all entries together send between
# their renewals. The time between two messages of an entry grows with the number of entries, so
# that many entries cost the leader no more work than a few.
USAGE_MESSAGES_PER_S = 500


class Directory:
    """
    Answers directory requests and keeps the leader's state that is not replicated.

    This state is cleared at the start of each term of a leader and rebuilt from renewals and
    announcements.

    :param sessions: newest renewals of the daemons.
    :param endpoints: newest announcements of the endpoints.
    :param full_revision: revision of the full view, which also contains the engines' weight
        versions and current loads of weights.
    :param entry_revision: revision of the view without these.
    :param usage_counts: number of requests in usage windows that are not closed yet.
    :param version_lags: by model, how many weight versions an engine may be behind the newest one.
    :param led_since: start of this daemon's term as the leader, in seconds on its boot clock.
    """

    name = "directory"

    def __init__(self, settings: VmSettings) -> None:
        self.settings = settings
        self.sessions = Sessions()
        self.full_revision = Revision(FIRST_FULL_REVISION)
        self.entry_revision = Revision()
        self._last_entry_view_key: tuple[Any, ...] = ()
        self.usage_counts = WindowCounts()
        self.version_lags = VersionLags()
        self.led_since = 0.0
        self._term = 0
        self._last_sweep_state: tuple[Any, ...] = ()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Directory:
        """
        Build the service `directory` of a control VM.

        :param settings: the VM's settings, already validated.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """
        Register the message handlers, and start to remove expired records periodically.

        Expired are the sessions and endpoints that have not been renewed or announced in time.
        """
        self.consensus = kernel.find("consensus")
        self.state = kernel.find("state")
        self._counters = kernel.find("counters")
        self.endpoints = KnownEndpoints(
            self.settings, self.state, self._counters, self.propose, self.mark_changed
        )
        context = LeaderContext(
            settings=self.settings,
            state=self.state,
            sessions=self.sessions,
            endpoints=self.endpoints,
            counters=self._counters,
            propose=self.propose,
            confirm_read=self.consensus.confirm_read,
            holds_lease=self.holds_lease,
            agreed_wall_s=self.agreed_wall_s,
            led_since=lambda: self.led_since,
            view_revision=lambda: (self._term, self.full_revision.number),
            wait_until_applied=self._wait_until_applied,
        )
        self._cold_engines = ColdEngines(context)
        self.tables = RouteTables(context)
        self.evacuations = Evacuations(context)
        self.retirements = Retirements(context)
        self.suspects = CrashSuspects(context)
        self.state.subscribe(self.mark_changed)
        server = kernel.find("peer_server")
        server.register_handler(Renew, self.renew)
        on_leader = {
            Announce: self.endpoints.announce,
            Depart: self.endpoints.depart,
            ReplaceTable: self.tables.replace,
            ReadTable: self.tables.read,
            NameVersion: self.tables.name_version,
            Retire: self.retirements.retire,
            Evacuate: self.evacuations.evacuate,
            ReadEvacuations: self.evacuations.read,
            CountUsage: self.count_usage,
            ReportEnd: self.suspects.report_end,
            ClearSuspect: self.suspects.clear,
            StartTrial: self.suspects.start_trial,
            ReadSuspects: self.suspects.read,
        }
        for message_type, handler in on_leader.items():
            server.register_handler(message_type, self._leader_only(handler))
        self._sweep_timer = kernel.find("timer").subscribe("directory", SWEEP_S, self._sweep)

    async def stop(self) -> None:
        """Stop the periodic removal of expired sessions and endpoint records."""
        self._sweep_timer.cancel()

    def holds_lease(self) -> bool:
        """Whether this daemon is the leader, and its lease still excludes any other leader."""
        return self.consensus.is_leader and self.consensus.lease_left_s() > 0

    def not_leader(self) -> NotLeader:
        """
        Build the answer of a daemon that is not the leader, with the address of the last known
        leader.
        """
        return NotLeader(self.consensus.leader_hint)

    def mark_changed(self) -> None:
        """
        Increment the revisions of the views, so that waiting renewals are answered with the change.

        Engines start and end loads of weights several times a second, and only the jobs' dispatcher
        uses their weight versions and loads. Waiting renewals of entries, and of stores without a
        replica of the jobs' log, are therefore answered only when another part of the view changes.
        """
        self.full_revision.increment()
        key = self._entry_view_key()
        if key != self._last_entry_view_key:
            self._last_entry_view_key = key
            self.entry_revision.increment()

    def _entry_view_key(self) -> tuple[Any, ...]:
        now = boot_now()
        leader = self.sessions.job_leader(now)
        records = (received.record for received in self.endpoints.table.records())
        return (
            self._term,
            self.state.table_version,
            tuple(
                (
                    record.endpoint,
                    record.incarnation,
                    record.state,
                    record.address,
                    record.cold_s > 0,
                )
                for record in records
            ),
            self.endpoints.is_learning(now),
            self.sessions.members(now, "store"),
            _address_of(leader),
            self.state.job_group,
            self._controls(),
            self.state.evacuation_change,
            self.state.suspects.change,
        )

    def _controls(self) -> tuple[str, ...]:
        return tuple(voter.daemon for voter in self.consensus.core.members.voters)

    def _revision_for(self, renew: Renew) -> Revision:
        return self.full_revision if _gets_full_view(renew) else self.entry_revision

    def _leader_only(self, handler: Any) -> Any:
        async def answer(message: Any) -> Any:
            if not self.holds_lease():
                return self.not_leader()
            self.start_term()
            return await handler(message)

        return answer

    def start_term(self) -> None:
        """
        Clear the state that is not replicated, if this daemon was elected since the last call.

        The state is rebuilt from the renewals and announcements that arrive in the new term.
        """
        if self._term == self.consensus.term:
            return
        self._term = self.consensus.term
        self.led_since = boot_now()
        self.sessions.clear()
        self.usage_counts.clear()
        self.version_lags.clear()
        self.endpoints.start_term(self.led_since)
        self._cold_engines.start_term(self.led_since)
        self.suspects.start_term(self.led_since)
        self.mark_changed()
        eliot.log_message("directory:leads", term=self._term, daemon=self.settings.daemon)

    async def _sweep(self, now: float) -> None:
        if not self.holds_lease():
            return
        self.start_term()
        self.sessions.remove_expired(now)
        self.endpoints.expire(now)
        leader = self.sessions.job_leader(now)
        sweep_state = (
            self.sessions.members(now, "store"),
            _address_of(leader),
            self.endpoints.is_learning(now),
        )
        if sweep_state != self._last_sweep_state or self.endpoints.table.changed:
            self._last_sweep_state = sweep_state
            self.endpoints.table.changed.clear()
            self.mark_changed()

    def own_wall_s(self) -> float:
        """This VM's own wall clock in seconds since 1970; it may be wrong by seconds."""
        return wall_now()

    def agreed_wall_s(self) -> float:
        """The wall-clock time that most daemons agree on, in seconds since 1970."""
        now = boot_now()
        return now + self.sessions.wall_offset_s(now, wall_now() - now)

    async def renew(self, renew: Renew) -> Any:
        """
        Record a daemon's renewal and answer with the newest directory view.

        If the daemon already holds this view, wait up to the renewal's `hold_s` seconds for a
        change.
        """
        if not self.holds_lease():
            return self.not_leader()
        self.start_term()
        epoch = self._term
        leader_before = self.sessions.job_leader(boot_now())
        if self.sessions.record(renew, boot_now()):
            eliot.log_message("directory:daemon", daemon=renew.daemon, role=renew.role)
        self.usage_counts.merge(renew, self.state.closed_window)
        self.version_lags.update(renew.allowed, self.state.version_by_model)
        leader_now = self.sessions.job_leader(boot_now())
        if leader_now is not None and leader_now.renew.address != _address_of(leader_before):
            self.mark_changed()
        same_epoch_and_table = (
            renew.epoch == epoch and renew.table_version == self.state.table_version
        )

        revision = self._revision_for(renew)

        def has_update() -> bool:
            return not same_epoch_and_table or revision.number > renew.revision

        if not has_update():
            # While a daemon's renewal waits here, its session is active, and it uses the version of
            # the route table that the renewal contains.
            await revision.wait(renew.hold_s, has_update)
        if not self.holds_lease() or self._term != epoch:
            return self.not_leader()
        if renew.role == CONTROL or not has_update():
            return Unchanged(
                self.agreed_wall_s(),
                self.state.closed_window,
                self._cold_engines.shares_for(renew, boot_now()),
            )
        return self._build_view(renew)

    async def count_usage(self, message: CountUsage) -> UsageCounted:
        """
        Record usage counts that an entry sends between two renewals.

        If the entry fails, only the counts since its last message are lost.

        :return: the seconds that the entry is to wait before its next message with counts.
        """
        self.usage_counts.merge(message, self.state.closed_window)
        entries = len(self.sessions.active(boot_now(), ENTRY))
        return UsageCounted(entries / USAGE_MESSAGES_PER_S)

    def _build_view(self, renew: Renew) -> View:
        now = boot_now()
        state = self.state
        leader = self.sessions.job_leader(now)
        lacks_table = renew.table_version != state.table_version
        is_full = _gets_full_view(renew)
        return View(
            epoch=self._term,
            revision=self._revision_for(renew).number,
            table=state.table if lacks_table else None,
            table_version=state.table_version,
            endpoints=self.endpoints.records_with_ages(now, with_versions=is_full),
            learning=self.endpoints.is_learning(now),
            version_by_model=dict(state.version_by_model) if is_full else {},
            loading=tuple(sorted(self.endpoints.loading)) if is_full else (),
            stores=self.sessions.members(now, "store"),
            job_leader=_address_of(leader),
            job_group=state.job_group,
            controls=self._controls(),
            wall_s=self.agreed_wall_s(),
            closed_window=state.closed_window,
            retiring=state.retiring,
            evacuated=state.evacuated,
            evacuation_change=state.evacuation_change,
            cold_shares=self._cold_engines.shares_for(renew, now),
            suspects=self.state.suspects.summaries(),
            suspect_change=self.state.suspects.change,
        )

    async def propose(self, command: Any) -> Committed | Refusal:
        """Commit a command to the directory's log; a Refusal where it may not be committed."""
        return await self.consensus.propose(COMMANDS.encode(command))

    async def _wait_until_applied(self, is_applied: Callable[[float], bool]) -> bool:
        """
        Wait until all active daemons hold a change, as their renewals show.

        A newly elected leader has no sessions yet and would confirm a change that no daemon has
        received, so it first waits SESSION_ACTIVE_S seconds for the daemons' renewals.

        :param is_applied: whether no active session lacks the change; its argument is the time in
            seconds on this leader's boot clock.
        :return: True once all hold the change; False where MAX_CHANGE_WAIT_S seconds passed or this
            daemon is no longer the leader.
        """

        def is_confirmed() -> bool:
            now = boot_now()
            return now > self.led_since + SESSION_ACTIVE_S and is_applied(now)

        end_s = boot_now() + MAX_CHANGE_WAIT_S
        while not is_confirmed():
            if boot_now() > end_s or not self.holds_lease():
                return False
            await self.full_revision.wait(0.05, is_confirmed)
        return True


def _gets_full_view(renew: Renew) -> bool:
    """
    Whether a daemon holds a replica of the jobs' log.

    Such a daemon may become the leader of this log, whose dispatcher needs the engines' weight
    versions and current loads of weights.
    """
    return renew.member is not None and not renew.member.empty


def _address_of(session: Session | None) -> str:
    return session.renew.address if session is not None else ""


__all__ = ["Directory"]
