from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import grpc
import pytest

from ibisspring_core import control_channels, control_client
from ibisspring_core.control_client import ControlClient
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import RESULTS, Done, DrainEndpoint
from ibisspring_core.pb import control_pb2, control_pb2_grpc
from integration.proxy import FaultProxy, Mode

DRAIN = DrainEndpoint("engine-1", "ana")
DONE = control_pb2.ProposeReply(status=control_pb2.OK, result=RESULTS.encode(Done()))


class _Replica(control_pb2_grpc.ControlServicer):
    """Control daemon that returns the given replies in order and repeats the last one."""

    def __init__(self, *replies: control_pb2.ProposeReply) -> None:
        self.replies = list(replies)
        self.request_ids: list[str] = []
        self.late_s: list[float] = []

    async def Propose(self, request, context):
        self.request_ids.append(request.request_id)
        await asyncio.sleep(self.late_s.pop(0) if self.late_s else 0.0)
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


@asynccontextmanager
async def _served(*replicas: _Replica):
    servers = []
    ports = []
    for replica in replicas:
        server = grpc.aio.server()
        control_pb2_grpc.add_ControlServicer_to_server(replica, server)
        ports.append(server.add_insecure_port("127.0.0.1:0"))
        await server.start()
        servers.append(server)
    client = ControlClient({f"c{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)})
    try:
        yield client
    finally:
        await client.stop()
        for server in servers:
            await server.stop(None)


@asynccontextmanager
async def _silent_address():
    """Yield the address of a server that accepts connections and bytes and never replies."""
    writers = []

    async def accept(reader, writer):
        writers.append(writer)
        while await reader.read(1024):
            pass

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        for writer in writers:
            writer.close()
        server.close()


def _not_leader(hint: str) -> control_pb2.ProposeReply:
    return control_pb2.ProposeReply(status=control_pb2.NOT_LEADER, leader_hint=hint)


async def test_leader_is_found_by_redirect_and_remembered() -> None:
    follower = _Replica(_not_leader("c1"))
    leader = _Replica(DONE)
    async with _served(follower, leader) as client:
        client._rotation = 1

        assert await client.propose(DRAIN, "r1") == Done()
        assert await client.propose(DRAIN, "r2") == Done()

    assert follower.request_ids == ["r1"]
    assert leader.request_ids == ["r1", "r2"]


async def test_unknown_outcome_is_retried_under_the_same_request_id() -> None:
    unknown = control_pb2.ProposeReply(status=control_pb2.UNKNOWN)
    replica = _Replica(unknown, _not_leader(""), DONE)
    async with _served(replica) as client:
        assert await client.propose(DRAIN, "r1") == Done()

    assert replica.request_ids == ["r1"] * 3


async def test_silent_replica_does_not_block_a_command(monkeypatch) -> None:
    """
    The connection to one control VM accepts bytes and never returns a reply.

    Without a time limit on each try, the client would wait for this VM until the entry's lease
    lapses, although a healthy leader exists.
    """
    monkeypatch.setattr(control_client, "TRY_S", 0.3)
    async with _served(_Replica(DONE)) as client, _silent_address() as silent:
        client.address_by_daemon["silent"] = silent
        client._leader_address = silent

        assert await client.propose(DRAIN, "r1") == Done()


async def test_an_unresponsive_connection_is_replaced_while_new_ones_work(monkeypatch) -> None:
    """
    A firewall loses the state of the connection to the leader, whose VM is healthy.

    If the client kept the channel, it would send every later command over the dead connection.
    """
    monkeypatch.setattr(control_client, "TRY_S", 0.3)
    replica = _Replica(DONE)
    async with _served(replica) as client:
        proxy = await FaultProxy.in_front_of(client.address_by_daemon["c0"])
        client.address_by_daemon["c0"] = proxy.address
        assert await client.propose(DRAIN, "r1") == Done()
        await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)

        assert await client.propose(DRAIN, "r2") == Done()

        assert proxy.accepted == 2
        await proxy.stop()


@pytest.mark.parametrize("unknown", [False, True])
async def test_not_run_is_reported_only_when_nothing_can_have_been_committed(unknown) -> None:
    """
    An operator drains an endpoint; the only reply says that the outcome is unknown, and after it
    there is no leader.

    With `not_run` the operator would assume that the drain was not applied, although it may be in
    the log.
    """
    status = control_pb2.UNKNOWN if unknown else control_pb2.NOT_LEADER
    replica = _Replica(control_pb2.ProposeReply(status=status), _not_leader(""))
    async with _served(replica) as client:
        refusal = await client.propose(DRAIN, "r1", total_s=0.5)

    assert refusal == Refusal(Reason.NO_LEADER, not unknown, 1.0, "no control daemon answered")


async def test_a_refused_connection_is_reported_as_not_run() -> None:
    client = ControlClient({"c1": "127.0.0.1:1"})

    refusal = await client.propose(DRAIN, "r1", total_s=0.5)

    assert refusal.not_run
    await client.stop()


async def test_replacing_a_channel_cancels_no_call_that_uses_it(monkeypatch) -> None:
    # A channel is replaced while a call on it is open, and gRPC cancels this call. If the
    # CancelledError propagated, it would end the calling task, which was not cancelled.
    monkeypatch.setattr(control_channels, "CLOSE_GRACE_S", 0.1)
    replica = _Replica(DONE)
    replica.late_s = [1.0]
    async with _served(replica) as client:
        command = asyncio.create_task(client.propose(DRAIN, "r1"))
        (address,) = client.address_by_daemon.values()
        await asyncio.sleep(0.3)

        client._channels.replace(address)

        assert await command == Done()
    assert replica.request_ids == ["r1", "r1"]
