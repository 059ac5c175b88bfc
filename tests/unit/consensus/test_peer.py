from __future__ import annotations

import asyncio
import errno
import os
import zlib
from pathlib import Path

import grpc.aio

from ibisspring_consensus.messages import (
    COMMAND,
    MESSAGES,
    AppendRequest,
    Entry,
    Members,
    ReplicaId,
    SnapshotChunk,
    SnapshotMeta,
)
from ibisspring_consensus.node import MAX_COMMAND_BYTES
from ibisspring_consensus.peer import MAX_BATCH_BYTES, MAX_MESSAGE_BYTES, Peer
from ibisspring_consensus.storage import Storage
from ibisspring_consensus.writer import Writer
from ibisspring_core.counters import Counters
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc

OTHER = ReplicaId("c2", "disk-2")


class Follower(consensus_pb2_grpc.ConsensusServicer):
    """gRPC service of a follower that records how many messages each `Deliver` call contains."""

    def __init__(self) -> None:
        self.delivered: asyncio.Queue[int] = asyncio.Queue()
        self.sizes: list[int] = []
        self.indexes: list[int] = []

    async def Deliver(self, request, context) -> consensus_pb2.DeliverReply:  # noqa: N802
        self.sizes.append(request.ByteSize())
        for message in map(MESSAGES.decode, request.messages):
            self.indexes += [entry.index for entry in getattr(message, "entries", ())]
        self.delivered.put_nowait(len(request.messages))
        return consensus_pb2.DeliverReply(disk_id=OTHER.disk_id)


async def test_a_leader_sends_to_a_follower_again_after_a_failed_snapshot_read(
    tmp_path, monkeypatch
) -> None:
    # A leader has no free file descriptor while it reads a snapshot to send it to a follower. If
    # the failed read ended the task that sends to this follower, the leader would send nothing to
    # the follower from then on.
    storage = Storage.from_folder(tmp_path / "consensus")
    meta = SnapshotMeta(1, 1, Members(), 5, zlib.crc32(b"state"))
    storage.write_snapshot(meta, b"state")
    writer = Writer(storage, lambda sequence: None, lambda: None)
    follower = Follower()
    server = grpc.aio.server()
    consensus_pb2_grpc.add_ConsensusServicer_to_server(follower, server)
    address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    await server.start()

    async def read_chunk(index: int, offset: int) -> bytes | None:
        return await writer.read_snapshot(index, offset, 100)

    own = ReplicaId("c1", storage.disk_id)
    counters = Counters.from_config(None)
    peer = Peer(own, OTHER.daemon, address, 5.0, read_chunk, lambda identity: None, counters)
    peer.start()

    def without_descriptors(*arguments, **options):
        raise OSError(errno.EMFILE, "Too many open files")

    chunk = SnapshotChunk(term=1, meta=meta, offset=0, round=1)
    async with asyncio.timeout(10.0):
        monkeypatch.setattr(Path, "open", without_descriptors)
        peer.send(OTHER, chunk)
        assert await follower.delivered.get() == 0
        monkeypatch.undo()
        peer.send(OTHER, chunk)
        assert await follower.delivered.get() == 1
    await peer.stop()
    await server.stop(None)
    await writer.stop()


async def test_large_entries_reach_a_follower_in_calls_that_it_accepts() -> None:
    # A call that took several entries, or one entry, beyond the limit of a message failed each
    # time it was repeated, and nothing behind it was replicated.
    follower = Follower()
    server = grpc.aio.server(options=[("grpc.max_receive_message_length", MAX_MESSAGE_BYTES)])
    consensus_pb2_grpc.add_ConsensusServicer_to_server(follower, server)
    address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    await server.start()
    counters = Counters.from_config(None)
    own = ReplicaId("c1", "disk-1")
    peer = Peer(own, OTHER.daemon, address, 0.35, None, lambda identity: None, counters)
    peer.start()

    sizes = [MAX_BATCH_BYTES // 2] * 5 + [MAX_COMMAND_BYTES] * 3 + [1] * 5
    for index, size in enumerate(sizes, 1):
        entry = Entry(index, 1, COMMAND, os.urandom(size))
        peer.send(OTHER, AppendRequest(1, index - 1, 1, 0, 1, (entry,)))
    async with asyncio.timeout(20.0):
        while len(follower.indexes) < len(sizes):
            await follower.delivered.get()

    assert follower.indexes == list(range(1, len(sizes) + 1))
    assert max(follower.sizes) < MAX_COMMAND_BYTES + MAX_BATCH_BYTES < MAX_MESSAGE_BYTES
    assert not [name for name in counters.count_by_name if "deliver_failed" in name]
    await peer.stop()
    await server.stop(None)
