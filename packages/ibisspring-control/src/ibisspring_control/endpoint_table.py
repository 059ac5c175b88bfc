"""The leader's table of endpoints, built from the records that entries send with renewals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisspring_core.messages.codec import decode
from ibisspring_core.messages.endpoints import Disproof, EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE = "gone"
# Seconds after the last report of an endpoint by any entry until the endpoint is removed:
# REMOVE_AFTER_S, or REMOVE_AFTER_PER_ENTRY_S for each entry if that is longer. These are three
# rounds. In one round, every entry sends all its endpoints; a round takes 5 s, or 1 s per entry if
# that is longer (ALL_ENDPOINTS_EVERY_S and ALL_ENDPOINTS_SPACING_S in `entry_leases`).
REMOVE_AFTER_S = 15.0
REMOVE_AFTER_PER_ENTRY_S = 3.0


class EndpointTable:
    """The newest record of each endpoint that entries report, by endpoint id, and the disproofs."""

    def __init__(self) -> None:
        self.record_by_id: dict[str, EndpointRecord] = {}
        self._received_s_by_id: dict[str, float] = {}
        self._disproofs: set[Disproof] = set()

    def merge(self, data: bytes, now: float) -> None:
        """
        Merge a record from an entry; the newest record of an endpoint is kept.

        :param data: an `EndpointRecord`, encoded; undecodable data is ignored.
        :param now: boot-clock seconds.
        """
        try:
            record = decode(data, EndpointRecord)
        except msgspec.DecodeError:
            return
        known = self.record_by_id.get(record.endpoint)
        if known is not None and record.order() < known.order():
            # An older record of the same incarnation still shows that entries report the endpoint.
            if record.incarnation == known.incarnation:
                self._received_s_by_id[record.endpoint] = now
            return
        if record.state == GONE:
            self._remove(record.endpoint)
            return
        self.record_by_id[record.endpoint] = record
        self._received_s_by_id[record.endpoint] = now

    def record_disproofs(self, data: Iterable[bytes]) -> None:
        """
        Add disproofs: reports that an engine does not have the weight version that it announced.

        An entry recognizes this by the versions of the engine's tokens.

        :param data: encoded `Disproof` messages; those of endpoints without a record are ignored.
        """
        for encoded in data:
            try:
                disproof = decode(encoded, Disproof)
            except msgspec.DecodeError:
                continue
            if disproof.endpoint in self.record_by_id:
                self._disproofs.add(disproof)

    def pop_disproofs(self) -> tuple[Disproof, ...]:
        """Return and remove the disproofs that were added since the last call."""
        disproofs = tuple(self._disproofs)
        self._disproofs.clear()
        return disproofs

    def sweep(self, now: float, entries: int) -> None:
        """
        Remove the endpoints that no entry has reported for the removal time (see REMOVE_AFTER_S).

        :param now: boot-clock seconds.
        :param entries: number of entries with a recorded lease; the removal time grows with it.
        """
        remove_after_s = max(REMOVE_AFTER_S, entries * REMOVE_AFTER_PER_ENTRY_S)
        for endpoint, received_s in list(self._received_s_by_id.items()):
            if now - received_s > remove_after_s:
                self._remove(endpoint)

    def clear(self) -> None:
        """Remove all records and disproofs, when this daemon becomes the leader."""
        self.record_by_id.clear()
        self._received_s_by_id.clear()
        self._disproofs.clear()

    def _remove(self, endpoint: str) -> None:
        self.record_by_id.pop(endpoint, None)
        self._received_s_by_id.pop(endpoint, None)


__all__ = ["EndpointTable"]
