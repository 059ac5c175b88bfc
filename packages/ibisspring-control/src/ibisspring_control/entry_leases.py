"""
Leases of the entries, granted by the leader.

While an entry holds a lease, it may serve callers by the view (rules, weight versions and drains)
that the leader sent to it. A lease starts when the entry sends its renewal. The leader grants the
lease only after a quorum has confirmed its leadership in a round that began after the renewal was
received. The renewal of every lease that an old leader granted was therefore sent before the next
leader was elected. A new leader that waits for the length of one lease knows that all leases of
earlier leaders have lapsed.
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

# The leader counts a lease as in force for its length times CLOCK_DRIFT_FACTOR plus LEASE_MARGIN_S
# (seconds), since the entry's clock may be slower than the leader's. The clock rates of two VMs may
# differ by about 100 ppm; one percent and LEASE_MARGIN_S is ample.
CLOCK_DRIFT_FACTOR = 1.01
LEASE_MARGIN_S = 0.05
# Seconds between two removals of lapsed leases and of endpoints that no entry reports.
SWEEP_EVERY_S = 0.25
# Maximum seconds for which the answer to a renewal is held. The call must end long before the
# client treats its connection as unresponsive.
MAX_HOLD_S = 5.0
# Holds end at multiples of this many seconds, see `hold_end_s`.
HOLD_TICK_S = 0.25
# Minimum seconds between two requests to one entry to send all its endpoints:
# ALL_ENDPOINTS_EVERY_S, or ALL_ENDPOINTS_SPACING_S per entry if that is longer. The number of such
# requests per second then does not grow with the number of entries.
ALL_ENDPOINTS_EVERY_S = 5.0
ALL_ENDPOINTS_SPACING_S = 1.0


class EntryLeases:
    """The service `entry_leases`: grants leases to entries and merges the endpoints they report."""

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
        Build the lease service of a control daemon from the daemon's settings.

        :param settings: checked settings of the control role.
        """
        return cls(settings.control.entry_lease_s, settings.control.usage_window_s)

    @property
    def endpoint_by_id(self) -> dict[str, EndpointRecord]:
        """Endpoints that live entries reported, by id; complete on the leader only."""
        return self._endpoints.record_by_id

    def pop_disproofs(self) -> tuple[Disproof, ...]:
        """Return and remove the disproofs that entries reported since the last call."""
        return self._endpoints.pop_disproofs()

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to changes of the replicated view and start the periodic removal of leases."""
        self._consensus = kernel.find("consensus")
        self._state = kernel.find("state")
        self._views = EntryViews(self._state, self._usage_window_s)
        self._state.subscribe_view(self._notify_view_changed)
        kernel.find("timer").subscribe("entry_leases", SWEEP_EVERY_S, self._sweep)

    async def stop(self) -> None:
        """No-op: the periodic removal of lapsed leases ends when the service `timer` stops."""

    def live_leases(self) -> tuple[EntryLease, ...]:
        """
        Return the leases that may still be in force on this replica's clock.

        :return: the recorded leases that have not lapsed, sorted by daemon and incarnation.
        """
        now = boot_now()
        leases = [lease for lease in self.lease_by_start.values() if lease.lapses_s > now]
        return tuple(sorted(leases, key=lambda lease: (lease.daemon, lease.incarnation)))

    async def renew(self, request: control_pb2.RenewRequest) -> control_pb2.RenewReply:
        """
        Renew an entry's lease after a quorum confirmed the leadership of this replica.

        The answer is held for at most `hold_s` while the entry's view is current. Without the hold,
        a change would reach an entry only at its next renewal.

        :param request: renewal with the index of the entry's view and the endpoints it reports.
        :return: the granted lease, with the newest view if the entry's view is outdated;
            `NOT_LEADER` if this replica is not the leader, `INVALID` if the entry's view has a
            higher index than this state.
        """
        if not self._consensus.is_leader:
            return self._not_leader()
        received_s = boot_now()
        self._update_leadership()
        # The lease is recorded before any answer is sent. If a granted lease were not recorded,
        # `wait_in_force` could return while its entry still accepts a withdrawn key. If the quorum
        # does not confirm the leadership, the recorded lease only makes `wait_in_force` longer.
        lease = self._record_renewal(request, received_s)
        for data in request.endpoints:
            self._endpoints.merge(data, received_s)
        self._endpoints.record_disproofs(request.disproofs)
        self._changed.set()
        await self._hold(request, received_s)
        confirmed = await self._confirm_after_now()
        if isinstance(confirmed, Refusal) or not self._consensus.is_leader:
            return self._not_leader()
        if request.view_index > self._state.view_index:
            return self._refuse_ahead(request)
        return control_pb2.RenewReply(
            status=control_pb2.OK,
            lease_s=self.lease_s,
            view=b"" if self._views.is_current(request) else self._views.encoded(),
            want_all_endpoints=lease.all_requested_s == received_s,
            peers_digest=self._views.peers_digest,
        )

    async def wait_in_force(self, index: int, wait_limit_s: float) -> int | Refusal:
        """
        Wait until every entry that may hold a lease acts on a view of at least a given log index.

        :param index: log index of the accepted change.
        :param wait_limit_s: time limit of the wait in seconds.
        :return: `index`, or a refusal: `IN_PROGRESS` after the time limit, `NO_LEADER` if this
            replica is no longer the leader.
        """
        end = boot_now() + wait_limit_s
        while True:
            if not self._consensus.is_leader:
                return Refusal(Reason.NO_LEADER, False, 0.0, "this replica is no longer the leader")
            self._update_leadership()
            now = boot_now()
            outdated = [lease for lease in self.live_leases() if lease.view_index < index]
            if not outdated and now >= self._predecessors_lapsed_s():
                return index
            if now >= end:
                names = (
                    ", ".join(lease.daemon for lease in outdated)
                    or "entries of the previous leader"
                )
                return Refusal(Reason.IN_PROGRESS, False, 0.0, f"not yet in force on {names}")
            self._changed.clear()
            await self._wait_for_change(min(end - now, SWEEP_EVERY_S))

    async def _wait_for_change(self, wait_limit_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), wait_limit_s)
        except TimeoutError:
            return

    async def _hold(self, request: control_pb2.RenewRequest, received_s: float) -> None:
        """Wait, at most for the hold time, while the entry's view is the newest one."""
        end = hold_end_s(received_s, min(request.hold_s, MAX_HOLD_S, self.lease_s / 2))
        while self._views.is_current(request) and boot_now() < end:
            changed = self._view_changed
            try:
                await asyncio.wait_for(changed.wait(), end - boot_now())
            except TimeoutError:
                return

    def _notify_view_changed(self) -> None:
        """Let all held renewals be answered; later ones wait for the next change of the view."""
        self._view_changed.set()
        self._view_changed = asyncio.Event()

    async def _confirm_after_now(self) -> int | Refusal:
        """Confirm the leadership in one quorum round for all renewals received before the round."""
        if self._confirming is not None and not self._confirming.done():
            # The quorum round in progress began before the renewal was received, so it does not
            # confirm that this replica was the leader when the renewal was received.
            await asyncio.wait([self._confirming])
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.create_task(self._consensus.confirm_read())
        return await asyncio.shield(self._confirming)

    def _update_leadership(self) -> None:
        term = self._consensus.term
        if term == self._leader_term:
            return
        self._leader_term = term
        self._leader_since_s = boot_now()
        self.lease_by_start.clear()
        self._endpoints.clear()
        self._update_peers()
        eliot.log_message("entry_leases:leader", term=term)

    def _max_lease_s(self) -> float:
        return self.lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S

    def _record_renewal(self, request: control_pb2.RenewRequest, received_s: float) -> EntryLease:
        start = (request.daemon, request.incarnation)
        known = self.lease_by_start.get(start)
        all_requested_s = known.all_requested_s if known is not None else 0.0
        lease = EntryLease(
            request.daemon,
            request.incarnation,
            request.data_centre,
            request.peer_address,
            request.view_index,
            request.rules_version,
            received_s + self._max_lease_s(),
            received_s if self._all_endpoints_due(all_requested_s, received_s) else all_requested_s,
        )
        self.lease_by_start[start] = lease
        if known is None or known.peer_address != lease.peer_address:
            self._update_peers()
        return lease

    def _all_endpoints_due(self, all_requested_s: float, now: float) -> bool:
        spacing_s = len(self.lease_by_start) * ALL_ENDPOINTS_SPACING_S
        return now - all_requested_s >= max(ALL_ENDPOINTS_EVERY_S, spacing_s)

    def _update_peers(self) -> None:
        self._views.set_peers(self.live_leases(), boot_now() >= self._predecessors_lapsed_s())
        self._notify_view_changed()

    def _predecessors_lapsed_s(self) -> float:
        """Return the boot-clock seconds from which all leases of earlier leaders have lapsed."""
        return self._leader_since_s + self._max_lease_s()

    async def _sweep(self, now: float) -> None:
        """Remove lapsed leases, and endpoints that no entry has reported for the removal time."""
        # Without this update, the start of the leadership would be recorded only at the first
        # renewal or apply. In a system without entries, an apply would then wait for the length of
        # a complete lease, even on a leader that was elected long before.
        if self._consensus.is_leader:
            self._update_leadership()
        lapsed = [start for start, lease in self.lease_by_start.items() if lease.lapses_s <= now]
        for start in lapsed:
            del self.lease_by_start[start]
        complete = now >= self._predecessors_lapsed_s()
        if lapsed or complete != self._views.peers_complete:
            self._update_peers()
        self._endpoints.sweep(now, len(self.lease_by_start))
        self._changed.set()

    def _refuse_ahead(self, request: control_pb2.RenewRequest) -> control_pb2.RenewReply:
        """
        Refuse an entry whose view has a higher log index than this replica's state.

        An entry has such a view if control VMs were set up again, without their data, in a running
        system. With a granted lease, the entry would revert to this older state and lose
        configuration that operators had applied.
        """
        detail = f"the entry acts on index {request.view_index}, which this state does not have"
        eliot.log_message("entry_leases:entry_ahead", daemon=request.daemon, detail=detail)
        return control_pb2.RenewReply(status=control_pb2.INVALID, detail=detail)

    def _not_leader(self) -> control_pb2.RenewReply:
        hint: Any = self._consensus.leader_hint
        return control_pb2.RenewReply(status=control_pb2.NOT_LEADER, leader_hint=hint or "")


def hold_end_s(received_s: float, max_hold_s: float) -> float:
    """
    Return the time at which a held renewal is answered at the latest.

    The time is a multiple of HOLD_TICK_S, so many renewals are answered at the same time after one
    shared quorum round. The number of rounds per second then does not grow with the number of
    entries.

    :param received_s: boot-clock seconds at which the renewal was received.
    :param max_hold_s: maximum time in seconds for which the renewal may be held.
    :return: boot-clock seconds.
    """
    return (received_s + max_hold_s) // HOLD_TICK_S * HOLD_TICK_S


__all__ = ["EntryLease", "EntryLeases", "hold_end_s"]
