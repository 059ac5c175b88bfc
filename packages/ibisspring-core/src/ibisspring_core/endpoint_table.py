"""
The table of endpoints, built from their announcements.

The newest announcement of an endpoint replaces earlier ones. State LEAVING is final for an
incarnation. A record whose endpoint has not announced itself within the TTL changes to GONE.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord

SERVING = "serving"
LEAVING = "leaving"
GONE = "gone"
ANNOUNCED_STATES = (SERVING, LEAVING)
ENDPOINT_ROLES = ("engine", "plain", "scorer")
ENDPOINT_KINDS = ("standard", "cheap")

DELETE_AFTER_TTLS = 12
"""
Number of TTLs after the last announcement at which a record is deleted.

Until then a GONE record stays, so that a late copy relayed by a peer cannot make the endpoint serve
again. Copies that arrive after the deletion are rejected because of their own age.
"""


@dataclass(frozen=True)
class ReceivedRecord:
    """
    A record with the time of its endpoint's last announcement to any entry.

    :param record: the newest announcement.
    :param received_at: time of that announcement, in seconds on this entry's boot clock.
    :param direct: True if the endpoint announced itself to this entry, False if a peer relayed
        the record.
    """

    record: EndpointRecord
    received_at: float
    direct: bool


class EndpointTable:
    """
    The records of the endpoints that one entry or the directory knows, by endpoint id.

    The table reads no clock: callers pass `now`, in seconds on this entry's boot clock.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._received_by_endpoint: dict[str, ReceivedRecord] = {}
        self._newest_by_address: dict[str, int] | None = None
        self.changed: set[str] = set()

    def merge(self, record: EndpointRecord, received_at: float, direct: bool = True) -> str:
        """
        Record an announcement, unless a newer one of the endpoint is recorded already.

        :param received_at: when an entry received it, in seconds on this entry's boot clock.
        :param direct: True if the endpoint announced itself to this entry, False if a peer
            relayed the record.
        :return: empty if the announcement was accepted, else the reason for its rejection.
        """
        known = self._received_by_endpoint.get(record.endpoint)
        if known is None:
            self._put(ReceivedRecord(record, received_at, direct), None)
            return ""
        if record.order() < known.record.order():
            return "a newer announcement is already recorded"
        if record.order() == known.record.order():
            return self._update_received_at(known, received_at)
        same_incarnation = record.incarnation == known.record.incarnation
        # A leaving endpoint gets no new work. Neither a SERVING announcement that was sent earlier
        # and arrives late, nor one that a faulty endpoint sends afterwards, may revert this; only a
        # new incarnation may.
        if same_incarnation and known.record.state == LEAVING and record.state != LEAVING:
            return "this incarnation has already announced that it is leaving"
        self._put(ReceivedRecord(record, received_at, direct), known)
        return ""

    def refresh(
        self, start: tuple[str, int], sequence: int, load: EndpointLoad, received_at: float
    ) -> None:
        """
        Apply a peer's refresh of an endpoint whose record is unchanged except for its load.

        A refresh of an unknown endpoint or incarnation is ignored, since the remaining fields of
        its record are missing here. The peers then find that their digests differ and exchange the
        complete record.

        :param start: the endpoint's id and incarnation.
        :param sequence: sequence number of its newest announcement.
        :param load: load reported by that announcement.
        :param received_at: when an entry received it, in seconds on this entry's boot clock.
        """
        endpoint, incarnation = start
        known = self._received_by_endpoint.get(endpoint)
        if known is None or known.record.incarnation != incarnation:
            return
        changes = {"sequence": sequence, "load": load, "state": SERVING}
        self.merge(dataclasses.replace(known.record, **changes), received_at, direct=False)

    def set_versions(self, endpoint: str, version_by_adapter: dict[str, int]) -> None:
        """
        Update the weight versions of an engine between two of its announcements.

        :param endpoint: id of a known endpoint.
        :param version_by_adapter: weight version by adapter name.
        """
        received = self._received_by_endpoint[endpoint]
        record = dataclasses.replace(received.record, version_by_adapter=version_by_adapter)
        self._put(dataclasses.replace(received, record=record), received)

    def _update_received_at(self, known: ReceivedRecord, received_at: float) -> str:
        if received_at > known.received_at:
            self._received_by_endpoint[known.record.endpoint] = dataclasses.replace(
                known, received_at=received_at
            )
        return ""

    def _put(self, received: ReceivedRecord, known: ReceivedRecord | None) -> None:
        endpoint = received.record.endpoint
        self._received_by_endpoint[endpoint] = received
        self._newest_by_address = None
        if known is None or comparable_fields(received.record) != comparable_fields(known.record):
            self.changed.add(endpoint)
            return
        # The daemon that stops a draining endpoint waits until the endpoint's load is zero, so each
        # change of the load is reported.
        if received.record.state == LEAVING and received.record.load != known.record.load:
            self.changed.add(endpoint)

    def expire(self, now: float) -> tuple[str, ...]:
        """
        Mark endpoints as GONE whose TTL has expired, and delete old records.

        :param now: seconds on this entry's boot clock.
        :return: ids of the endpoints that changed to GONE in this call.
        """
        expired = []
        for endpoint, received in list(self._received_by_endpoint.items()):
            age_s = now - received.received_at
            if age_s > self._ttl_s * DELETE_AFTER_TTLS:
                del self._received_by_endpoint[endpoint]
                self._newest_by_address = None
                self.changed.discard(endpoint)
                continue
            if age_s <= self._ttl_s or received.record.state in (GONE, LEAVING):
                continue
            record = dataclasses.replace(received.record, state=GONE)
            self._received_by_endpoint[endpoint] = dataclasses.replace(received, record=record)
            self.changed.add(endpoint)
            expired.append(endpoint)
        return tuple(expired)

    def serving(self, service: str, now: float) -> tuple[EndpointRecord, ...]:
        """
        List the endpoints of a service that may get new work.

        :param service: name of the service or model.
        :param now: seconds on this entry's boot clock.
        :return: the records of these endpoints.
        """
        newest_by_address = self._newest_incarnation_by_address()
        found = []
        for received in self._received_by_endpoint.values():
            record = received.record
            if record.service != service or record.state != SERVING:
                continue
            if now - received.received_at > self._ttl_s:
                continue
            if newest_by_address[record.address] > record.incarnation:
                continue
            found.append(record)
        return tuple(found)

    def _newest_incarnation_by_address(self) -> dict[str, int]:
        """
        Return the newest incarnation at each address.

        A delayed announcement may arrive after its endpoint has exited and another endpoint has
        started at the same address. Without this check both endpoints would count as serving there.
        The result is kept until a record changes, since endpoints are listed far more often.
        """
        if self._newest_by_address is not None:
            return self._newest_by_address
        newest: dict[str, int] = {}
        for received in self._received_by_endpoint.values():
            record = received.record
            newest[record.address] = max(newest.get(record.address, 0), record.incarnation)
        self._newest_by_address = newest
        return newest

    def records(self) -> tuple[ReceivedRecord, ...]:
        """Return all records, including those of GONE endpoints."""
        return tuple(self._received_by_endpoint.values())

    def stale_endpoints(self, now: float) -> tuple[str, ...]:
        """
        List the endpoints whose last announcement is more than half a TTL old.

        This entry asks its peers for newer announcements of these endpoints.

        :param now: seconds on this entry's boot clock.
        :return: the ids of these endpoints.
        """
        found = []
        for received in self._received_by_endpoint.values():
            if now - received.received_at > self._ttl_s / 2 and received.record.state != LEAVING:
                found.append(received.record.endpoint)
        return tuple(found)

    def recent_records(self, endpoints: Iterable[str], now: float) -> tuple[ReceivedRecord, ...]:
        """
        Return the records that a peer asks for, if they are recent.

        :param endpoints: ids that the peer asks for.
        :param now: seconds on this entry's boot clock.
        :return: the records whose last announcement is at most half a TTL old.
        """
        found = []
        for endpoint in endpoints:
            received = self._received_by_endpoint.get(endpoint)
            if received is not None and now - received.received_at <= self._ttl_s / 2:
                found.append(received)
        return tuple(found)

    def record_of(self, endpoint: str) -> EndpointRecord | None:
        """Return the record of an endpoint in any state, or None if the id is unknown."""
        received = self._received_by_endpoint.get(endpoint)
        return None if received is None else received.record

    def digest(self) -> int:
        """Return a digest of all records that are not GONE; equal tables have equal digests."""
        total = 0
        for received in self._received_by_endpoint.values():
            if received.record.state == GONE:
                continue
            total ^= xxhash.xxh64_intdigest(
                msgspec.msgpack.encode(comparable_fields(received.record))
            )
        # On the wire 0 means that no comparison is requested. An empty table, as after a start,
        # has to be compared as well.
        return total or 1


def comparable_fields(record: EndpointRecord) -> tuple:
    """
    Return the fields of a record whose change is reported to peers and to the leader.

    :return: equal values for two records of an endpoint that differ only in sequence, load and
        other hints.
    """
    fields = (
        record.endpoint,
        record.incarnation,
        record.service,
        record.state,
        record.address,
        tuple(sorted(record.version_by_adapter.items())),
    )
    # Appended only for a cold endpoint, so that the digests of peers that do not know the field are
    # equal while no endpoint is cold.
    return (*fields, "cold") if record.cold_s > 0 else fields


__all__ = [
    "GONE",
    "ENDPOINT_KINDS",
    "LEAVING",
    "ENDPOINT_ROLES",
    "SERVING",
    "ANNOUNCED_STATES",
    "EndpointTable",
    "ReceivedRecord",
]
