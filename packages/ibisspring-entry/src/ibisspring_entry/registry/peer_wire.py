"""Records on the wire between entries (proto/entry_peer.proto), each with its age."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.endpoints import EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ibisspring_core.endpoint_table import EndpointTable, Heard


def pack(heard: Iterable[Heard], now: float) -> tuple[list[bytes], list[float]]:
    """
    Encode records.

    :param heard: what to send.
    :param now: seconds on this entry's boot clock.
    :return: the records and their ages in seconds.
    """
    records = []
    ages_s = []
    for one in heard:
        records.append(encode(one.record))
        ages_s.append(max(0.0, now - one.heard_at))
    return records, ages_s


def take_all(
    table: EndpointTable, records: Sequence[bytes], ages_s: Sequence[float], now: float
) -> int:
    """
    Take a peer's records into the table.

    A peer's word is as old as the peer says, and older by its way, which counts from when the
    exchange began: so an endpoint that died is gone everywhere one TTL after it was last heard,
    however many entries tell each other of it.

    :param table: this entry's table.
    :param records: encoded records.
    :param ages_s: their ages; a record without one is not believed.
    :param now: when the exchange began, on this entry's boot clock.
    :return: how many could not be read.
    """
    broken = 0
    for data, age_s in zip(records, ages_s, strict=False):
        try:
            record = decode(data, EndpointRecord)
        except msgspec.DecodeError:
            broken += 1
            continue
        table.take(record, now - max(0.0, age_s), first_hand=False)
    return broken


__all__ = ["pack", "take_all"]
