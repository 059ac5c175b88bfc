"""The service `registry`: the endpoints known to this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.endpoint_table import EndpointTable
from ibisspring_entry.registry.peers import PeerExchange

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import Disproof, EndpointRecord
    from ibisspring_core.settings import Settings

EXPIRE_EVERY_S = 0.25
"""Seconds between two checks for endpoints whose announcements have stopped."""


class Registry:
    """The endpoints known to this entry, from announcements and from the exchange with peers."""

    name = "registry"

    def __init__(self, table: EndpointTable, exchange: PeerExchange) -> None:
        self.table = table
        self._exchange = exchange
        self._all_pending = True
        self._disproofs: set[Disproof] = set()

    @classmethod
    def from_config(cls, settings: Settings) -> Registry:
        """
        Build the service with an empty endpoint table.

        :param settings: validated settings of a daemon with the entry role.
        """
        table = EndpointTable(settings.entry.announce_ttl_s)
        return cls(table, PeerExchange.from_config(settings, table))

    async def start(self, kernel: Kernel) -> None:
        """
        Schedule the expiry of silent endpoints and start the exchange with the peers.

        :param kernel: registry in which the daemon's services find each other.
        """
        self._kernel = kernel
        self._lease = kernel.find("lease")
        self._counters = kernel.find("counters")
        kernel.find("timer").subscribe("registry", EXPIRE_EVERY_S, self._expire_endpoints)
        await self._exchange.start(kernel)

    async def stop(self) -> None:
        """Stop the exchange of endpoint records and demand with the peers."""
        await self._exchange.stop()

    async def _expire_endpoints(self, now: float) -> None:
        for endpoint in self.table.expire(now):
            self._counters.add("endpoint_silent")
            eliot.log_message("registry:endpoint_gone", endpoint=endpoint)

    def register_announcement(self, record: EndpointRecord) -> str:
        """
        Register an announcement that an endpoint sent to this entry.

        :param record: the validated announcement.
        :return: an empty text if the record was accepted, else the reason of its rejection.
        """
        rejection = self.table.merge(record, boot_now())
        if rejection:
            self._counters.add("announcement_refused")
        return rejection

    def available_endpoints(self, service: str) -> tuple[EndpointRecord, ...]:
        """
        Find the endpoints that may get new requests: not expired, not leaving and not draining.

        :param service: the service's name, as in callers' requests.
        :return: the endpoints' records.
        """
        view = self._lease.view()
        draining = getattr(view, "draining", ())
        found = []
        for record in self.table.serving(service, boot_now()):
            if record.endpoint in draining:
                continue
            found.append(record)
        return tuple(found)

    def pending_changes(self) -> tuple[tuple[EndpointRecord, ...], bool]:
        """
        Return the endpoint records that the next lease renewal must send to the control leader.

        :return: records that changed in more than sequence and load, together with the records of
            draining endpoints and of leaving endpoints whose load changed; and whether these are
            all records of the table.
        """
        if self._all_pending:
            return tuple(received.record for received in self.table.records()), True
        records = []
        for endpoint in sorted(self.table.changed | self._draining()):
            record = self.table.record_of(endpoint)
            if record is not None:
                records.append(record)
        return tuple(records), False

    def report_false_version(self, disproof: Disproof) -> None:
        """
        Record that an engine does not have the weight version that it announced.

        The next lease renewal sends this report to the control leader.

        :param disproof: the engine's start and the announced version that its tokens contradicted.
        """
        self._disproofs.add(disproof)

    def pending_disproofs(self) -> tuple[Disproof, ...]:
        """Return the reports of falsely announced versions that the leader has not acknowledged."""
        return tuple(self._disproofs)

    def disproofs_acknowledged(self, disproofs: tuple[Disproof, ...]) -> None:
        """
        Remove reports of falsely announced versions that the leader has acknowledged.

        :param disproofs: the result of `pending_disproofs` that was sent with the renewal.
        """
        self._disproofs.difference_update(disproofs)

    def changes_acknowledged(self, records: tuple[EndpointRecord, ...]) -> None:
        """
        Remove changes that the leader has acknowledged; records changed since then stay pending.

        :param records: the records from `pending_changes` that were sent with the renewal.
        """
        self._all_pending = False
        for record in records:
            if self.table.record_of(record.endpoint) == record:
                self.table.changed.discard(record.endpoint)

    def mark_all_pending(self) -> None:
        """Send all records with the next renewal: the leader is new or lacks some records."""
        self._all_pending = True

    def _draining(self) -> set[str]:
        draining = getattr(self._lease.view(), "draining", ())
        return {endpoint for endpoint in draining if self.table.record_of(endpoint) is not None}

    def set_demand(self, demand_by_client_account: dict[str, float]) -> None:
        """
        Set the demand of client accounts at this entry, which is sent to the peers.

        :param demand_by_client_account: requests per second.
        """
        self._exchange.demand_by_client_account = dict(demand_by_client_account)

    def set_wanted(self, wanted_by_service: dict[str, float]) -> None:
        """
        Set the numbers of requests at this entry, which are sent to the peers.

        :param wanted_by_service: number of running and waiting requests.
        """
        self._exchange.wanted_by_service = dict(wanted_by_service)

    def peer_demand(self) -> dict[str, tuple[float, dict[str, float]]]:
        """
        Return the demand of client accounts at the other entries.

        :return: by daemon name, the boot-clock time of the report and the requests per second by
            client account; only of peers with a recent report.
        """
        reports = self._exchange.recent_reports(boot_now())
        return {
            daemon: (report.received_at, report.demand_by_client_account)
            for daemon, report in reports.items()
        }

    def peer_wanted(self) -> dict[str, dict[str, float]]:
        """
        Return the numbers of requests at the other entries.

        :return: by daemon name, the number of running and waiting requests by service; only of
            peers with a recent report.
        """
        reports = self._exchange.recent_reports(boot_now())
        return {daemon: report.wanted_by_service for daemon, report in reports.items()}


__all__ = ["Registry"]
