"""The service `directory`: answers daemons, operators, trainers and endpoints on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now, wall_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.directory import (
    Announce,
    CountUsage,
    Depart,
    NameVersion,
    ReadTable,
    Renew,
    ReplaceTable,
    Retire,
    Retiring,
    TableRead,
    TableReplaced,
    Unchanged,
    UsageCounted,
    VersionNamed,
    View,
)
from ibisspring_core.settings.vm import CONTROL, ENTRY
from ibisspring_directory.commands import (
    COMMANDS,
    PutTable,
    PutVersion,
    RetireStore,
)
from ibisspring_directory.known_endpoints import KnownEndpoints
from ibisspring_directory.sessions import IN_TOUCH_S, Sessions
from ibisspring_directory.usage import WindowCounts
from ibisspring_directory.version_lags import VersionLags
from ibisspring_directory.views import Revision

if TYPE_CHECKING:
    from ibisspring_consensus.proposals import Committed
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_directory.sessions import Session

SWEEP_S = 0.2
# Operators wait this long at most for entries that renew and still lack the change: less than the
# time after which they would take the order for lost.
MAX_IN_FORCE_WAIT_S = 2.5
# A store that is frozen or started again is back within this time.
STORE_BACK_S = 4.0
# Revisions of views with weight versions and loads are above all others: a store that has just
# become a member of the jobs' log holds a lower one and is told at once.
LOADS_FROM = 1 << 32
# Messages of counts beside the renewals, from all entries together. Entries space theirs out, so
# that a large fleet costs the leader no more.
USAGE_MESSAGES_PER_S = 500


class Directory:
    """Volatile knowledge of the leader beside the replicated state."""

    name = "directory"

    def __init__(self, settings: VmSettings) -> None:
        self.settings = settings
        self.sessions = Sessions()
        self.revision = Revision(LOADS_FROM)
        self.entry_revision = Revision()
        self._entry_part: tuple[Any, ...] = ()
        self.counts = WindowCounts()
        self.lags = VersionLags()
        self.led_since = 0.0
        self._term = 0
        self._seen: tuple[Any, ...] = ()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Directory:
        """
        Build the service.

        :param settings: checked settings of a control VM.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Register what is answered here."""
        self.consensus = kernel.find("consensus")
        self.state = kernel.find("state")
        self._counters = kernel.find("counters")
        self.endpoints = KnownEndpoints(
            self.settings, self.state, self._counters, self.propose, self.rise
        )
        self.state.subscribe(self.rise)
        server = kernel.find("peer_server")
        server.answer(Renew, self.renew)
        on_leader = {
            Announce: self.endpoints.announce,
            Depart: self.endpoints.depart,
            ReplaceTable: self.replace_table,
            ReadTable: self.read_table,
            NameVersion: self.name_version,
            Retire: self.retire,
            CountUsage: self.count_usage,
        }
        for message_type, handler in on_leader.items():
            server.answer(message_type, self._only_leading(handler))
        self._sweeps = kernel.find("timer").subscribe("directory", SWEEP_S, self._sweep)

    async def stop(self) -> None:
        """End the sweeps."""
        self._sweeps.cancel()

    def leads(self) -> bool:
        """Whether this daemon surely is the directory's only leader."""
        return self.consensus.is_leader and self.consensus.lease_left_s() > 0

    def not_leader(self) -> NotLeader:
        """Whom to ask instead."""
        return NotLeader(self.consensus.leader_hint)

    def rise(self) -> None:
        """
        Let the daemons that wait know that something changed.

        Daemons are told only of what they use. Weight versions and loads change several times a
        second, and only the jobs' dispatcher asks for them: entries and stores that hold no replica
        of the jobs' log are not woken for these.
        """
        self.revision.rise()
        part = self._part_for_entries()
        if part != self._entry_part:
            self._entry_part = part
            self.entry_revision.rise()

    def _part_for_entries(self) -> tuple[Any, ...]:
        now = boot_now()
        leader = self.sessions.job_leader(now)
        records = (heard.record for heard in self.endpoints.table.heard())
        return (
            self._term,
            self.state.table_version,
            tuple((one.endpoint, one.incarnation, one.state, one.address) for one in records),
            self.endpoints.learning(now),
            self.sessions.members(now, "store"),
            _address_of(leader),
            self.state.job_group,
            self._controls(),
        )

    def _controls(self) -> tuple[str, ...]:
        return tuple(voter.daemon for voter in self.consensus.core.members.voters)

    def _revision_for(self, renew: Renew) -> Revision:
        return self.revision if _uses_loads(renew) else self.entry_revision

    def _only_leading(self, handler: Any) -> Any:
        async def answer(message: Any) -> Any:
            if not self.leads():
                return self.not_leader()
            self.begin_term()
            return await handler(message)

        return answer

    def begin_term(self) -> None:
        """Begin anew where this daemon leads under another term than before."""
        if self._term == self.consensus.term:
            return
        self._term = self.consensus.term
        self.led_since = boot_now()
        self.sessions.clear()
        self.counts.clear()
        self.lags.clear()
        self.endpoints.begin(self.led_since)
        self.rise()
        eliot.log_message("directory:leads", term=self._term, daemon=self.settings.daemon)

    async def _sweep(self, now: float) -> None:
        if not self.leads():
            return
        self.begin_term()
        self.sessions.forget(now)
        self.endpoints.expire(now)
        leader = self.sessions.job_leader(now)
        seen = (
            self.sessions.members(now, "store"),
            _address_of(leader),
            self.endpoints.learning(now),
        )
        if seen != self._seen or self.endpoints.table.changed:
            self._seen = seen
            self.endpoints.table.changed.clear()
            self.rise()

    def own_wall_s(self) -> float:
        """This VM's wall clock, which may be off."""
        return wall_now()

    def wall_s(self) -> float:
        """The time of day that most daemons agree on, in seconds since 1970."""
        now = boot_now()
        return now + self.sessions.wall_offset_s(now, wall_now() - now)

    async def renew(self, renew: Renew) -> Any:
        """Answer a daemon's renewal with what is new, waiting for it where nothing is."""
        if not self.leads():
            return self.not_leader()
        self.begin_term()
        epoch = self._term
        led_before = self.sessions.job_leader(boot_now())
        if self.sessions.take(renew, boot_now()):
            eliot.log_message("directory:daemon", daemon=renew.daemon, role=renew.role)
        self.counts.take(renew, self.state.closed_window)
        self.lags.take(renew.allowed, self.state.version_by_model)
        leads_now = self.sessions.job_leader(boot_now())
        if leads_now is not None and leads_now.renew.address != _address_of(led_before):
            self.rise()
        held = renew.epoch == epoch and renew.table_version == self.state.table_version

        revision = self._revision_for(renew)

        def is_new() -> bool:
            return not held or revision.number > renew.revision

        if not is_new():
            # A daemon that waits here is in touch, and all that it has is in force there.
            await revision.wait(renew.hold_s, is_new)
        if not self.leads() or self._term != epoch:
            return self.not_leader()
        if renew.role == CONTROL or not is_new():
            return Unchanged(self.wall_s(), self.state.closed_window)
        return self._view(renew)

    async def count_usage(self, message: CountUsage) -> UsageCounted:
        """Note an entry's counts at once, so that its end costs no more than the newest."""
        self.counts.take(message, self.state.closed_window)
        entries = len(self.sessions.in_touch(boot_now(), ENTRY))
        return UsageCounted(entries / USAGE_MESSAGES_PER_S)

    def _view(self, renew: Renew) -> View:
        now = boot_now()
        state = self.state
        leader = self.sessions.job_leader(now)
        lacks_table = renew.table_version != state.table_version
        loads = _uses_loads(renew)
        return View(
            epoch=self._term,
            revision=self._revision_for(renew).number,
            table=state.table if lacks_table else None,
            table_version=state.table_version,
            endpoints=self.endpoints.placed(now, with_versions=loads),
            learning=self.endpoints.learning(now),
            version_by_model=dict(state.version_by_model) if loads else {},
            loading=tuple(sorted(self.endpoints.loading)) if loads else (),
            stores=self.sessions.members(now, "store"),
            job_leader=_address_of(leader),
            job_group=state.job_group,
            controls=self._controls(),
            wall_s=self.wall_s(),
            closed_window=state.closed_window,
            retiring=state.retiring,
        )

    async def propose(self, command: Any) -> Committed | Refusal:
        """Commit a command of the directory."""
        return await self.consensus.propose(COMMANDS.encode(command))

    async def replace_table(self, message: ReplaceTable) -> Any:
        """Commit a route table and answer once it is in force at the entries in touch."""
        version = message.table.version
        if version > self.state.table_version:
            committed = await self.propose(PutTable(message.table, message.document))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("directory:table", version=version, routes=len(message.table.routes))
        if not await self._in_force(self.state.table_version):
            self._counters.add("directory.table_not_everywhere")
        if not self.leads():
            return Refusal(Reason.MAY_HAVE_RUN, False, None, "the leader changed")
        return TableReplaced(self.state.table_version)

    async def _in_force(self, version: int) -> bool:
        """
        Wait until no entry in touch serves by an older table.

        A leader that has just been elected knows no entry yet and would call a table in force that
        nobody has heard of, so it waits for their renewals first.
        """

        def everywhere() -> bool:
            now = boot_now()
            known = now > self.led_since + IN_TOUCH_S
            return known and not self.sessions.lacking(version, now)

        end_s = boot_now() + MAX_IN_FORCE_WAIT_S
        while not everywhere():
            if boot_now() > end_s or not self.leads():
                return False
            await self.revision.wait(0.05, everywhere)
        return True

    async def read_table(self, message: ReadTable) -> Any:
        """Read the newest table once a quorum confirmed that none is newer."""
        confirmed = await self.consensus.confirm_read()
        if isinstance(confirmed, Refusal):
            return confirmed
        return TableRead(self.state.table_version, self.state.document)

    async def name_version(self, message: NameVersion) -> Any:
        """Record a version that a trainer named."""
        if message.version > self.state.version_by_model.get(message.model, 0):
            committed = await self.propose(PutVersion(message.model, message.version))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("directory:version", model=message.model, version=message.version)
        return VersionNamed()

    async def retire(self, message: Retire) -> Any:
        """Begin to empty a store, or tell how far it is."""
        now = boot_now()
        address = self.sessions.address_of(message.daemon)
        leader = self.sessions.job_leader(now)
        if address is None and now < self.led_since + STORE_BACK_S:
            return Refusal(Reason.NO_LEADER, True, IN_TOUCH_S, "a new leader knows no store yet")
        if address is None:
            return Retiring("unknown")
        if message.begin and address not in self.state.retiring:
            refused = self._refused_retirement(address, now)
            if refused is not None:
                return refused
            committed = await self.propose(RetireStore(address))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("directory:retire", daemon=message.daemon, address=address)
        if address not in self.state.retiring or leader is None:
            return Retiring("active")
        return Retiring("active" if address in leader.renew.job_members else "completed")

    def _refused_retirement(self, address: str, now: float) -> Retiring | Refusal | None:
        """
        Tell why a store can't be emptied now.

        Too few stores is a final answer, so that a store which is silent for a moment doesn't lead
        to it: the operator asks again instead.
        """
        needed = 2 * self.settings.losses + 1
        in_touch = self._stores_left(address, now, IN_TOUCH_S)
        if in_touch >= needed:
            return None
        expected = self._stores_left(address, now, STORE_BACK_S)
        final = expected < needed and now >= self.led_since + IN_TOUCH_S
        eliot.log_message(
            "directory:retire_refused",
            address=address,
            in_touch=in_touch,
            expected=expected,
            needed=needed,
            reason="too_few" if final else "silent_stores",
        )
        if final:
            return Retiring("too_few")
        detail = f"{in_touch} other stores are in touch, {needed} are needed"
        return Refusal(Reason.NO_ENDPOINT, True, IN_TOUCH_S, detail)

    def _stores_left(self, address: str, now: float, within_s: float) -> int:
        """How many stores could hold the jobs' log without one of them."""
        stores = {member.address for member in self.sessions.members(now, "store", within_s)}
        return len(stores - {address} - set(self.state.retiring))


def _uses_loads(renew: Renew) -> bool:
    """Whether a daemon may lead the jobs' log, which is handed out by versions and loads."""
    return renew.member is not None and not renew.member.empty


def _address_of(session: Session | None) -> str:
    return session.renew.address if session is not None else ""


__all__ = ["Directory"]
