"""The service `directory_view`: this daemon's copy of the directory, sent by its leader."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import PROCESS_STARTED_S, boot_now, wall_now
from ibisspring_core.endpoint_table import SERVING, EndpointTable
from ibisspring_core.errors import Refusal
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.directory import CountUsage, Renew, Unchanged, UsageCount, View
from ibisspring_core.routes.index import RouteIndex

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings.vm import VmSettings

# Long-poll time of a renewal: seconds after which the leader answers if there is no change; on a
# change it answers earlier. With a longer time the leader would treat the daemon as unreachable;
# with a shorter time the renewals of hundreds of daemons would cost the leader more CPU time.
HOLD_S = 0.4
CALL_TIMEOUT_S = 1.0
RENEW_TIMEOUT_S = 3.0
# Seconds without a successful renewal after which an entry rejects all requests, as keys may have
# been withdrawn in the meantime. This is far longer than an election, so that the loss of control
# VMs does not interrupt service.
SERVE_WITHOUT_CONTROL_S = 20.0
KEEP_ENDPOINTS_S = 3600.0
# Seconds from a daemon's start until it receives its first route table when all processes restart
# together: one election timeout with its random part, then the first renewals.
TABLE_EXPECTED_S = 1.15
MIN_RETRY_AFTER_S = 0.3

UsageSource = Callable[[int], tuple[UsageCount, ...]]
CompleteRenewal = Callable[[Renew], Renew]


class DirectoryView:
    """Renews this daemon's directory view continuously and notifies subscribers of changes."""

    name = "directory_view"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._on_change: list[Callable[[], None]] = []
        self._usage_source: UsageSource = lambda closed: ()
        self._complete_renewal: CompleteRenewal = lambda renew: renew
        self._renewed_at: float | None = None
        self._wall_offset_s = wall_now() - boot_now()
        self.view = View(0, 0)
        self.index: RouteIndex | None = None
        self.endpoints = EndpointTable(KEEP_ENDPOINTS_S)
        self._cold_until_by_endpoint: dict[str, float] = {}
        self._cold_shares: dict[str, int] = {}
        self._cold_shares_asked_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: VmSettings) -> DirectoryView:
        """
        Build the service for one daemon.

        :param settings: checked settings of an entry or a store; its address, name, data centre and
            role are sent with each renewal.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start the task that renews the view."""
        self._counters = kernel.find("counters")
        self._current_settings = kernel.find("current_settings")
        self._leader = LeaderClient(kernel.find("peer_client"), self._addresses)
        self._usage_leader = LeaderClient(kernel.find("peer_client"), self._addresses)
        self._other_calls_leader = LeaderClient(kernel.find("peer_client"), self._addresses)
        self._task = asyncio.create_task(self._run(), name="directory_view")

    async def stop(self) -> None:
        """Cancel the task that renews the view."""
        if self._task is not None:
            self._task.cancel()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs after each change of the view."""
        self._on_change.append(callback)

    def set_usage_source(self, source: UsageSource) -> None:
        """
        Set the source of the usage counts that are sent with each renewal.

        :param source: called with the number of the newest closed usage window; returns the counts
            of later usage windows.
        """
        self._usage_source = source

    async def send_usage_now(self) -> Any:
        """
        Send the usage counts to the leader immediately, outside of the renewals.

        :return: `UsageCounted`, or a `Refusal`.
        """
        usage = self._usage_source(self.view.closed_window)
        message = CountUsage(self._settings.peer_address, self._incarnation, usage)
        return await self._usage_leader.call(message, CALL_TIMEOUT_S, CALL_TIMEOUT_S)

    async def call_leader(self, message: Any, timeout_s: float) -> Any:
        """
        Call the directory's leader outside of the renewals.

        :param message: an idempotent message.
        :param timeout_s: time limit of all tries together, in seconds.
        :return: the leader's answer; a `Refusal` if no leader answered in time.
        """
        return await self._other_calls_leader.call(message, timeout_s, CALL_TIMEOUT_S)

    def add_renew_fields(self, complete: CompleteRenewal) -> None:
        """Set a function that completes each renewal, for example with the daemon's disk."""
        self._complete_renewal = complete

    @property
    def table_version(self) -> int:
        """Version of the route table in force in this daemon; -1 until a table is received."""
        return self.index.table.version if self.index is not None else -1

    def may_serve(self) -> bool:
        """Whether a route table is in force and was renewed within `SERVE_WITHOUT_CONTROL_S`."""
        if self.index is None or self._renewed_at is None:
            return False
        return boot_now() - self._renewed_at <= SERVE_WITHOUT_CONTROL_S

    def retry_after_s(self) -> float:
        """
        Return the Retry-After, in seconds, for requests refused because no route table is in force.

        With 0.3 s right after a start, callers would repeat their request before a leader is
        elected, and their only retry would be refused too.
        """
        return max(MIN_RETRY_AFTER_S, PROCESS_STARTED_S + TABLE_EXPECTED_S - boot_now())

    def wall_s(self) -> float:
        """Return the wall clock that most daemons agree on, in seconds since 1970."""
        return boot_now() + self._wall_offset_s

    def serving(self, service: str) -> tuple[EndpointRecord, ...]:
        """Return the endpoints of a service that may get new work."""
        evacuated = self.view.evacuated
        found = self.endpoints.serving(service, boot_now())
        if not evacuated:
            return found
        return tuple(record for record in found if record.data_centre not in evacuated)

    def has_evacuated(self, service: str) -> bool:
        """Whether a service has endpoints that would serve if no data centre were evacuated."""
        if not self.view.evacuated:
            return False
        found = self.endpoints.serving(service, boot_now())
        return any(record.data_centre in self.view.evacuated for record in found)

    def is_cold(self, endpoint: str) -> bool:
        """Whether an endpoint's newest announcement says that it is still cold."""
        return boot_now() < self._cold_until_by_endpoint.get(endpoint, 0.0)

    def cold_share(self, endpoint: str, lease_s: float) -> int:
        """
        Return how many requests per window this entry may send to a cold endpoint.

        :param lease_s: seconds for which shares hold, counted from the renewal that brought them.
        :return: the number; 0 if the entry has no share or its lease has expired.
        """
        if boot_now() >= self._cold_shares_asked_at + lease_s:
            return 0
        return self._cold_shares.get(endpoint, 0)

    def age_s(self) -> float:
        """Seconds since the leader last confirmed this view; infinite before the first time."""
        return boot_now() - self._renewed_at if self._renewed_at is not None else float("inf")

    def _addresses(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*self.view.controls, *self._current_settings.seeds)))

    async def _run(self) -> None:
        while True:
            await self._renew()

    async def _renew(self) -> None:
        settings = self._settings
        renew = Renew(
            address=settings.peer_address,
            daemon=settings.daemon,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
            role=settings.role,
            epoch=self.view.epoch,
            revision=self.view.revision,
            table_version=self.table_version,
            hold_s=HOLD_S,
            usage=self._usage_source(self.view.closed_window),
            wall_s=wall_now(),
            evacuation_change=self.view.evacuation_change,
        )
        asked_at = boot_now()
        answer = await self._leader.call(
            self._complete_renewal(renew), RENEW_TIMEOUT_S, CALL_TIMEOUT_S
        )
        if isinstance(answer, Refusal):
            self._counters.add("directory_view.renewal_failed")
            eliot.log_message("directory_view:no_leader", detail=answer.detail)
            return
        self._renewed_at = boot_now()
        self._cold_shares = answer.cold_shares
        self._cold_shares_asked_at = asked_at
        self._wall_offset_s = answer.wall_s - self._renewed_at
        if isinstance(answer, Unchanged):
            self.view = replace(self.view, closed_window=answer.closed_window)
            return
        self._apply(answer)

    def _apply(self, view: View) -> None:
        # A deposed leader may still answer one call with an older view. Such a view is ignored, so
        # that the version of the route table never decreases.
        if view.epoch < self.view.epoch:
            self._counters.add("directory_view.older_epoch")
            return
        if view.table is not None and view.table.version > self.table_version:
            self.index = RouteIndex(view.table)
            eliot.log_message("directory_view:table", version=view.table.version)
        if view.evacuation_change < self.view.evacuation_change:
            # A newly elected leader may not have applied its whole log yet. What this daemon has
            # confirmed to the leader before must stay in force.
            self._counters.add("directory_view.older_evacuations")
            view = replace(
                view,
                evacuated=self.view.evacuated,
                evacuation_change=self.view.evacuation_change,
            )
        if view.suspect_change < self.view.suspect_change:
            self._counters.add("directory_view.older_suspects")
            view = replace(
                view,
                suspects=self.view.suspects,
                suspect_change=self.view.suspect_change,
            )
        if view.evacuation_change != self.view.evacuation_change:
            eliot.log_message(
                "directory_view:evacuated",
                data_centres=list(view.evacuated),
                change=view.evacuation_change,
            )
        self._apply_endpoints(view)
        self.view = replace(view, table=None)
        for callback in self._on_change:
            callback()

    def _apply_endpoints(self, view: View) -> None:
        """
        Replace the endpoints by those of the view, or merge them while the leader is new.

        A newly elected leader has received announcements of only some endpoints. Until the view is
        complete, endpoints missing from it stay as they are.
        """
        now = boot_now()
        table = self.endpoints if view.learning else EndpointTable(KEEP_ENDPOINTS_S)
        if not view.learning:
            self._cold_until_by_endpoint.clear()
        for placed in view.endpoints:
            table.merge(placed.record, now)
            cold_until = now - placed.age_s + placed.record.cold_s
            self._cold_until_by_endpoint[placed.record.endpoint] = cold_until
        before = {one.record.endpoint for one in self.endpoints.records()}
        after = {one.record.endpoint for one in table.records() if one.record.state == SERVING}
        if before != after:
            eliot.log_message("directory_view:endpoints", serving=sorted(after))
        self.endpoints = table


__all__ = ["DirectoryView"]
