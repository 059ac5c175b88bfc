"""Votes that are lost with a connection to another daemon."""

from __future__ import annotations

import asyncio

import grpc.aio
import pytest

from ibisspring_consensus.messages import MESSAGES, ReplicaId, VoteReply, VoteRequest
from ibisspring_consensus.peer import CHECK_TIMEOUT_S, RETRY_PAUSE_S, Peer
from ibisspring_core.counters import Counters
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc
from integration.processes import free_address
from integration.proxy import FaultProxy, Mode

OTHER = ReplicaId("c2", "disk-2")
DEADLINE_S = 0.3
VOTES = (
    VoteRequest(term=3, last_index=5, last_term=2, pre=True),
    VoteReply(term=2, request_term=3, granted=True, pre=True),
)


class Voter(consensus_pb2_grpc.ConsensusServicer):
    """gRPC service of a replica that records the messages that it receives."""

    def __init__(self) -> None:
        self.received: asyncio.Queue = asyncio.Queue()

    async def Deliver(self, request, context) -> consensus_pb2.DeliverReply:  # noqa: N802
        for data in request.messages:
            self.received.put_nowait(MESSAGES.decode(data))
        return consensus_pb2.DeliverReply(disk_id=OTHER.disk_id)


async def _no_chunk(index: int, offset: int) -> None:
    return None


def peer_at(address: str, counters: Counters | None = None) -> Peer:
    own = ReplicaId("c1", "disk-1")
    counters = counters or Counters.from_config(None)
    return Peer(own, OTHER.daemon, address, DEADLINE_S, _no_chunk, lambda identity: None, counters)


@pytest.fixture
async def path():
    """Yield a voter, and a proxy on the path to it."""
    voter = Voter()
    server = grpc.aio.server()
    consensus_pb2_grpc.add_ConsensusServicer_to_server(voter, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    proxy = await FaultProxy.in_front_of(f"127.0.0.1:{port}")
    yield voter, proxy
    await proxy.stop()
    await server.stop(None)


@pytest.mark.parametrize("fault", ["silent", "reset"])
@pytest.mark.parametrize("vote", VOTES, ids=["request", "reply"])
async def test_a_vote_lost_with_its_connection_is_sent_again_over_a_new_one(
    path, vote, fault
) -> None:
    # A candidate asks for a vote only once in an election. If the vote were lost, the election
    # would fail and the log would have no leader for another election timeout.
    voter, proxy = path
    peer = peer_at(proxy.address)
    peer.start()
    peer.send(OTHER, vote)
    await asyncio.wait_for(voter.received.get(), 5.0)
    await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)

    peer.send(OTHER, vote)
    if fault == "reset":
        await asyncio.sleep(DEADLINE_S / 3)
        proxy.reset_open()

    assert await asyncio.wait_for(voter.received.get(), 2 * (DEADLINE_S + RETRY_PAUSE_S)) == vote
    await asyncio.sleep(2 * (DEADLINE_S + RETRY_PAUSE_S))
    assert voter.received.empty()
    await peer.stop()


async def test_a_vote_for_a_lost_daemon_is_dropped() -> None:
    # A daemon that is down for an hour would otherwise receive a vote of that time.
    counters = Counters.from_config(None)
    peer = peer_at(free_address(), counters)
    peer.start()
    peer.send(OTHER, VOTES[0])

    await asyncio.sleep(2 * (DEADLINE_S + RETRY_PAUSE_S))

    assert "consensus.votes_sent_again" not in counters.count_by_name
    await peer.stop()


async def test_a_checked_connection_that_is_silent_is_replaced_before_the_next_vote(path) -> None:
    # A follower does not use its connections to the other followers until an election.
    voter, proxy = path
    peer = peer_at(proxy.address)
    peer.start()
    peer.send(OTHER, VOTES[0])
    await asyncio.wait_for(voter.received.get(), 5.0)
    await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)

    peer.check_connection()
    await asyncio.sleep(CHECK_TIMEOUT_S + RETRY_PAUSE_S)
    peer.send(OTHER, VOTES[0])

    assert await asyncio.wait_for(voter.received.get(), DEADLINE_S) == VOTES[0]
    await peer.stop()


async def test_a_check_of_a_working_connection_keeps_it(path) -> None:
    voter, proxy = path
    peer = peer_at(proxy.address)
    peer.start()
    peer.send(OTHER, VOTES[0])
    await asyncio.wait_for(voter.received.get(), 5.0)

    peer.check_connection()
    await asyncio.sleep(CHECK_TIMEOUT_S)
    peer.send(OTHER, VOTES[1])

    assert await asyncio.wait_for(voter.received.get(), 5.0) == VOTES[1]
    assert proxy.accepted == 1
    await peer.stop()
