"""The service `lease`: renews the entry's lease and provides the leader's view and rules."""

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
from ibisspring_entry.lease.holding import LeaseState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.rules import Rules
    from ibisspring_core.settings import Settings

    RulesCallback = Callable[[Rules, Rules], None]

WATCH_EVERY_S = 0.25
"""Seconds between two checks whether the lease has lapsed."""


class Lease:
    """
    The entry's permission to serve callers, which the control leader grants for some seconds.

    Each renewal may return a new view (rules, peers and draining endpoints) to apply.
    """

    name = "lease"

    def __init__(
        self, daemon: str, data_centre: str, peer_address: str, renew_every_s: float
    ) -> None:
        self.incarnation = this_incarnation()
        self._daemon = daemon
        self._data_centre = data_centre
        self._peer_address = peer_address
        self._renew_every_s = renew_every_s
        self._state = LeaseState()
        self._lapse_reported = True
        self._start_committed = False
        self._rules_callbacks: list[RulesCallback] = []
        self._renewal_task: asyncio.Task[None] | None = None
        self._start_task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> Lease:
        """
        Build the service from the daemon's settings; no lease is held yet.

        :param settings: validated settings of a daemon with the entry role.
        """
        entry = settings.entry
        peer_address = entry.advertise_peer or entry.listen_peer
        return cls(settings.daemon, settings.data_centre, peer_address, entry.renew_every_s)

    async def start(self, kernel: Kernel) -> None:
        """
        Start the task that renews the lease.

        :param kernel: registry in which the daemon's services find each other.
        """
        self._client = kernel.find("control_client")
        self._counters = kernel.find("counters")
        self._kernel = kernel
        kernel.find("timer").subscribe("lease_watch", WATCH_EVERY_S, self._report_lapse)
        self._renewal_task = asyncio.create_task(self._renew_periodically(), name="lease")

    async def stop(self) -> None:
        """Stop renewing; the lease lapses when its time has passed."""
        for task in (self._renewal_task, self._start_task):
            if task is not None:
                task.cancel()

    def view(self) -> EntryView | Refusal:
        """
        Get the control leader's view that is in force.

        :return: the view, or the refusal for callers while the lease is lapsed.
        """
        if self._state.lapsed(boot_now()):
            return self._state.refusal()
        return self._state.view

    def rules(self) -> Rules | Refusal:
        """
        Get the operator's rules that are in force.

        :return: the parsed rules, or the refusal for callers while the lease is lapsed.
        """
        if self._state.lapsed(boot_now()):
            return self._state.refusal()
        return self._state.rules

    def client_account_of(self, key: str) -> str | None:
        """
        Find the client account of a key under the rules in force.

        :param key: the API key as the caller sent it.
        :return: the account's name; None for an unknown or withdrawn key, and while the lease is
            lapsed.
        """
        rules = self.rules()
        return None if isinstance(rules, Refusal) else rules.client_account_of(key)

    def subscribe(self, callback: RulesCallback) -> None:
        """
        Register a callback for changed rules.

        :param callback: called with the old and the new rules, before any request is served under
            the new rules.
        """
        self._rules_callbacks.append(callback)

    async def _renew_periodically(self) -> None:
        while True:
            start = boot_now()
            try:
                changed = await self._renew()
            except Exception as error:
                eliot.log_message("lease:renewal_failed", error=repr(error))
                changed = False
            # The leader delays its reply until something changes, up to `hold_s`, which paces the
            # renewals. After a change this entry renews at once, because the leader reports an
            # accepted change as in force only after the entry's renewal confirms the new view.
            left_s = 0.0 if changed else self._renew_every_s - (boot_now() - start)
            await asyncio.sleep(max(0.0, left_s))

    async def _renew(self) -> bool:
        """Renew the lease once; return True if the reply contained a newer view."""
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
            if not self._state.accepts(view):
                eliot.log_message("lease:view_refused", index=view.index)
                return False
            changed = self._apply(view, reply.peers_digest)
        self._state.extend(sent_s, reply.lease_s)
        self._lapse_reported = False
        if registry is not None:
            registry.changes_acknowledged(records)
            registry.disproofs_acknowledged(disproofs)
            if reply.want_all_endpoints:
                registry.mark_all_pending()
        self._commit_start()
        return changed

    def _request(self, records: tuple[Any, ...], are_all: bool) -> control_pb2.RenewRequest:
        view = self._state.view
        return control_pb2.RenewRequest(
            daemon=self._daemon,
            incarnation=self.incarnation,
            data_centre=self._data_centre,
            peer_address=self._peer_address,
            view_index=view.index if view is not None else 0,
            rules_version=view.rules_version if view is not None else 0,
            endpoints=[encode(record) for record in records],
            endpoints_are_all=are_all,
            peers_digest=self._state.peers_digest,
            hold_s=self._renew_every_s,
        )

    def _apply(self, view: EntryView, peers_digest: int) -> bool:
        old_rules = self._state.rules
        old_index = self._state.view.index if self._state.view is not None else -1
        if self._state.apply(view, peers_digest):
            self._counters.add("lease.rules_changed")
            eliot.log_message("lease:rules_in_force", version=view.rules_version, index=view.index)
            for callback in self._rules_callbacks:
                callback(old_rules, self._state.rules)
        return view.index > old_index

    def _commit_start(self) -> None:
        """
        Commit this start of the daemon once.

        After that, claims of an earlier start no longer count as running.
        """
        if self._start_committed or (self._start_task is not None and not self._start_task.done()):
            return
        self._start_task = asyncio.create_task(self._propose_start(), name="lease:start")

    async def _propose_start(self) -> None:
        started = DaemonStarted(self._daemon, self.incarnation)
        request_id = f"start-{self._daemon}-{self.incarnation}"
        result = await self._client.propose(started, request_id)
        self._start_committed = not isinstance(result, Refusal)

    async def _report_lapse(self, now: float) -> None:
        if self._lapse_reported or not self._state.lapsed(now):
            return
        self._lapse_reported = True
        self._counters.add("lease.lapsed")
        eliot.log_message("lease:lapsed")


__all__ = ["Lease"]
