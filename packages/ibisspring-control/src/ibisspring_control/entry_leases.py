"""
Leases of the entries, granted by the leader.

A lease lasts from the moment at which the entry sent its renewal. The leader grants it only after a
quorum confirmed, in a round begun after the renewal came in, that it leads; so every lease granted
by an old leader was sent for before the next leader rose, and a new leader that waits one lease
length knows that all of its predecessors' leases have lapsed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_control.endpoint_table import EndpointTable
from ibisspring_control.entry_lease import EntryLease
from ibisspring_control.entry_views import EntryViews
from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.pb import control_pb2

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import Disproof, EndpointRecord
    from ibisspring_core.settings import Settings

# Clocks of two VMs may run at rates that differ by some 100 ppm; one percent and a little is ample.
DRIFT = 1.01
MARGIN_S = 0.05
SWEEP_EVERY_S = 0.25
# A held call must end long before a client takes its connection for silent.
MAX_HOLD_S = 5.0
HOLD_TICK_S = 0.25
# Each entry is asked for all its endpoints at least this far apart, so that the cost does not grow
# with the number of entries.
ALL_ENDPOINTS_EVERY_S = 5.0
ALL_ENDPOINTS_SPACING_S = 1.0


class EntryLeases:
    """The service `entry_leases`."""

    name = "entry_leases"

    def __init__(self, lease_s: float, usage_window_s: float) -> None:
        self.lease_s = lease_s
        self.lease_by_start: dict[tuple[str, int], EntryLease] = {}
        self._usage_window_s = usage_window_s
        self._endpoints = EndpointTable()
        self._leader_term = 0
        self._leader_since_s = 0.0
        self._changed = asyncio.Event()
        self._view_changed = asyncio.Event()
        self._confirming: asyncio.Task[int | Refusal] | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> EntryLeases:
        """
        Build the keeper of leases.

        :param settings: checked settings of the control role.
        :return: the service.
        """
        return cls(settings.control.entry_lease_s, settings.control.usage_window_s)

    @property
    def endpoint_by_id(self) -> dict[str, EndpointRecord]:
        """Endpoints that live entries know; only complete on the leader."""
        return self._endpoints.record_by_id

    def take_disproofs(self) -> tuple[Disproof, ...]:
        """Hand over what entries told of disproved announcements since the last call."""
        return self._endpoints.take_disproofs()

    async def start(self, kernel: Kernel) -> None:
        """Find consensus and the state."""
        self._consensus = kernel.find("consensus")
        self._state = kernel.find("state")
        self._views = EntryViews(self._state, self._usage_window_s)
        self._state.subscribe_view(self._tell_view_changed)
        kernel.find("timer").subscribe("entry_leases", SWEEP_EVERY_S, self._sweep)

    async def stop(self) -> None:
        """Nothing to stop."""

    def live(self) -> tuple[EntryLease, ...]:
        """
        Find the entries whose lease may be in force.

        :return: their leases, sorted by daemon.
        """
        now = boot_now()
        leases = [lease for lease in self.lease_by_start.values() if lease.lapses_s > now]
        return tuple(sorted(leases, key=lambda lease: (lease.daemon, lease.incarnation)))

    async def renew(self, request: control_pb2.RenewRequest) -> control_pb2.RenewReply:
        """
        Renew a lease, once a quorum confirmed this leader after the renewal came in.

        The answer is held for as long as the entry allows while nothing changes for it. Without the
        hold a change waits for each entry's next renewal.

        :param request: the entry's renewal.
        :return: the grant, with the view where the entry's is old.
        """
        if not self._consensus.is_leader:
            return self._not_leader()
        received_s = boot_now()
        self._note_leadership()
        # Noted before any answer leaves: a lease that is granted but unknown here would let
        # `wait_in_force` answer while its entry still serves a withdrawn key. Noted for nothing,
        # when the quorum then fails, it only makes that wait longer.
        lease = self._note(request, received_s)
        for data in request.endpoints:
            self._endpoints.merge(data, received_s)
        self._endpoints.note_disproofs(request.disproofs)
        self._changed.set()
        await self._hold(request, received_s)
        confirmed = await self._confirm_after_now()
        if isinstance(confirmed, Refusal) or not self._consensus.is_leader:
            return self._not_leader()
        if request.view_index > self._state.view_index:
            return self._ahead(request)
        return control_pb2.RenewReply(
            status=control_pb2.OK,
            lease_s=self.lease_s,
            view=b"" if self._views.is_current(request) else self._views.encoded(),
            want_all_endpoints=lease.asked_s == received_s,
            peers_digest=self._views.peers_digest,
        )

    async def wait_in_force(self, index: int, bound_s: float) -> int | Refusal:
        """
        Wait until no entry acts on a state older than an index.

        :param index: log index of the accepted change.
        :param bound_s: longest wait in seconds.
        :return: the index, or a refusal where it is not in force everywhere yet.
        """
        end = boot_now() + bound_s
        while True:
            if not self._consensus.is_leader:
                return Refusal(Reason.NO_LEADER, False, 0.0, "this replica stopped leading")
            self._note_leadership()
            now = boot_now()
            behind = [lease for lease in self.live() if lease.view_index < index]
            if not behind and now >= self._known_from_s():
                return index
            if now >= end:
                names = ", ".join(lease.daemon for lease in behind) or "entries of the last leader"
                return Refusal(Reason.IN_PROGRESS, False, 0.0, f"not yet in force on {names}")
            self._changed.clear()
            await self._wait_for_change(min(end - now, SWEEP_EVERY_S))

    async def _wait_for_change(self, bound_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), bound_s)
        except TimeoutError:
            return

    async def _hold(self, request: control_pb2.RenewRequest, received_s: float) -> None:
        """Keep an up-to-date entry waiting, so that a change reaches it at once."""
        end = hold_end_s(received_s, min(request.hold_s, MAX_HOLD_S, self.lease_s / 2))
        while self._views.is_current(request) and boot_now() < end:
            changed = self._view_changed
            try:
                await asyncio.wait_for(changed.wait(), end - boot_now())
            except TimeoutError:
                return

    def _tell_view_changed(self) -> None:
        """Wake all held renewals; each then waits for an event of its own time."""
        self._view_changed.set()
        self._view_changed = asyncio.Event()

    async def _confirm_after_now(self) -> int | Refusal:
        """Share one quorum round among all renewals that came in before it began."""
        if self._confirming is not None and not self._confirming.done():
            # This round began before the renewal came in, so it proves nothing about it.
            await asyncio.wait([self._confirming])
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.create_task(self._consensus.confirm_read())
        return await asyncio.shield(self._confirming)

    def _note_leadership(self) -> None:
        term = self._consensus.term
        if term == self._leader_term:
            return
        self._leader_term = term
        self._leader_since_s = boot_now()
        self.lease_by_start.clear()
        self._endpoints.clear()
        self._update_peers()
        eliot.log_message("entry_leases:leader", term=term)

    def _longest_s(self) -> float:
        return self.lease_s * DRIFT + MARGIN_S

    def _note(self, request: control_pb2.RenewRequest, received_s: float) -> EntryLease:
        start = (request.daemon, request.incarnation)
        known = self.lease_by_start.get(start)
        asked_s = known.asked_s if known is not None else 0.0
        lease = EntryLease(
            request.daemon,
            request.incarnation,
            request.data_centre,
            request.peer_address,
            request.view_index,
            request.rules_version,
            received_s + self._longest_s(),
            received_s if self._wants_all(asked_s, received_s) else asked_s,
        )
        self.lease_by_start[start] = lease
        if known is None or known.peer_address != lease.peer_address:
            self._update_peers()
        return lease

    def _wants_all(self, asked_s: float, now: float) -> bool:
        spacing_s = len(self.lease_by_start) * ALL_ENDPOINTS_SPACING_S
        return now - asked_s >= max(ALL_ENDPOINTS_EVERY_S, spacing_s)

    def _update_peers(self) -> None:
        self._views.set_peers(self.live(), boot_now() >= self._known_from_s())
        self._tell_view_changed()

    def _known_from_s(self) -> float:
        """From then on no entry can hold a lease of an earlier leader."""
        return self._leader_since_s + self._longest_s()

    async def _sweep(self, now: float) -> None:
        """Forget lapsed leases and endpoints that no entry speaks of any more."""
        # Without it leadership would count from the first renewal or apply: an apply to a system
        # without entries would wait a whole lease, however long the leader has led.
        if self._consensus.is_leader:
            self._note_leadership()
        lapsed = [start for start, lease in self.lease_by_start.items() if lease.lapses_s <= now]
        for start in lapsed:
            del self.lease_by_start[start]
        complete = now >= self._known_from_s()
        if lapsed or complete != self._views.peers_complete:
            self._update_peers()
        self._endpoints.sweep(now, len(self.lease_by_start))
        self._changed.set()

    def _ahead(self, request: control_pb2.RenewRequest) -> control_pb2.RenewReply:
        """
        Refuse an entry that acts on more than was ever committed here.

        It shows when control VMs were set up anew over a running system: granting the lease would
        take accepted configuration back.
        """
        detail = f"the entry acts on index {request.view_index}, this state ends before it"
        eliot.log_message("entry_leases:entry_ahead", daemon=request.daemon, detail=detail)
        return control_pb2.RenewReply(status=control_pb2.INVALID, detail=detail)

    def _not_leader(self) -> control_pb2.RenewReply:
        hint: Any = self._consensus.leader_hint
        return control_pb2.RenewReply(status=control_pb2.NOT_LEADER, leader_hint=hint or "")


def hold_end_s(received_s: float, longest_s: float) -> float:
    """
    Find when a held renewal is answered at the latest.

    Holds end at common ticks: the answers of all entries then share one quorum round, and the
    rounds a second do not grow with the number of entries.

    :param received_s: boot-clock second at which the renewal came in.
    :param longest_s: longest hold that is allowed.
    :return: boot-clock second.
    """
    return (received_s + longest_s) // HOLD_TICK_S * HOLD_TICK_S


__all__ = ["EntryLease", "EntryLeases", "hold_end_s"]
