"""The table of endpoints: the newest announcement wins, leaving is final, silence ends a record."""

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
STATES = (SERVING, LEAVING)
ROLES = ("engine", "plain", "scorer")
KINDS = ("standard", "cheap")

FORGET_AFTER_TTLS = 12
"""
A record that is gone stays for so many TTLs, so that a late relayed record cannot bring it back;
after that its own age keeps relayed records out.
"""


@dataclass(frozen=True)
class Heard:
    """
    A record with the moment at which its endpoint itself was last heard, by whichever entry.

    :param heard_at: seconds on this entry's boot clock.
    :param first_hand: whether the endpoint announced itself here, not through a peer.
    """

    record: EndpointRecord
    heard_at: float
    first_hand: bool


class EndpointTable:
    """The endpoints that this entry knows of; `now` is always given."""

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._heard_by_endpoint: dict[str, Heard] = {}
        self.changed: set[str] = set()

    def take(self, record: EndpointRecord, heard_at: float, first_hand: bool = True) -> str:
        """
        Take an announcement, first-hand or relayed.

        :param record: what the endpoint announced.
        :param heard_at: when the endpoint was heard, on this entry's clock.
        :param first_hand: whether the endpoint announced itself here.
        :return: empty where it was taken, else why it was not.
        """
        known = self._heard_by_endpoint.get(record.endpoint)
        if known is None:
            self._put(Heard(record, heard_at, first_hand), None)
            return ""
        if record.order() < known.record.order():
            return "an announcement that is newer is known"
        if record.order() == known.record.order():
            return self._take_again(known, heard_at)
        same_incarnation = record.incarnation == known.record.incarnation
        # An endpoint that is leaving gets no new work: a "serving" that was sent before, or that a
        # confused endpoint sends after, must not bring it back. Only a new start may.
        if same_incarnation and known.record.state == LEAVING and record.state != LEAVING:
            return "leaving is final for an incarnation"
        self._put(Heard(record, heard_at, first_hand), known)
        return ""

    def refresh(
        self, start: tuple[str, int], sequence: int, load: EndpointLoad, heard_at: float
    ) -> None:
        """
        Take a peer's word that an endpoint goes on as it is known.

        One that is not known by this start is not taken: what it announces is not known either, and
        the next digest brings it.

        :param start: the endpoint's id and incarnation.
        :param sequence: of its newest announcement.
        :param load: from the same.
        :param heard_at: when the endpoint was heard, on this entry's clock.
        """
        endpoint, incarnation = start
        known = self._heard_by_endpoint.get(endpoint)
        if known is None or known.record.incarnation != incarnation:
            return
        changes = {"sequence": sequence, "load": load, "state": SERVING}
        self.take(dataclasses.replace(known.record, **changes), heard_at, first_hand=False)

    def set_versions(self, endpoint: str, version_by_adapter: dict[str, int]) -> None:
        """
        Take in the versions that an engine has between two of its announcements.

        :param endpoint: one that is known.
        :param version_by_adapter: weight version by name.
        """
        heard = self._heard_by_endpoint[endpoint]
        record = dataclasses.replace(heard.record, version_by_adapter=version_by_adapter)
        self._put(dataclasses.replace(heard, record=record), heard)

    def _take_again(self, known: Heard, heard_at: float) -> str:
        if heard_at > known.heard_at:
            self._heard_by_endpoint[known.record.endpoint] = dataclasses.replace(
                known, heard_at=heard_at
            )
        return ""

    def _put(self, heard: Heard, known: Heard | None) -> None:
        endpoint = heard.record.endpoint
        self._heard_by_endpoint[endpoint] = heard
        if known is None or substance(heard.record) != substance(known.record):
            self.changed.add(endpoint)
            return
        # While it empties, whoever stops it needs to see its load fall to zero.
        if heard.record.state == LEAVING and heard.record.load != known.record.load:
            self.changed.add(endpoint)

    def expire(self, now: float) -> tuple[str, ...]:
        """
        End the records of endpoints that went silent.

        :param now: seconds on this entry's boot clock.
        :return: the endpoints that are gone since the last call.
        """
        gone = []
        for endpoint, heard in list(self._heard_by_endpoint.items()):
            age_s = now - heard.heard_at
            if age_s > self._ttl_s * FORGET_AFTER_TTLS:
                del self._heard_by_endpoint[endpoint]
                self.changed.discard(endpoint)
                continue
            if age_s <= self._ttl_s or heard.record.state in (GONE, LEAVING):
                continue
            record = dataclasses.replace(heard.record, state=GONE)
            self._heard_by_endpoint[endpoint] = dataclasses.replace(heard, record=record)
            self.changed.add(endpoint)
            gone.append(endpoint)
        return tuple(gone)

    def serving(self, service: str, now: float) -> tuple[EndpointRecord, ...]:
        """
        Find the endpoints that may get new work.

        :param service: the name that callers ask for.
        :param now: seconds on this entry's boot clock.
        :return: their records.
        """
        owner_by_address = self._owner_by_address()
        found = []
        for heard in self._heard_by_endpoint.values():
            record = heard.record
            if record.service != service or record.state != SERVING:
                continue
            if now - heard.heard_at > self._ttl_s:
                continue
            if owner_by_address[record.address] > record.incarnation:
                continue
            found.append(record)
        return tuple(found)

    def _owner_by_address(self) -> dict[str, int]:
        """
        Find the newest incarnation at each address.

        An announcement held up on its way may arrive after its sender has ended and another
        endpoint began at the same address: both would be taken for serving there.
        """
        newest: dict[str, int] = {}
        for heard in self._heard_by_endpoint.values():
            record = heard.record
            newest[record.address] = max(newest.get(record.address, 0), record.incarnation)
        return newest

    def heard(self) -> tuple[Heard, ...]:
        """All that is known, what is gone included."""
        return tuple(self._heard_by_endpoint.values())

    def unheard(self, now: float) -> tuple[str, ...]:
        """
        Find the endpoints whose word is getting old here; others may have heard them since.

        :param now: seconds on this entry's boot clock.
        :return: their ids.
        """
        found = []
        for heard in self._heard_by_endpoint.values():
            if now - heard.heard_at > self._ttl_s / 2 and heard.record.state != LEAVING:
                found.append(heard.record.endpoint)
        return tuple(found)

    def heard_lately(self, endpoints: Iterable[str], now: float) -> tuple[Heard, ...]:
        """
        Find what is known better here.

        :param endpoints: ids that a peer asks for.
        :param now: seconds on this entry's boot clock.
        :return: those of them that were heard in the last half TTL.
        """
        found = []
        for endpoint in endpoints:
            heard = self._heard_by_endpoint.get(endpoint)
            if heard is not None and now - heard.heard_at <= self._ttl_s / 2:
                found.append(heard)
        return tuple(found)

    def record_of(self, endpoint: str) -> EndpointRecord | None:
        """The record of one endpoint, also when it is leaving or gone."""
        heard = self._heard_by_endpoint.get(endpoint)
        return None if heard is None else heard.record

    def digest(self) -> int:
        """Digest over what matters of all records that live; equal tables have equal digests."""
        total = 0
        for heard in self._heard_by_endpoint.values():
            if heard.record.state == GONE:
                continue
            total ^= xxhash.xxh64_intdigest(msgspec.msgpack.encode(substance(heard.record)))
        # 0 asks for no check: an entry that has just started, and knows nothing, asks for one.
        return total or 1


def substance(record: EndpointRecord) -> tuple:
    """
    What matters of a record beyond its place in time.

    :param record: a record.
    :return: a value that is equal for records between which nothing changed but sequence and load.
    """
    return (
        record.endpoint,
        record.incarnation,
        record.service,
        record.state,
        record.address,
        tuple(sorted(record.version_by_adapter.items())),
    )


__all__ = ["GONE", "KINDS", "LEAVING", "ROLES", "SERVING", "STATES", "EndpointTable", "Heard"]
