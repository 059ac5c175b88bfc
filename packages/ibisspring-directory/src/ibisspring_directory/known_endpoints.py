"""What the directory's leader knows of the endpoints, and how their announcements change it."""

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
    Announce,
    Announced,
    Depart,
    Placed,
)
from ibisspring_directory.commands import EndpointJoins, EndpointLeaves

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_directory.state import DirectoryState

# Beats may be late by seconds; a dead endpoint is left earlier by the requests that fail there.
SILENT_ANNOUNCEMENTS = 4
# A new leader hears all endpoints within two announcements; until then entries keep what they knew.
LEARN_ANNOUNCEMENTS = 2.5

Propose = Callable[[Any], Awaitable[Any]]


class KnownEndpoints:
    """
    The endpoints under one leader.

    :param table: their newest announcements.
    :param loading: pairs of endpoint and model that begin nothing now.
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
        self._ttl_s = settings.announce_every_s * SILENT_ANNOUNCEMENTS
        self._learn_s = settings.announce_every_s * LEARN_ANNOUNCEMENTS
        self._state = state
        self._counters = counters
        self._propose = propose
        self._on_change = on_change
        self._led_since = 0.0
        self._proposals: set[asyncio.Future[Any]] = set()
        self.table = EndpointTable(self._ttl_s)
        self.loading: set[tuple[str, str]] = set()

    def begin(self, led_since: float) -> None:
        """Begin anew as a leader."""
        self._led_since = led_since
        self.loading.clear()
        self.table = EndpointTable(self._ttl_s)
        # After the end of all processes nobody knows an endpoint until each has announced itself;
        # those that joined before serve callers at once, and the dead among them go silent.
        for record in self._state.joined_by_id.values():
            self.table.take(record, led_since)

    def learning(self, now: float) -> bool:
        """Whether this leader may not have heard all endpoints yet."""
        return now - self._led_since <= self._learn_s

    def expire(self, now: float) -> None:
        """End the records of endpoints that went silent."""
        for endpoint in self.table.expire(now):
            eliot.log_message("directory:endpoint_silent", endpoint=endpoint, bound_s=self._ttl_s)
            self._counters.add("directory.endpoint_silent")

    def placed(self, now: float, with_versions: bool = True) -> tuple[Placed, ...]:
        """All that is known but what went silent, with its age."""
        return tuple(
            Placed(
                heard.record if with_versions else replace(heard.record, version_by_adapter={}),
                now - heard.heard_at,
            )
            for heard in self.table.heard()
            if heard.record.state != GONE
        )

    async def announce(self, announce: Announce) -> Any:
        """Take in an endpoint's announcement; a leaving one is committed before it is answered."""
        record = announce.record
        # Committed, a departure outlives this leader: a "serving" that was held up on its way must
        # not bring the endpoint back under the next one.
        if record.state == LEAVING:
            key = (record.endpoint, record.incarnation)
            if key not in self._state.left:
                committed = await self._propose(EndpointLeaves(*key, LEAVING))
                if isinstance(committed, Refusal):
                    return committed
        self._take(record)
        return Announced(self._address)

    async def depart(self, message: Depart) -> Any:
        """Take in that an endpoint is gone; it may say so without naming its start."""
        known = self.table.record_of(message.endpoint)
        if known is None:
            if self.learning(boot_now()):
                return Refusal(Reason.IN_PROGRESS, True, self._learn_s, "not heard of yet")
            return Announced(self._address)
        if message.incarnation not in (UNKNOWN_INCARNATION, known.incarnation):
            return Announced(self._address)
        gone = replace(known, state=LEAVING, sequence=known.sequence + 1)
        return await self.announce(Announce(gone))

    def _take(self, record: EndpointRecord) -> None:
        """Merge an announcement and let the daemons know where something changed."""
        now = boot_now()
        if record.state != LEAVING and (record.endpoint, record.incarnation) in self._state.left:
            return
        known = self.table.record_of(record.endpoint)
        if known is not None and known.incarnation == record.incarnation:
            record = replace(record, version_by_adapter=_newest_versions(known, record))
        reason = self.table.take(record, now)
        if reason:
            self._counters.add("directory.announcement_dropped")
        joined = self._state.joined_by_id.get(record.endpoint)
        if not reason and (joined is None or joined.incarnation < record.incarnation):
            self._note_joined(record)
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

    def _note_joined(self, record: EndpointRecord) -> None:
        """Commit that an endpoint is there, without keeping its announcement waiting."""
        if record.state != SERVING:
            return
        task = asyncio.ensure_future(self._propose(EndpointJoins(record)))
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)

    def learn_versions(self, known: EndpointRecord, version_by_model: dict[str, int]) -> None:
        """Take in what an engine said of its versions between two announcements."""
        # A later sequence than the known one would make the engine's next announcement look old.
        self.table.set_versions(known.endpoint, version_by_model)
        self.table.changed.clear()
        self._on_change()

    def note_loading(self, endpoint: str, model: str, loads: bool) -> None:
        """Let all daemons know that an engine begins nothing for a model, or does so again."""
        if loads:
            self.loading.add((endpoint, model))
        else:
            self.loading.discard((endpoint, model))
        self._on_change()


def _newest_versions(known: EndpointRecord, record: EndpointRecord) -> dict[str, int]:
    """
    Join the versions of two announcements of one start.

    Versions only rise there; an announcement that was on its way while the engine loaded would
    otherwise bring the earlier version back for one announcement, and the load would be ordered a
    second time.
    """
    joined = dict(record.version_by_adapter)
    for name, version in known.version_by_adapter.items():
        joined[name] = max(joined.get(name, 0), version)
    return joined


__all__ = ["KnownEndpoints"]
