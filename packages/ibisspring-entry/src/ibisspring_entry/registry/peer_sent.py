"""What one peer was given: whole records once, then only that they go on."""

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

    from ibisspring_core.endpoint_table import Heard


@dataclass(frozen=True)
class Delta:
    """
    What one exchange carries.

    :param whole: records that the peer may lack, or whose content changed.
    :param refreshes: records of which only the sequence and the load changed.
    """

    whole: tuple[Heard, ...]
    refreshes: tuple[entry_peer_pb2.Refresh, ...]


@dataclass
class SentToPeer:
    """
    What a peer has acknowledged.

    :param until: announcements heard before this moment need not be sent.
    :param content_by_endpoint: each record as the peer has it, without sequence and load.
    """

    until: float = 0.0
    content_by_endpoint: dict[str, tuple] = field(default_factory=dict)

    def delta(self, heard: Iterable[Heard], now: float) -> Delta:
        """
        Choose what the peer lacks.

        Relayed records are not passed on: every entry hears from every other, and n entries that
        pass on what they heard would send n^2 copies of each announcement.

        :param heard: this entry's table.
        :param now: seconds on this entry's boot clock.
        :return: what to send.
        """
        whole = []
        refreshes = []
        for one in heard:
            if not one.first_hand or one.heard_at < self.until:
                continue
            record = one.record
            known = self.content_by_endpoint.get(record.endpoint)
            if record.state != SERVING or known != content_of(record):
                whole.append(one)
                continue
            refreshes.append(refresh_of(record, now - one.heard_at))
        return Delta(tuple(whole), tuple(refreshes))

    def acknowledged(self, delta: Delta, began: float) -> None:
        """
        Note that the peer took a delta.

        :param delta: what was sent.
        :param began: when the exchange began.
        """
        self.until = began
        for one in delta.whole:
            self.content_by_endpoint[one.record.endpoint] = content_of(one.record)

    def lost(self) -> None:
        """The exchange failed: the peer may have started again, and know nothing."""
        self.content_by_endpoint.clear()


CHANGING_FIELDS = ("sequence", "load")
content_of = operator.attrgetter(
    *(one.name for one in dataclasses.fields(EndpointRecord) if one.name not in CHANGING_FIELDS)
)
"""Everything of a record but what changes with each announcement."""


def refresh_of(record: EndpointRecord, age_s: float) -> entry_peer_pb2.Refresh:
    """
    Encode that a record goes on.

    :param record: the record.
    :param age_s: seconds since its endpoint was heard.
    :return: the message.
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
