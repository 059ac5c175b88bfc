from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import Member, View
from ibisspring_core.messages.job_reads import (
    ReadListed,
    ReadResults,
    ResultsListed,
    ResultsRead,
)
from ibisspring_core.messages.jobs import (
    COMPLETED,
    ItemResult,
)
from ibisspring_gateway.result_reads import (
    INLINE_BYTES,
    MAX_LONG_READS,
    MAX_WHOLE_READS,
    ResultReads,
)

ALL_RESULTS = tuple(ItemResult(f"i{number}", COMPLETED, "x" * 2000) for number in range(40))
LEADER_STORE = Member("10.0.2.1:1", "s1", "stoke", "d1", empty=False)
NEARBY_STORE = Member("10.0.2.2:1", "s2", "derby", "d2", empty=False)
EMPTY_STORE = Member("10.0.2.0:1", "s0", "derby", "d0", empty=True)
READ_ALL = ReadResults("j", "a", 0, 0.5, 900_000)


class _Stores:
    """Fake of the leader of the jobs log and of a store that has applied `applied` results."""

    def __init__(self, applied: int) -> None:
        self.applied = applied
        self.calls: list[tuple[str, int]] = []
        self.responds = True

    async def call_jobs_leader(self, message: ReadResults, hold_s: float = 0.0) -> object:
        self.calls.append(("leader", message.after))
        results = ALL_RESULTS[message.after :][: message.max_bytes // 2000]
        size = sum(len(result.output) for result in results)
        if message.inline_bytes is not None and size > message.inline_bytes:
            return ResultsListed(len(ALL_RESULTS), message.after + len(results))
        return ResultsRead(len(ALL_RESULTS), results)

    async def call(self, address: str, message: ReadListed, timeout_s: float) -> object:
        self.calls.append((address, message.after))
        if not self.responds:
            return Refusal(Reason.ENDPOINT_SILENT, False, None)
        return ResultsRead(
            len(ALL_RESULTS), ALL_RESULTS[: self.applied][message.after : message.listed]
        )


def reader_of(stores: _Stores, *members: Member) -> ResultReads:
    """Build the service for an entry in the data centre derby."""
    reader = ResultReads("derby")
    reader._view = SimpleNamespace(view=View(1, 1, stores=members, job_leader=LEADER_STORE.address))
    reader._client = stores
    reader._runner = stores
    reader._counters = Counters.from_config(None)
    return reader


async def test_long_texts_come_from_a_store_in_the_same_data_centre() -> None:
    # Callers read the results of complete jobs repeatedly, 200 kB each time. If all results were
    # read from the leader, they would be most of the traffic between data centres, all sent by the
    # store that also dispatches the work.
    stores = _Stores(applied=40)

    read = await reader_of(stores, LEADER_STORE, EMPTY_STORE, NEARBY_STORE).read(READ_ALL)

    assert read == ResultsRead(40, ALL_RESULTS)
    assert stores.calls == [("leader", 0), (NEARBY_STORE.address, 0)]


@pytest.mark.parametrize("applied", [0, 25])
async def test_results_that_a_store_has_not_applied_are_read_from_the_leader(applied) -> None:
    # A trainer waits for the newest results, which the nearby store has not applied. If they were
    # missing from this response, the trainer's step would end half a second later.
    stores = _Stores(applied)

    read = await reader_of(stores, LEADER_STORE, NEARBY_STORE).read(READ_ALL)

    assert read == ResultsRead(40, ALL_RESULTS)
    assert stores.calls[-1] == ("leader", applied)


async def test_results_from_two_stores_stay_within_max_bytes() -> None:
    # The leader returns the results that the store has not applied. If the leader's part could have
    # `max_bytes` again, the combined response would be twice as long as callers accept.
    stores = _Stores(applied=10)

    read = await reader_of(stores, LEADER_STORE, NEARBY_STORE).read(
        replace(READ_ALL, max_bytes=40_000)
    )

    assert read.results == ALL_RESULTS[:20]


async def test_store_without_response_is_skipped_by_the_next_read() -> None:
    stores = _Stores(applied=40)
    stores.responds = False
    reader = reader_of(stores, LEADER_STORE, NEARBY_STORE)

    assert await reader.read(READ_ALL) == ResultsRead(40, ALL_RESULTS)
    stores.calls.clear()
    assert await reader.read(READ_ALL) == ResultsRead(40, ALL_RESULTS)

    assert stores.calls == [("leader", 0)]


async def test_short_results_are_in_the_first_response_of_the_leader() -> None:
    stores = _Stores(applied=40)
    after = len(ALL_RESULTS) - INLINE_BYTES // 2000

    read = await reader_of(stores, LEADER_STORE, NEARBY_STORE).read(
        ReadResults("j", "a", after, 0.5, 900_000)
    )

    assert read.results == ALL_RESULTS[after:]
    assert stores.calls == [("leader", after)]


async def test_only_the_leader_is_called_if_it_is_in_the_same_data_centre() -> None:
    stores = _Stores(applied=40)
    nearby_leader = Member(LEADER_STORE.address, "s1", "derby", "d1", empty=False)

    assert await reader_of(stores, nearby_leader, NEARBY_STORE).read(READ_ALL) == ResultsRead(
        40, ALL_RESULTS
    )
    assert stores.calls == [("leader", 0)]


async def test_refusal_of_the_leader_call_is_returned() -> None:
    stores = _Stores(applied=40)
    refusal = Refusal(Reason.NO_LEADER, False, 0.1)
    reader = reader_of(stores, LEADER_STORE, NEARBY_STORE)
    reader._runner = SimpleNamespace(call_jobs_leader=_call_that_returns(refusal))

    assert await reader.read(READ_ALL) is refusal


def _call_that_returns(answer: object):
    async def call(*arguments) -> object:
        return answer

    return call


async def test_many_long_reads_do_not_take_the_memory_of_an_entry() -> None:
    # Sixty callers read long results at the same time, and each answer was in memory three times.
    stores = _Stores(applied=40)
    under_way = most = 0
    call_jobs_leader = stores.call_jobs_leader

    async def call_slowly(message: ReadResults, hold_s: float = 0.0) -> object:
        nonlocal under_way, most
        is_long = message.inline_bytes is None
        under_way += is_long
        most = max(most, under_way)
        await asyncio.sleep(0.001)
        under_way -= is_long
        return await call_jobs_leader(message, hold_s)

    stores.call_jobs_leader = call_slowly
    nearby_leader = Member(LEADER_STORE.address, "s1", "derby", "d1", empty=False)
    reader = reader_of(stores, nearby_leader)

    read = await asyncio.gather(*(reader.read(READ_ALL) for _ in range(60)))

    assert read == [ResultsRead(40, ALL_RESULTS)] * 60
    assert most <= MAX_LONG_READS + MAX_WHOLE_READS
