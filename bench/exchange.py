"""Bytes and processor time of the exchange between entries, by counts of endpoints and entries."""

from __future__ import annotations

import time

from bench._report import print_table
from ibisspring_core.endpoint_table import EndpointTable, ReceivedRecord
from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_core.pb import entry_peer_pb2
from ibisspring_entry.registry.peer_sent import Delta, SentToPeer
from ibisspring_entry.registry.peer_wire import encode_records, merge_records
from ibisspring_entry.registry.peers import EXCHANGE_EVERY_S

# Endpoints and entries of each row.
SIZES = ((5, 3), (16, 9), (60, 38), (600, 380))
ANNOUNCE_EVERY_S = 1.0
ROUNDS = 20


def record(number: int) -> EndpointRecord:
    """Return the record of an engine with three trainers' adapters and a full list of prefixes."""
    return EndpointRecord(
        endpoint=f"engine-{number:04}",
        incarnation=1_790_000_000_000 + number,
        sequence=100_000,
        service="scorer-lm",
        role="engine",
        kind="cheap",
        data_centre="birmingham",
        address="10.20.30.40:12345",
        version_by_adapter={f"trainer-{trainer}": 120 for trainer in range(3)},
        load=EndpointLoad(6, 2, 8),
        prefixes=tuple(f"{prefix:016x}" for prefix in range(8)),
    )


def exchange(table: EndpointTable, received: list[ReceivedRecord], full_records: bool) -> bytes:
    """Encode, decode and apply one exchange; returns its bytes."""
    sent = SentToPeer()
    if not full_records:
        sent.record_acknowledged(Delta(tuple(received), ()), 0.0)
    delta = sent.delta(received, 1.0)
    records, ages_s = encode_records(delta.complete, 1.0)
    request = entry_peer_pb2.ExchangeRequest(
        daemon="e1", endpoints=records, ages_s=ages_s, refreshes=delta.refreshes, digest=1 << 63
    )
    data = request.SerializeToString()
    decoded = entry_peer_pb2.ExchangeRequest.FromString(data)
    merge_records(table, decoded.endpoints, decoded.ages_s, 1.0)
    for refresh in decoded.refreshes:
        load = EndpointLoad(refresh.running, refresh.queued, refresh.capacity)
        start = (refresh.endpoint, refresh.incarnation)
        table.refresh(start, refresh.sequence, load, 1.0 - refresh.age_s)
    return data


def measure(endpoints: int, entries: int, full_records: bool) -> tuple[str, ...]:
    """Measure bytes and processor time a second of one entry's exchanges with all others."""
    received = [ReceivedRecord(record(number), 0.0, True) for number in range(endpoints)]
    table = EndpointTable(5.0)
    for entry_record in received:
        table.merge(entry_record.record, 0.0)
    # Each announcement reaches one entry; each exchange carries the announcements of its interval.
    share = endpoints / entries / ANNOUNCE_EVERY_S * EXCHANGE_EVERY_S
    count = max(1, round(share))
    exchanges_s = (entries - 1) / EXCHANGE_EVERY_S
    started_s = time.process_time()
    for _ in range(ROUNDS):
        data = exchange(table, received[:count], full_records)
    cpu_s = (time.process_time() - started_s) / ROUNDS
    empty = len(entry_peer_pb2.ExchangeRequest(daemon="e1", digest=1 << 63).SerializeToString())
    record_bytes = (len(data) - empty) / count
    kilobytes = (empty + record_bytes * share) * exchanges_s / 1024
    return (
        str(entries),
        str(endpoints),
        "whole" if full_records else "refreshes",
        f"{record_bytes:.0f}",
        f"{kilobytes:.1f}",
        f"{cpu_s * exchanges_s * 100:.2f}",
    )


def main() -> None:
    """Measure and print; the processor time does not include that of gRPC."""
    rows = [measure(*size, full_records) for size in SIZES for full_records in (True, False)]
    header = ("entries", "endpoints", "sent", "bytes a record", "KB/s of an entry", "% of a core")
    print_table(header, rows)


if __name__ == "__main__":
    main()
