"""Encoding of endpoint records between entries (proto/entry_peer.proto), each with its age."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.endpoints import EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ibisspring_core.endpoint_table import EndpointTable, ReceivedRecord


def encode_records(
    received: Iterable[ReceivedRecord], now: float
) -> tuple[list[bytes], list[float]]:
    """
    Encode endpoint records for a peer.

    :param received: the records to send.
    :param now: the current time in seconds on this entry's boot clock.
    :return: the encoded records and, in the same order, their ages in seconds.
    """
    records = []
    ages_s = []
    for item in received:
        records.append(encode(item.record))
        ages_s.append(max(0.0, now - item.received_at))
    return records, ages_s


def merge_records(
    table: EndpointTable, records: Sequence[bytes], ages_s: Sequence[float], now: float
) -> int:
    """
    Merge a peer's records into the table.

    A record counts as old as the age that the peer sent plus the time since the exchange began. So
    every entry removes a failed endpoint one TTL after its last announcement, however often entries
    exchange its record.

    :param table: this entry's endpoint table.
    :param records: endpoint records as the peer encoded them.
    :param ages_s: the records' ages in seconds, in the same order; records without an age are
        ignored.
    :param now: boot-clock time at which the exchange began.
    :return: the number of records that could not be decoded.
    """
    broken = 0
    for data, age_s in zip(records, ages_s, strict=False):
        try:
            record = decode(data, EndpointRecord)
        except msgspec.DecodeError:
            broken += 1
            continue
        table.merge(record, now - max(0.0, age_s), direct=False)
    return broken


__all__ = ["encode_records", "merge_records"]
