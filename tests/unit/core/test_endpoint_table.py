from __future__ import annotations

import dataclasses

from ibisspring_core.endpoint_table import DELETE_AFTER_TTLS, EndpointTable
from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_entry.registry.peer_sent import SentToPeer
from ibisspring_entry.registry.peer_wire import encode_records, merge_records

TTL_S = 5.0
FIRST = EndpointRecord(
    endpoint="scorer-1",
    incarnation=1,
    sequence=1,
    service="scorer-lm",
    role="engine",
    kind="standard",
    data_centre="derby",
    address="127.0.0.1:9",
)


def after(record: EndpointRecord, **changes: object) -> EndpointRecord:
    """Return the next announcement of the same incarnation."""
    return dataclasses.replace(record, sequence=record.sequence + 1, **changes)


def serves(table: EndpointTable, now: float) -> bool:
    return bool(table.serving("scorer-lm", now))


def test_a_leaving_endpoint_serves_again_only_after_a_restart() -> None:
    # An endpoint has announced LEAVING. Then an earlier SERVING announcement arrives late through
    # another entry, or a faulty endpoint announces SERVING again. If the table accepted it,
    # requests would be sent to an endpoint that is about to stop.
    table = EndpointTable(TTL_S)
    leaving = after(FIRST, state="leaving")
    table.merge(leaving, 10.0)

    assert table.merge(FIRST, 10.1) != ""
    assert table.merge(after(leaving, state="serving"), 10.2) != ""
    assert not serves(table, 10.2)
    assert table.merge(dataclasses.replace(FIRST, incarnation=2), 10.3) == ""
    assert serves(table, 10.3)


def test_peers_do_not_renew_each_others_record_of_a_dead_endpoint() -> None:
    # An engine dies. If two entries renewed each other's record of the engine, requests would be
    # sent to a dead machine until the entries are restarted.
    tables = [EndpointTable(TTL_S), EndpointTable(TTL_S)]
    tables[0].merge(FIRST, 0.0)

    for step in range(1, 40):
        now = step * 0.25
        for sender, receiver in (tables, tables[::-1]):
            merge_records(receiver, *encode_records(sender.records(), now), now)
            receiver.expire(now)

    assert not any(serves(table, 10.0) for table in tables)
    assert not any(serves(table, TTL_S + 0.1) for table in tables)


def test_refreshes_renew_known_records_and_create_none() -> None:
    # A peer receives the complete record once and then only refreshes (sequence number and load). A
    # restarted peer receives refreshes of endpoints whose records it does not have, and must not
    # create records from them.
    sender, known, restarted = (EndpointTable(TTL_S) for _ in range(3))
    sent = SentToPeer()
    record = FIRST
    for step in range(20):
        now = step * 1.0
        record = after(record, load=EndpointLoad(running=step))
        sender.merge(record, now)
        delta = sent.delta(sender.records(), now)
        assert len(delta.complete) == (1 if step == 0 else 0)
        sent.record_acknowledged(delta, now)
        merge_records(known, *encode_records(delta.complete, now), now)
        for refresh in delta.refreshes:
            load = EndpointLoad(refresh.running, refresh.queued, refresh.capacity)
            start = (refresh.endpoint, refresh.incarnation)
            for table in (known, restarted):
                table.refresh(start, refresh.sequence, load, now - refresh.age_s)

    assert known.serving("scorer-lm", 19.0)[0].load.running == 19
    assert not serves(restarted, 19.0)
    assert restarted.digest() not in (0, known.digest())
    assert sent.delta(sender.records(), 20.0).complete == ()
    sent.forget_all()
    sender.merge(after(record), 20.0)
    assert len(sent.delta(sender.records(), 20.0).complete) == 1


def test_a_refresh_does_not_make_a_leaving_endpoint_serve_again() -> None:
    table = EndpointTable(TTL_S)
    table.merge(after(FIRST, state="leaving"), 0.0)

    table.refresh(("scorer-1", 1), 9, EndpointLoad(), 1.0)

    assert not serves(table, 1.0)


def test_a_refresh_for_another_incarnation_is_ignored() -> None:
    # An endpoint restarted with other weights. If its refresh renewed the record of the earlier
    # incarnation, requests would be sent to it for weights that it no longer has.
    table = EndpointTable(TTL_S)
    table.merge(FIRST, 0.0)

    table.refresh(("scorer-1", 2), 9, EndpointLoad(running=7), 1.0)

    assert table.serving("scorer-lm", 1.0) == (FIRST,)


def test_an_expired_endpoint_serves_again_after_its_next_announcement() -> None:
    table = EndpointTable(TTL_S)
    table.merge(FIRST, 0.0)

    assert table.expire(TTL_S + 1) == ("scorer-1",)
    table.merge(after(FIRST), TTL_S + 2)

    assert serves(table, TTL_S + 2)


def test_a_load_change_is_sent_to_the_leader_only_for_a_leaving_endpoint() -> None:
    table = EndpointTable(TTL_S)
    table.merge(FIRST, 0.0)
    table.changed.clear()

    busy = after(FIRST, load=EndpointLoad(running=3))
    table.merge(busy, 0.5)
    assert not table.changed

    leaving = after(busy, state="leaving")
    table.merge(leaving, 1.0)
    table.changed.clear()
    table.merge(after(leaving, load=EndpointLoad(running=0)), 1.5)
    assert table.changed == {"scorer-1"}


def test_equal_tables_have_equal_digests_regardless_of_order() -> None:
    second = dataclasses.replace(FIRST, endpoint="scorer-2")
    tables = [EndpointTable(TTL_S), EndpointTable(TTL_S)]
    for table, records in zip(tables, [(FIRST, second), (second, after(FIRST))], strict=True):
        for record in records:
            table.merge(record, 0.0)

    assert tables[0].digest() == tables[1].digest()
    tables[1].merge(after(after(FIRST), state="leaving"), 0.1)
    assert tables[0].digest() != tables[1].digest()


def test_only_the_newest_start_at_an_address_serves_after_each_change_of_the_table() -> None:
    table = EndpointTable(TTL_S)
    newer = dataclasses.replace(FIRST, endpoint="scorer-2", incarnation=2)

    def serving(now: float) -> list[str]:
        return [record.endpoint for record in table.serving("scorer-lm", now)]

    table.merge(FIRST, 0.0)
    assert serving(0.0) == ["scorer-1"]
    table.merge(newer, 0.0)
    assert serving(0.0) == ["scorer-2"]
    later = TTL_S * DELETE_AFTER_TTLS + 0.1
    table.merge(after(FIRST), later)
    assert serving(later) == []
    table.expire(later)
    assert serving(later) == ["scorer-1"]
