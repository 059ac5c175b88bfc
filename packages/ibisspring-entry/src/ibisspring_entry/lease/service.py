"""The service `lease`: renews the lease and hands its view to the entry's parts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.incarnation import this_incarnation
from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.commands import DaemonStarted
from ibisspring_core.messages.views import EntryView
from ibisspring_core.pb import control_pb2
from ibisspring_entry.lease.holding import Holding

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.rules import Rules
    from ibisspring_core.settings import Settings

    RulesCallback = Callable[[Rules, Rules], None]

WATCH_EVERY_S = 0.25


class Lease:
    """The entry's permission to serve, and what it serves by."""

    name = "lease"

    def __init__(self, daemon: str, data_centre: str, peer_address: str, every_s: float) -> None:
        self.incarnation = this_incarnation()
        self._daemon = daemon
        self._data_centre = data_centre
        self._peer_address = peer_address
        self._every_s = every_s
        self._holding = Holding()
        self._lapse_told = True
        self._start_told = False
        self._on_rules: list[RulesCallback] = []
        self._task: asyncio.Task[None] | None = None
        self._telling: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> Lease:
        """
        Build the service.

        :param settings: checked settings of the entry role.
        :return: the service, without a lease.
        """
        entry = settings.entry
        peer_address = entry.advertise_peer or entry.listen_peer
        return cls(settings.daemon, settings.data_centre, peer_address, entry.renew_every_s)

    async def start(self, kernel: Kernel) -> None:
        """Begin to renew."""
        self._client = kernel.find("control_client")
        self._counters = kernel.find("counters")
        self._kernel = kernel
        kernel.find("timer").subscribe("lease_watch", WATCH_EVERY_S, self._watch)
        self._task = asyncio.create_task(self._renew_for_ever(), name="lease")

    async def stop(self) -> None:
        """Stop renewing; the lease lapses by itself."""
        for task in (self._task, self._telling):
            if task is not None:
                task.cancel()

    def view(self) -> EntryView | Refusal:
        """
        Get the state to act on.

        :return: the view in force, or the refusal for callers while the lease is lapsed.
        """
        if self._holding.lapsed(boot_now()):
            return self._holding.refusal()
        return self._holding.view

    def rules(self) -> Rules | Refusal:
        """
        Get the rules in force.

        :return: the parsed rules, or the refusal while the lease is lapsed.
        """
        if self._holding.lapsed(boot_now()):
            return self._holding.refusal()
        return self._holding.rules

    def client_account_of(self, key: str) -> str | None:
        """
        Find the client account of a key under the rules in force.

        :param key: the key as the caller shows it.
        :return: its name; None for an unknown or withdrawn key, and while the lease is lapsed.
        """
        rules = self.rules()
        return None if isinstance(rules, Refusal) else rules.client_account_of(key)

    def subscribe(self, callback: RulesCallback) -> None:
        """
        Be told of new rules before anything is served by them.

        :param callback: called with the old and the new rules.
        """
        self._on_rules.append(callback)

    async def _renew_for_ever(self) -> None:
        while True:
            start = boot_now()
            try:
                changed = await self._renew()
            except Exception as error:
                eliot.log_message("lease:renewal_failed", error=repr(error))
                changed = False
            # The leader holds the answer while nothing changes, so it paces the renewals; and an
            # accepted change is answered only once this entry says that it acts on it.
            left_s = 0.0 if changed else self._every_s - (boot_now() - start)
            await asyncio.sleep(max(0.0, left_s))

    async def _renew(self) -> bool:
        """Renew once; True where the view changed."""
        registry = self._kernel.find_optional("registry")
        records, are_all = registry.pending_changes() if registry is not None else ((), False)
        disproofs = registry.pending_disproofs() if registry is not None else ()
        request = self._request(records, are_all)
        request.disproofs.extend(encode(disproof) for disproof in disproofs)
        sent_s = boot_now()
        reply = await self._client.renew(request)
        if isinstance(reply, Refusal):
            eliot.log_message("lease:not_renewed", reason=reply.reason.value, detail=reply.detail)
            return False
        changed = False
        if reply.view:
            view = decode(reply.view, EntryView)
            if not self._holding.accepts(view):
                eliot.log_message("lease:view_refused", index=view.index)
                return False
            changed = self._take(view, reply.peers_digest)
        self._holding.extend(sent_s, reply.lease_s)
        self._lapse_told = False
        if registry is not None:
            registry.changes_taken(records)
            registry.disproofs_taken(disproofs)
            if reply.want_all_endpoints:
                registry.want_all()
        self._tell_start()
        return changed

    def _request(self, records: tuple[Any, ...], are_all: bool) -> control_pb2.RenewRequest:
        view = self._holding.view
        return control_pb2.RenewRequest(
            daemon=self._daemon,
            incarnation=self.incarnation,
            data_centre=self._data_centre,
            peer_address=self._peer_address,
            view_index=view.index if view is not None else 0,
            rules_version=view.rules_version if view is not None else 0,
            endpoints=[encode(record) for record in records],
            endpoints_are_all=are_all,
            peers_digest=self._holding.peers_digest,
            hold_s=self._every_s,
        )

    def _take(self, view: EntryView, peers_digest: int) -> bool:
        old_rules = self._holding.rules
        old_index = self._holding.view.index if self._holding.view is not None else -1
        if self._holding.take(view, peers_digest):
            self._counters.add("lease.rules_changed")
            eliot.log_message("lease:rules_in_force", version=view.rules_version, index=view.index)
            for callback in self._on_rules:
                callback(old_rules, self._holding.rules)
        return view.index > old_index

    def _tell_start(self) -> None:
        """Commit this start, so that claims of an earlier one are not taken for running."""
        if self._start_told or (self._telling is not None and not self._telling.done()):
            return
        self._telling = asyncio.create_task(self._propose_start(), name="lease:start")

    async def _propose_start(self) -> None:
        started = DaemonStarted(self._daemon, self.incarnation)
        request_id = f"start-{self._daemon}-{self.incarnation}"
        result = await self._client.propose(started, request_id)
        self._start_told = not isinstance(result, Refusal)

    async def _watch(self, now: float) -> None:
        if self._lapse_told or not self._holding.lapsed(now):
            return
        self._lapse_told = True
        self._counters.add("lease.lapsed")
        eliot.log_message("lease:lapsed")


__all__ = ["Lease"]
