"""
Connections to several daemons that go silent at once.

A caller searches for a leader among daemons to all of which it has open connections. If each silent
one were found out by a timeout of its own, the search would last as many timeouts.
"""

from __future__ import annotations

import pytest

from ibisspring_core.clock import boot_now
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.directory import Renew
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import MIN_SILENCE_S, PeerClient, PeerServer
from integration.processes import free_address
from integration.proxy import FaultProxy, Mode

RENEW = Renew("10.0.0.1:1", "e1", "derby", "i", "entry")
TIMEOUT_S = MIN_SILENCE_S


@pytest.fixture
async def proxies():
    """Yield a client, and the proxies in front of three daemons that it has called."""

    async def answer(renew: Renew) -> Renew:
        return renew

    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    servers = []
    proxies = []
    for _ in range(3):
        address = free_address()
        server = PeerServer(address, PEER_MESSAGES)
        server.register_handler(Renew, answer)
        await server.start(None)
        servers.append(server)
        proxies.append(await FaultProxy.in_front_of(address))
        assert await client.call(proxies[-1].address, RENEW, 5.0) == RENEW
    yield client, proxies
    await client.stop()
    for proxy in proxies:
        await proxy.stop()
    for server in servers:
        await server.stop()


async def test_only_the_first_of_several_silent_connections_costs_a_timeout(proxies) -> None:
    client, proxies = proxies
    for proxy in proxies:
        await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)
    began_s = boot_now()

    answers = [await client.call(proxy.address, RENEW, TIMEOUT_S) for proxy in proxies]

    assert isinstance(answers[0], Refusal)
    assert answers[1:] == [RENEW, RENEW]
    assert boot_now() - began_s < 2 * TIMEOUT_S


async def test_a_connection_that_was_answered_since_is_kept(proxies) -> None:
    client, proxies = proxies
    await proxies[0].set_modes_of_open(Mode.SILENT, Mode.SILENT)
    await client.call(proxies[0].address, RENEW, TIMEOUT_S)

    for _ in range(3):
        assert await client.call(proxies[1].address, RENEW, TIMEOUT_S) == RENEW

    # One new connection after the timeout, and none for the calls after it.
    assert proxies[1].accepted == 2


async def test_a_short_call_that_times_out_replaces_no_other_connection(proxies) -> None:
    # Short calls end before a slow daemon has answered.
    client, proxies = proxies
    await proxies[0].set_modes_of_open(Mode.SILENT, Mode.SILENT)
    await client.call(proxies[0].address, RENEW, TIMEOUT_S / 2)

    assert await client.call(proxies[1].address, RENEW, TIMEOUT_S) == RENEW
    assert proxies[1].accepted == 1
