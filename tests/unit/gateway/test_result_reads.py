from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import Member, View
from ibisspring_core.messages.jobs import (
    COMPLETED,
    ItemResult,
    ReadListed,
    ReadResults,
    ResultsListed,
    ResultsRead,
)
from ibisspring_gateway.result_reads import INLINE_BYTES, ResultReads

RESULTS = tuple(ItemResult(f"i{number}", COMPLETED, "x" * 2000) for number in range(40))
LEADER = Member("10.0.2.1:1", "s1", "stoke", "d1", empty=False)
NEAR = Member("10.0.2.2:1", "s2", "derby", "d2", empty=False)
SPARE = Member("10.0.2.0:1", "s0", "derby", "d0", empty=True)
READ = ReadResults("j", "a", 0, 0.5, 900_000)


class _Stores:
    """The jobs' leader and a store that has applied the first `applied` results."""

    def __init__(self, applied: int) -> None:
        self.applied = applied
        self.asked: list[tuple[str, int]] = []
        self.answers = True

    async def call_jobs(self, message: ReadResults, hold_s: float = 0.0) -> object:
        self.asked.append(("leader", message.after))
        results = RESULTS[message.after :][: message.max_bytes // 2000]
        size = sum(len(one.output) for one in results)
        if message.inline_bytes is not None and size > message.inline_bytes:
            return ResultsListed(len(RESULTS), message.after + len(results))
        return ResultsRead(len(RESULTS), results)

    async def call(self, address: str, message: ReadListed, timeout_s: float) -> object:
        self.asked.append((address, message.after))
        if not self.answers:
            return Refusal(Reason.ENDPOINT_SILENT, False, None)
        return ResultsRead(len(RESULTS), RESULTS[: self.applied][message.after : message.listed])


def reads(stores: _Stores, *members: Member) -> ResultReads:
    """A reader in derby."""
    reader = ResultReads("derby")
    reader._view = SimpleNamespace(view=View(1, 1, stores=members, job_leader=LEADER.address))
    reader._client = stores
    reader._runner = stores
    reader._counters = Counters.from_config(None)
    return reader


async def test_long_texts_come_from_a_store_in_the_same_data_centre() -> None:
    # Callers read whole jobs again and again: two hundred kilobytes each time, most of what goes
    # between data centres, and all of it from the one store that hands out the work.
    stores = _Stores(applied=40)

    read = await reads(stores, LEADER, SPARE, NEAR).read(READ)

    assert read == ResultsRead(40, RESULTS)
    assert stores.asked == [("leader", 0), (NEAR.address, 0)]


@pytest.mark.parametrize("applied", [0, 25])
async def test_what_a_store_has_not_applied_yet_comes_from_the_leader(applied) -> None:
    # A trainer waits for the newest results; left out, its step ends half a second later.
    stores = _Stores(applied)

    read = await reads(stores, LEADER, NEAR).read(READ)

    assert read == ResultsRead(40, RESULTS)
    assert stores.asked[-1] == ("leader", applied)


async def test_an_answer_from_two_stores_holds_no_more_than_one_from_the_leader() -> None:
    # The newest results, which the store has not applied, came with the leader's whole measure: an
    # answer twice as long as callers take.
    stores = _Stores(applied=10)

    read = await reads(stores, LEADER, NEAR).read(replace(READ, max_bytes=40_000))

    assert read.results == RESULTS[:20]


async def test_a_silent_store_is_not_asked_again_at_once() -> None:
    stores = _Stores(applied=40)
    stores.answers = False
    reader = reads(stores, LEADER, NEAR)

    assert await reader.read(READ) == ResultsRead(40, RESULTS)
    stores.asked.clear()
    assert await reader.read(READ) == ResultsRead(40, RESULTS)

    assert stores.asked == [("leader", 0)]


async def test_a_few_new_results_come_with_the_first_answer() -> None:
    stores = _Stores(applied=40)
    after = len(RESULTS) - INLINE_BYTES // 2000

    read = await reads(stores, LEADER, NEAR).read(ReadResults("j", "a", after, 0.5, 900_000))

    assert read.results == RESULTS[after:]
    assert stores.asked == [("leader", after)]


async def test_where_the_leader_is_as_near_it_is_asked_alone() -> None:
    stores = _Stores(applied=40)
    here = Member(LEADER.address, "s1", "derby", "d1", empty=False)

    assert await reads(stores, here, NEAR).read(READ) == ResultsRead(40, RESULTS)
    assert stores.asked == [("leader", 0)]


async def test_a_failed_leader_is_told_as_before() -> None:
    stores = _Stores(applied=40)
    refusal = Refusal(Reason.NO_LEADER, False, 0.1)
    reader = reads(stores, LEADER, NEAR)
    reader._runner = SimpleNamespace(call_jobs=_answer(refusal))

    assert await reader.read(READ) is refusal


def _answer(answer: object):
    async def call(*arguments) -> object:
        return answer

    return call
