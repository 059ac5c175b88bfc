"""
Connections between core daemons that are reset, or stay open and carry nothing for good.

All open connections are hit at once, alone and while a leader is lost; new connections work. The
bounds follow from the settings of the replicas: a call on a silent connection ends after half an
election timeout, and a new connection is opened after a pause.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from ibisspring_consensus.peer import RETRY_PAUSE_S
from ibisspring_consensus.state import CoreConfig
from integration.proxy import Mode
from integration.replicas import Replicas

CONFIG = CoreConfig()
# Seconds between the steps of a test that polls.
POLL_S = 0.1
# Until a silent connection from one replica to another is replaced: the next heartbeat begins a
# call on it, the call times out, and the pause before the next one passes.
REPLACED_S = CONFIG.election_timeout_s / 2 + RETRY_PAUSE_S
# Until a write is acknowledged: heartbeats use the new connections of the leader, and then the
# replies to them those of the followers.
APPENDED_S = 2 * (CONFIG.heartbeat_s + REPLACED_S)
# Until another replica leads: the longest election timeout and one lease.
ELECTED_S = CONFIG.election_timeout_s * (1 + CONFIG.election_spread) + CONFIG.leader_lease_s
ROUNDS = 4


@asynccontextmanager
async def proxied_replicas(folder):
    """Yield three bootstrapped replicas with a proxy on each path between them."""
    replicas = Replicas.from_count(folder, 3)
    try:
        await replicas.add_proxies()
        await replicas.bootstrap()
        await replicas.accept("before")
        yield replicas
    finally:
        replicas.stop_all()


async def hit_connections(replicas: Replicas, fault: str) -> None:
    """Reset all connections between replicas that are open now, or silence them for good."""
    for proxy in replicas.proxy_by_path.values():
        if fault == "reset":
            proxy.reset_open()
        else:
            await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)


async def terms(replicas: Replicas) -> set[int]:
    return {(await replicas.local_state(daemon))["term"] for daemon in replicas.http_by_daemon}


@pytest.mark.parametrize("fault", ["reset", "silent"])
async def test_writes_go_on_after_a_fault_of_all_connections_without_an_election(
    tmp_path, fault
) -> None:
    # A follower whose leader is silent for longer than the election timeout would start an
    # election, which stops all orders and rules changes for as long.
    async with proxied_replicas(tmp_path) as replicas:
        before = await terms(replicas)
        for number in range(ROUNDS):
            leader = await replicas.leader()
            await hit_connections(replicas, fault)
            began = time.monotonic()
            accepted = await replicas.propose(leader, f"line {number}")
            took_s = time.monotonic() - began
            assert accepted is not None and "index" in accepted, accepted
            assert took_s <= APPENDED_S
        assert await terms(replicas) == before


@pytest.mark.parametrize("fault", ["reset", "silent"])
async def test_a_leader_is_elected_over_new_connections_within_its_bound(tmp_path, fault) -> None:
    """
    Guards against a second election timeout without a leader after a fault of the network.

    The leader is lost, and the connections between the others carry nothing. The requests for votes
    are lost with them; if they were sent again only with the next election, the system would have
    no leader for up to two election timeouts.
    """
    async with proxied_replicas(tmp_path) as replicas:
        took_s = []
        for number in range(ROUNDS):
            leader = await replicas.leader()
            await hit_connections(replicas, fault)
            replicas.process(leader).kill()
            began = time.monotonic()
            await replicas.leader(other_than=leader)
            took_s.append(round(time.monotonic() - began, 2))
            await replicas.accept(f"line {number}", other_than=leader)
            replicas.start(leader)
            await replicas.wait_lines(leader, [f"line {number}"])
            await asyncio.sleep(CONFIG.election_timeout_s)
        print("elected after", took_s)
        assert max(took_s) <= ELECTED_S + POLL_S
