"""
Endpoint records at the directory's leader, and the handlers of the endpoints' announcements.

An endpoint's record is its newest announcement: its address, its state, and its weight versions if
it is an engine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.endpoint_table import GONE, LEAVING, SERVING, EndpointTable
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import (
    UNKNOWN_INCARNATION,
    AgedEndpoint,
    Announce,
    Announced,
    Depart,
)
from ibisspring_directory.commands import EndpointJoins, EndpointLeaves

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_directory.state import DirectoryState

# Number of announcement intervals without an announcement after which an endpoint's record expires.
# There are several, because announcements may be delayed by seconds. Requests to an endpoint that
# failed stop earlier, as soon as one of them fails.
EXPIRY_INTERVALS = 4
# Number of announcement intervals for which a new leader may lack endpoints: it receives the
# announcements of all endpoints within two intervals. Until then entries keep the endpoints that
# they already know.
LEARNING_INTERVALS = 2.5

Propose = Callable[[Any], Awaitable[Any]]


class KnownEndpoints:
    """
    Endpoint records during one term of the directory's leader.

    :param table: newest announcement of each endpoint.
    :param loading: pairs of endpoint and model for which the endpoint is loading a weight version;
        meanwhile it starts no requests for the model.
    """

    def __init__(
        self,
        settings: VmSettings,
        state: DirectoryState,
        counters: Counters,
        propose: Propose,
        on_change: Callable[[], None],
    ) -> None:
        self._address = settings.peer_address
        self._ttl_s = settings.announce_every_s * EXPIRY_INTERVALS
        self._learning_s = settings.announce_every_s * LEARNING_INTERVALS
        self._state = state
        self._counters = counters
        self._propose = propose
        self._on_change = on_change
        self._led_since = 0.0
        self._proposals: set[asyncio.Future[Any]] = set()
        self.table = EndpointTable(self._ttl_s)
        self.loading: set[tuple[str, str]] = set()

    def start_term(self, led_since: float) -> None:
        """
        Reset the records to the endpoints that joined, at the start of this daemon's term.

        :param led_since: start of the term, in seconds on the leader's boot clock.
        """
        self._led_since = led_since
        self.loading.clear()
        self.table = EndpointTable(self._ttl_s)
        # After a restart of all processes, no daemon would know an endpoint until the endpoint has
        # announced itself again. The replicated records of endpoints that joined before the restart
        # are therefore used at once; the records of those that failed meanwhile expire.
        for record in self._state.joined_by_endpoint.values():
            self.table.merge(record, led_since)

    def is_learning(self, now: float) -> bool:
        """Whether this leader may still lack the announcements of some endpoints."""
        return now - self._led_since <= self._learning_s

    def expire(self, now: float) -> None:
        """Set endpoints without an announcement for EXPIRY_INTERVALS intervals to state GONE."""
        for endpoint in self.table.expire(now):
            eliot.log_message("directory:endpoint_silent", endpoint=endpoint, bound_s=self._ttl_s)
            self._counters.add("directory.endpoint_silent")

    def records_with_ages(self, now: float, with_versions: bool = True) -> tuple[AgedEndpoint, ...]:
        """
        Records of all endpoints not in state GONE, with the time since their newest announcement.

        :param with_versions: whether the records contain the endpoints' weight versions.
        :return: the records with these times in seconds, as they are sent in a directory view.
        """
        return tuple(
            AgedEndpoint(
                (
                    received.record
                    if with_versions
                    else replace(received.record, version_by_adapter={})
                ),
                now - received.received_at,
            )
            for received in self.table.records()
            if received.record.state != GONE
        )

    async def announce(self, announce: Announce) -> Any:
        """
        Merge an endpoint's announcement into the records.

        A departure (an announcement with the state LEAVING) is acknowledged only once it is
        committed to the directory's log.
        """
        record = announce.record
        # The departure is committed, so that the next leader knows it as well. Otherwise a delayed
        # announcement with the state `serving` could restore the endpoint under that leader.
        if record.state == LEAVING:
            key = (record.endpoint, record.incarnation)
            if key not in self._state.state_by_departed:
                committed = await self._propose(EndpointLeaves(*key, LEAVING))
                if isinstance(committed, Refusal):
                    return committed
        self._merge(record)
        return Announced(self._address)

    async def depart(self, message: Depart) -> Any:
        """
        Commit the departure of an endpoint and set its record to state LEAVING.

        A departure of an earlier incarnation is ignored. If the message does not state the
        incarnation, the newest known one departs.
        """
        known = self.table.record_of(message.endpoint)
        if known is None:
            if self.is_learning(boot_now()):
                return Refusal(
                    Reason.IN_PROGRESS,
                    True,
                    self._learning_s,
                    "the new leader has received no announcement of this endpoint yet",
                )
            return Announced(self._address)
        if message.incarnation not in (UNKNOWN_INCARNATION, known.incarnation):
            return Announced(self._address)
        departure = replace(known, state=LEAVING, sequence=known.sequence + 1)
        return await self.announce(Announce(departure))

    def _merge(self, record: EndpointRecord) -> None:
        """
        Merge an announcement into the records.

        If this changes a record, the daemons' waiting renewals are answered with the new view.
        """
        now = boot_now()
        if (
            record.state != LEAVING
            and (record.endpoint, record.incarnation) in self._state.state_by_departed
        ):
            return
        known = self.table.record_of(record.endpoint)
        if known is not None and known.incarnation == record.incarnation:
            record = replace(record, version_by_adapter=_merge_versions(known, record))
        drop_reason = self.table.merge(record, now)
        if drop_reason:
            self._counters.add("directory.announcement_dropped")
        joined = self._state.joined_by_endpoint.get(record.endpoint)
        if not drop_reason and (joined is None or joined.incarnation < record.incarnation):
            self._commit_joined(record)
        if self.table.changed:
            eliot.log_message(
                "directory:endpoint",
                endpoint=record.endpoint,
                service=record.service,
                state=record.state,
                address=record.address,
                versions=record.version_by_adapter,
            )
            self.table.changed.clear()
            self._on_change()

    def _commit_joined(self, record: EndpointRecord) -> None:
        """
        Commit that an endpoint joined, so that the next leader knows it from its start.

        The answer to the endpoint's announcement does not wait for the commit.
        """
        if record.state != SERVING:
            return
        task = asyncio.ensure_future(self._propose(EndpointJoins(record)))
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)

    def update_versions(self, known: EndpointRecord, version_by_model: dict[str, int]) -> None:
        """
        Update an engine's weight versions from its answer to a poll between two announcements.
        """
        # The record keeps the sequence number of the last announcement: with a higher number, the
        # engine's next announcement would be dropped as outdated.
        self.table.set_versions(known.endpoint, version_by_model)
        self.table.changed.clear()
        self._on_change()

    def set_loading(self, endpoint: str, model: str, is_loading: bool) -> None:
        """
        Publish whether an engine is loading a weight version of a model and starts no requests for
        it.
        """
        if is_loading:
            self.loading.add((endpoint, model))
        else:
            self.loading.discard((endpoint, model))
        self._on_change()


def _merge_versions(known: EndpointRecord, record: EndpointRecord) -> dict[str, int]:
    """
    Merge the weight versions of two announcements of one incarnation.

    An engine's weight versions only rise within an incarnation, so the higher version of each model
    is used. An announcement that was sent before a load of weights finished, and arrives after it,
    would otherwise restore the older version for one announcement interval, and the load would be
    ordered a second time.
    """
    newest = dict(record.version_by_adapter)
    for name, version in known.version_by_adapter.items():
        newest[name] = max(newest.get(name, 0), version)
    return newest


__all__ = ["KnownEndpoints"]
