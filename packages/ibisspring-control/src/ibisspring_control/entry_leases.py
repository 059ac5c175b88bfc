"""
Leases of the entries, granted by the leader.

A lease lasts from the moment at which the entry sent its renewal. The leader grants it only after a
quorum confirmed, in a round begun after the renewal came in, that it leads; so every lease granted
by an old leader was sent for before the next leader rose, and a new leader that waits one lease
length knows that all of its predecessors' leases have lapsed.
"""

from __future__ import annotations

import asyncio
import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot
import xxhash

from ibisspring_control.endpoint_table import EndpointTable
from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.views import PeerRecord
from ibisspring_core.pb import control_pb2

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings import Settings

# Clocks of two VMs may run at rates that differ by some 100 ppm; one percent and a little is ample.
DRIFT = 1.01
MARGIN_S = 0.05
SWEEP_EVERY_S = 0.25
# Each entry is asked for all its endpoints at least this far apart, so that the cost does not grow
# with the number of entries.
ALL_ENDPOINTS_EVERY_S = 5.0
ALL_ENDPOINTS_SPACING_S = 1.0


@dataclass(frozen=True)
class EntryLease:
    """
    One start of an entry, as the leader knows it.

    :param view_index: index of the view that it acts on.
    :param lapses_s: boot-clock second at which its lease has lapsed for sure.
    :param asked_s: when it was last asked for all endpoints.
    """

    daemon: str
    incarnation: int
    data_centre: str
    peer_address: str
    view_index: int
    rules_version: int
    lapses_s: float
    asked_s: float = 0.0


class EntryLeases:
    """The service `entry_leases`."""

    name = "entry_leases"

    def __init__(self, lease_s: float, usage_window_s: float) -> None:
        self.lease_s = lease_s
        self.lease_by_start: dict[tuple[str, int], EntryLease] = {}
        self._usage_window_s = usage_window_s
        self._endpoints = EndpointTable()
        self._reign_term = 0
        self._reign_since_s = 0.0
        self._changed = asyncio.Event()
        self._confirming: asyncio.Task[int | Refusal] | None = None
        self._view_key: tuple[int, int] = (-1, 0)
        self._view_bytes = b""
        self._peers: dict[str, PeerRecord] = {}
        self._peers_digest = 0

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

    async def start(self, kernel: Kernel) -> None:
        """Find consensus and the state."""
        self._consensus = kernel.find("consensus")
        self._state = kernel.find("state")
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

        :param request: the entry's renewal.
        :return: the grant, with the view where the entry's is old.
        """
        received_s = boot_now()
        confirmed = await self._confirm_after_now()
        if isinstance(confirmed, Refusal) or not self._consensus.is_leader:
            return self._not_leader()
        self._note_reign()
        if request.view_index > self._state.view_index:
            return self._ahead(request)
        # Noted before the answer leaves: a lease that is granted but unknown here would let
        # `wait_in_force` answer while its entry still serves a withdrawn key.
        lease = self._note(request, received_s)
        want_all = lease.asked_s == received_s
        for data in request.endpoints:
            self._endpoints.merge(data, received_s)
        self._changed.set()
        return control_pb2.RenewReply(
            status=control_pb2.OK,
            lease_s=self.lease_s,
            view=self._view_for(request),
            want_all_endpoints=want_all,
            peers_digest=self._peers_digest,
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
            self._note_reign()
            now = boot_now()
            behind = [lease for lease in self.live() if lease.view_index < index]
            known_from_s = self._reign_since_s + self._longest_s()
            if not behind and now >= known_from_s:
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

    async def _confirm_after_now(self) -> int | Refusal:
        """Share one quorum round among all renewals that came in before it began."""
        if self._confirming is not None and not self._confirming.done():
            # This round began before the renewal came in, so it proves nothing about it.
            await asyncio.wait([self._confirming])
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.create_task(self._consensus.confirm_read())
        return await asyncio.shield(self._confirming)

    def _note_reign(self) -> None:
        term = self._consensus.term
        if term == self._reign_term:
            return
        self._reign_term = term
        self._reign_since_s = boot_now()
        self.lease_by_start.clear()
        self._endpoints.clear()
        self._update_peers()
        eliot.log_message("entry_leases:reign", term=term)

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

    def _view_for(self, request: control_pb2.RenewRequest) -> bytes:
        current = (self._state.view_index, self._peers_digest)
        if (request.view_index, request.peers_digest) == current:
            return b""
        if self._view_key != current:
            view = dataclasses.replace(
                self._state.entry_view(),
                peer_by_daemon=self._peers,
                usage_window_s=self._usage_window_s,
            )
            self._view_bytes = encode(view)
            self._view_key = current
        return self._view_bytes

    def _update_peers(self) -> None:
        peers: dict[str, PeerRecord] = {}
        for lease in self.live():
            peers[lease.daemon] = PeerRecord(
                lease.daemon, lease.incarnation, lease.data_centre, lease.peer_address
            )
        self._peers = peers
        self._peers_digest = xxhash.xxh3_64_intdigest(encode(list(peers.values())))

    async def _sweep(self, now: float) -> None:
        """Forget lapsed leases and endpoints that no entry speaks of any more."""
        lapsed = [start for start, lease in self.lease_by_start.items() if lease.lapses_s <= now]
        for start in lapsed:
            del self.lease_by_start[start]
        if lapsed:
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


__all__ = ["EntryLease", "EntryLeases"]
