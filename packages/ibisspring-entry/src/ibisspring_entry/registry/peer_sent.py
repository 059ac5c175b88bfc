"""Tracks what was sent to one peer: a complete record once, then only refreshes of it."""

from __future__ import annotations

import dataclasses
import operator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.pb import entry_peer_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.endpoint_table import ReceivedRecord


@dataclass(frozen=True)
class Delta:
    """
    The endpoint records that one exchange sends to a peer.

    :param complete: complete records that the peer may lack or whose content changed.
    :param refreshes: updates of records of which only the sequence and the load changed.
    """

    complete: tuple[ReceivedRecord, ...]
    refreshes: tuple[entry_peer_pb2.Refresh, ...]


@dataclass
class SentToPeer:
    """
    The records that a peer has acknowledged.

    :param sent_until: boot-clock time of the last successful exchange; announcements received
        before it are not sent again.
    :param content_by_endpoint: each record as the peer has it, without sequence and load.
    """

    sent_until: float = 0.0
    content_by_endpoint: dict[str, tuple] = field(default_factory=dict)

    def delta(self, received: Iterable[ReceivedRecord], now: float) -> Delta:
        """
        Select the records and refreshes that the peer lacks.

        Records received from other peers are not forwarded: every entry exchanges with every other
        entry, and n entries that forwarded records would send n^2 copies of each announcement.

        :param received: all records of this entry's endpoint table.
        :param now: the current time in seconds on this entry's boot clock.
        :return: the records and refreshes to send.
        """
        complete = []
        refreshes = []
        for item in received:
            if not item.direct or item.received_at < self.sent_until:
                continue
            record = item.record
            known = self.content_by_endpoint.get(record.endpoint)
            if record.state != SERVING or known != content_of(record):
                complete.append(item)
                continue
            refreshes.append(refresh_of(record, now - item.received_at))
        return Delta(tuple(complete), tuple(refreshes))

    def record_acknowledged(self, delta: Delta, began: float) -> None:
        """
        Record that the peer received a delta.

        :param delta: the records and refreshes that were sent.
        :param began: boot-clock time at which the exchange began.
        """
        self.sent_until = began
        for item in delta.complete:
            self.content_by_endpoint[item.record.endpoint] = content_of(item.record)

    def forget_all(self) -> None:
        """Forget all acknowledged records: the peer may have restarted and lost them."""
        self.content_by_endpoint.clear()


CHANGING_FIELDS = ("sequence", "load")
content_of = operator.attrgetter(
    *(item.name for item in dataclasses.fields(EndpointRecord) if item.name not in CHANGING_FIELDS)
)
"""Returns a record's fields except those that change with each announcement."""


def refresh_of(record: EndpointRecord, age_s: float) -> entry_peer_pb2.Refresh:
    """
    Encode a refresh, which updates sequence, load and age of a record that the peer has.

    :param record: this entry's newest record of the endpoint.
    :param age_s: seconds since the endpoint's last announcement.
    """
    return entry_peer_pb2.Refresh(
        endpoint=record.endpoint,
        incarnation=record.incarnation,
        sequence=record.sequence,
        running=record.load.running,
        queued=record.load.queued,
        capacity=record.load.capacity,
        age_s=max(0.0, age_s),
    )


__all__ = ["Delta", "SentToPeer", "content_of", "refresh_of"]
