"""
A failed call ends no other task that calls the same daemon.

A call that fails leaves its channel, and gRPC then cancels the calls that are still open on it:
each raised asyncio.CancelledError in its caller, as if the caller itself had been cancelled. A
loop that renews, takes work or reports results ended by it without a line; an operator's call was
broken off. Seen in a run of two calls over one channel: the one with 0.1 s to go failed with
`deadline_exceeded`, the one with 5 s raised CancelledError 1.0 s later.
"""

from __future__ import annotations

import asyncio

import pytest

from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import Renew
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import STOP_GRACE_S, PeerClient, PeerServer
from integration.processes import free_address

SLOW_S = 3 * STOP_GRACE_S
RENEW = Renew("10.0.0.1:1", "e1", "derby", "i", "entry")


@pytest.fixture
async def peer():
    """A client, and the address of a server that answers renewals late."""

    async def answer_late(renew: Renew) -> Renew:
        await asyncio.sleep(SLOW_S)
        return renew

    address = free_address()
    server = PeerServer(address, PEER_MESSAGES)
    server.answer(Renew, answer_late)
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    await server.start(None)
    yield client, address
    await client.stop()
    await server.stop()


async def test_a_failed_call_cancels_no_other_caller(peer) -> None:
    client, address = peer
    other = asyncio.create_task(client.call(address, RENEW, 2 * SLOW_S))
    await asyncio.sleep(0.1)

    failed = await client.call(address, RENEW, 0.1)
    left = await other

    assert isinstance(failed, Refusal)
    assert isinstance(left, Refusal)
    assert left.reason is Reason.ENDPOINT_SILENT
    assert not left.not_run


async def test_a_caller_that_is_cancelled_stays_cancelled(peer) -> None:
    client, address = peer
    call = asyncio.create_task(client.call(address, RENEW, 2 * SLOW_S))
    await asyncio.sleep(0.1)

    call.cancel()

    with pytest.raises(asyncio.CancelledError):
        await call


async def test_a_callers_own_timeout_is_a_timeout(peer) -> None:
    client, address = peer

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await client.call(address, RENEW, 2 * SLOW_S)
