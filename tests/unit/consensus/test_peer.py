from __future__ import annotations

import asyncio
import errno
import zlib
from pathlib import Path

import grpc.aio

from ibisspring_consensus.messages import Members, ReplicaId, SnapshotChunk, SnapshotMeta
from ibisspring_consensus.peer import Peer
from ibisspring_consensus.storage import Storage
from ibisspring_consensus.writer import Writer
from ibisspring_core.counters import Counters
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc

OTHER = ReplicaId("c2", "disk-2")


class Follower(consensus_pb2_grpc.ConsensusServicer):
    """gRPC service of a follower that records how many messages each `Deliver` call contains."""

    def __init__(self) -> None:
        self.delivered: asyncio.Queue[int] = asyncio.Queue()

    async def Deliver(self, request, context) -> consensus_pb2.DeliverReply:  # noqa: N802
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
