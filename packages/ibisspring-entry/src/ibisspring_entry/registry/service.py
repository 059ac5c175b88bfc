"""The service `registry`."""

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


class Registry:
    """The endpoints that this entry knows of, and the exchange with the other entries."""

    name = "registry"

    def __init__(self, table: EndpointTable, exchange: PeerExchange) -> None:
        self.table = table
        self._exchange = exchange
        self._all_pending = True
        self._disproofs: set[Disproof] = set()

    @classmethod
    def from_config(cls, settings: Settings) -> Registry:
        """
        Build the service.

        :param settings: settings of a daemon with the entry role.
        :return: the service.
        """
        table = EndpointTable(settings.entry.announce_ttl_s)
        return cls(table, PeerExchange.from_config(settings, table))

    async def start(self, kernel: Kernel) -> None:
        """Start the exchange with the peers."""
        self._kernel = kernel
        self._lease = kernel.find("lease")
        self._counters = kernel.find("counters")
        kernel.find("timer").subscribe("registry", EXPIRE_EVERY_S, self._tick)
        await self._exchange.start(kernel)

    async def stop(self) -> None:
        """End the exchange."""
        await self._exchange.stop()

    async def _tick(self, now: float) -> None:
        for endpoint in self.table.expire(now):
            self._counters.add("endpoint_silent")
            eliot.log_message("registry:endpoint_gone", endpoint=endpoint)

    def announce(self, record: EndpointRecord) -> str:
        """
        Take an endpoint's own announcement.

        :param record: the checked announcement.
        :return: empty where it was taken, else why it was not.
        """
        refused = self.table.take(record, boot_now())
        if refused:
            self._counters.add("announcement_refused")
        return refused

    def records_of(self, service: str) -> tuple[EndpointRecord, ...]:
        """
        Find the endpoints that may get new work: alive, not leaving, not draining.

        :param service: the name that callers ask for.
        :return: their records.
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
        What the leader does not know yet; the renewal carries it.

        :return: records that changed in more than load (of leaving ones, load as well), and whether
            these are all records.
        """
        if self._all_pending:
            return tuple(heard.record for heard in self.table.heard()), True
        records = []
        for endpoint in sorted(self.table.changed | self._draining()):
            record = self.table.record_of(endpoint)
            if record is not None:
                records.append(record)
        return tuple(records), False

    def disprove(self, disproof: Disproof) -> None:
        """
        Note that an engine's tokens disproved its announcement; the next renewal carries it.

        :param disproof: what was announced.
        """
        self._disproofs.add(disproof)

    def pending_disproofs(self) -> tuple[Disproof, ...]:
        """What the leader was not told yet of disproved announcements."""
        return tuple(self._disproofs)

    def disproofs_taken(self, disproofs: tuple[Disproof, ...]) -> None:
        """
        The leader has them.

        :param disproofs: what `pending_disproofs` gave before the renewal was sent.
        """
        self._disproofs.difference_update(disproofs)

    def changes_taken(self, records: tuple[EndpointRecord, ...]) -> None:
        """
        The leader has them: what changed since stays pending.

        :param records: what `pending_changes` gave before the renewal was sent.
        """
        self._all_pending = False
        for record in records:
            if self.table.record_of(record.endpoint) == record:
                self.table.changed.discard(record.endpoint)

    def want_all(self) -> None:
        """The leader asks for all records: it is new, or missed something."""
        self._all_pending = True

    def _draining(self) -> set[str]:
        draining = getattr(self._lease.view(), "draining", ())
        return {endpoint for endpoint in draining if self.table.record_of(endpoint) is not None}

    def set_demand(self, demand_by_client_account: dict[str, float]) -> None:
        """
        Tell the peers what this entry's client accounts ask for.

        :param demand_by_client_account: requests a second.
        """
        self._exchange.demand_by_client_account = dict(demand_by_client_account)

    def set_wanted(self, wanted_by_service: dict[str, float]) -> None:
        """
        Tell the peers what this entry has to do.

        :param wanted_by_service: requests under way or waiting.
        """
        self._exchange.wanted_by_service = dict(wanted_by_service)

    def peer_demand(self) -> dict[str, tuple[float, dict[str, float]]]:
        """
        What the other entries' client accounts ask for there.

        :return: by daemon, when it told and the demand by client account; only of peers heard
            lately.
        """
        told = self._exchange.told(boot_now())
        return {name: (one.heard_at, one.demand_by_client_account) for name, one in told.items()}

    def peer_wanted(self) -> dict[str, dict[str, float]]:
        """
        What the other entries have to do.

        :return: by daemon, requests under way or waiting by service; only of peers heard lately.
        """
        told = self._exchange.told(boot_now())
        return {name: one.wanted_by_service for name, one in told.items()}


__all__ = ["Registry"]
