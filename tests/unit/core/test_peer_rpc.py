"""
A failed call does not cancel other tasks that call the same daemon.

After a failed call its channel is closed, and gRPC cancels the calls that are still open on the
channel. If each of these calls raised asyncio.CancelledError in its caller, as if the caller's task
had been cancelled, loops that send renewals, fetch work or report results would end without a log
line, and an operator's call would be aborted. Reproduced with two calls over one channel: the call
with a limit of 0.1 s failed with `deadline_exceeded`, and the call with a limit of 5 s raised
CancelledError 1.0 s later.
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
    """Yield a client and the address of a server that answers renewals after `SLOW_S` seconds."""

    async def answer_late(renew: Renew) -> Renew:
        await asyncio.sleep(SLOW_S)
        return renew

    address = free_address()
    server = PeerServer(address, PEER_MESSAGES)
    server.register_handler(Renew, answer_late)
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
    refused = await other

    assert isinstance(failed, Refusal)
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.ENDPOINT_SILENT
    assert not refused.not_run


async def test_cancellation_of_the_calling_task_propagates(peer) -> None:
    client, address = peer
    call = asyncio.create_task(client.call(address, RENEW, 2 * SLOW_S))
    await asyncio.sleep(0.1)

    call.cancel()

    with pytest.raises(asyncio.CancelledError):
        await call


async def test_timeout_of_the_calling_task_raises_timeout_error(peer) -> None:
    client, address = peer

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await client.call(address, RENEW, 2 * SLOW_S)
