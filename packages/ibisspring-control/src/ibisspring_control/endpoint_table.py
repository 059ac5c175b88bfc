"""What the leader knows of the endpoints, from the entries' renewals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisspring_core.messages.codec import decode
from ibisspring_core.messages.endpoints import Disproof, EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE = "gone"
# Each entry hands over all of its endpoints once per this many seconds at the latest, more with
# many entries; what nobody speaks of for three rounds is gone.
FORGET_AFTER_S = 15.0
FORGET_PER_ENTRY_S = 3.0


class EndpointTable:
    """Newest record by endpoint id."""

    def __init__(self) -> None:
        self.record_by_id: dict[str, EndpointRecord] = {}
        self._heard_s_by_id: dict[str, float] = {}
        self._disproofs: set[Disproof] = set()

    def merge(self, data: bytes, now: float) -> None:
        """
        Take a record from an entry; the newest of an endpoint wins.

        :param data: an `EndpointRecord`, encoded.
        :param now: boot-clock seconds.
        """
        try:
            record = decode(data, EndpointRecord)
        except msgspec.DecodeError:
            return
        known = self.record_by_id.get(record.endpoint)
        if known is not None and record.order() < known.order():
            # An older word of the same start still proves that the endpoint is spoken of.
            if record.incarnation == known.incarnation:
                self._heard_s_by_id[record.endpoint] = now
            return
        if record.state == GONE:
            self._drop(record.endpoint)
            return
        self.record_by_id[record.endpoint] = record
        self._heard_s_by_id[record.endpoint] = now

    def note_disproofs(self, data: Iterable[bytes]) -> None:
        """
        Take what an entry tells of disproved announcements.

        :param data: each a `Disproof`, encoded; only those of records that are known are kept.
        """
        for one in data:
            try:
                disproof = decode(one, Disproof)
            except msgspec.DecodeError:
                continue
            if disproof.endpoint in self.record_by_id:
                self._disproofs.add(disproof)

    def take_disproofs(self) -> tuple[Disproof, ...]:
        """Hand over the disproofs noted since the last call."""
        taken = tuple(self._disproofs)
        self._disproofs.clear()
        return taken

    def sweep(self, now: float, entries: int) -> None:
        """
        Forget what no entry speaks of any more.

        :param now: boot-clock seconds.
        :param entries: how many entries renew.
        """
        bound_s = max(FORGET_AFTER_S, entries * FORGET_PER_ENTRY_S)
        for endpoint, heard_s in list(self._heard_s_by_id.items()):
            if now - heard_s > bound_s:
                self._drop(endpoint)

    def clear(self) -> None:
        """Forget everything, when this daemon becomes the leader."""
        self.record_by_id.clear()
        self._heard_s_by_id.clear()
        self._disproofs.clear()

    def _drop(self, endpoint: str) -> None:
        self.record_by_id.pop(endpoint, None)
        self._heard_s_by_id.pop(endpoint, None)


__all__ = ["EndpointTable"]
