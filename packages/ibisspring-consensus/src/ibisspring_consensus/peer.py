"""The connection to one other daemon, with a task that sends the messages queued for it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import eliot
import grpc
import grpc.aio

from ibisspring_consensus.messages import (
    MESSAGES,
    Message,
    ReplicaId,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc
from ibisspring_core.peer_rpc import compression_for

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters

# Logs of earlier releases hold entries up to the largest message between daemons.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# A call whose messages have this size takes no further one, so that it ends within its time limit.
MAX_BATCH_BYTES = 1024 * 1024
# Bytes per second that a connection is expected to carry at least; extends the time limit of a call
# with a large message.
MIN_BYTES_PER_S = 16 * 1024 * 1024
# Number of messages queued for one peer. If the peer does not answer, the oldest queued messages
# are dropped first; the core resends those that are still needed.
MAX_OUTBOX_MESSAGES = 512
# Milliseconds without an acknowledgement of a keepalive ping or of sent data after which a
# connection is closed as dead. On a healthy path, two lost packets are retransmitted within this
# time.
TCP_USER_TIMEOUT_MS = 1000
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", TCP_USER_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    # The library's default backoff between connection attempts grows to two minutes, much longer
    # than most network partitions.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # Without its own connection pool, a new channel would reuse the connection of the old channel,
    # which no longer responds.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)
RETRY_PAUSE_S = 0.1
# Time limit in seconds of a call without messages that checks a connection.
CHECK_TIMEOUT_S = 0.2

ReadChunk = Callable[[int, int], Awaitable[bytes | None]]


@dataclass(frozen=True)
class Identity:
    """
    The replica that answered a call, as it identifies itself in its answer.

    :param replica: daemon and disk id of the replica.
    :param empty: whether the replica's disk has never taken part in a cluster.
    :param cluster: id of the cluster that the disk belongs to; empty for none.
    """

    replica: ReplicaId
    empty: bool
    cluster: str = ""


def open_channel(address: str) -> grpc.aio.Channel:
    """
    Open a gRPC channel that shares its connection with no other channel.

    :param address: IP:port of the other daemon.
    """
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


class Peer:
    """Queue of the messages to one other daemon (the outbox), and the connection to this daemon."""

    def __init__(
        self,
        own: ReplicaId,
        daemon: str,
        address: str,
        deadline_s: float,
        read_chunk: ReadChunk,
        on_identity: Callable[[Identity], None],
        counters: Counters,
    ) -> None:
        self.daemon = daemon
        self._own = own
        self._address = address
        self._deadline_s = deadline_s
        self._read_chunk = read_chunk
        self._on_identity = on_identity
        self._counters = counters
        self._outbox: deque[tuple[ReplicaId, Message]] = deque(maxlen=MAX_OUTBOX_MESSAGES)
        self._wake = asyncio.Event()
        self._stopping = False
        self._channel: grpc.aio.Channel | None = None
        # Whether the other daemon has answered a call on the channel.
        self._channel_answered = False
        self._check_due = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that sends the messages in the outbox."""
        self._task = asyncio.create_task(self._run(), name=f"consensus:peer:{self.daemon}")

    async def stop(self) -> None:
        """Send the queued messages within the call deadline, end the task and close the channel."""
        if self._task is not None:
            self._stopping = True
            self._wake.set()
            await asyncio.wait([self._task], timeout=self._deadline_s)
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._channel is not None:
            await self._channel.close()

    def send(self, target: ReplicaId, message: Message) -> None:
        """Queue a message to the daemon; it may be lost, and a vote may arrive twice."""
        self._outbox.append((target, message))
        self._wake.set()

    def check_connection(self) -> None:
        """Find out soon whether the connection still works, and replace it if not."""
        self._check_due = True
        self._wake.set()

    async def _run(self) -> None:
        while not self._stopping:
            await self._wake.wait()
            self._wake.clear()
            while self._outbox:
                await self._send_batch()
            if self._check_due:
                await self._check_channel()

    async def _send_batch(self) -> None:
        votes, request = await self._build_batch()
        if self._channel is None:
            self._channel = open_channel(self._address)
            self._channel_answered = False
        stub = consensus_pb2_grpc.ConsensusStub(self._channel)
        try:
            size = request.ByteSize()
            self._counters.add("consensus.sent_bytes", size)
            compression = compression_for(size)
            timeout_s = self._deadline_s + size / MIN_BYTES_PER_S
            reply = await stub.Deliver(request, timeout=timeout_s, compression=compression)
        except grpc.aio.AioRpcError as error:
            code = error.code().name.lower()
            self._counters.add(f"consensus.deliver_failed.{code}")
            if error.code() is not grpc.StatusCode.UNAVAILABLE:
                eliot.log_message(
                    "consensus:not_delivered",
                    daemon=self.daemon,
                    reason=code,
                    bytes=size,
                    messages=len(request.messages),
                )
            await self._discard_channel()
            self._queue_votes_again(votes)
            return
        self._channel_answered = True
        replica = ReplicaId(self.daemon, reply.disk_id)
        self._on_identity(Identity(replica, reply.empty, reply.cluster))

    async def _check_channel(self) -> None:
        """Make a call without messages on the open channel, and discard it without an answer."""
        self._check_due = False
        if self._channel is None:
            return
        request = consensus_pb2.DeliverRequest(daemon=self._own.daemon, disk_id=self._own.disk_id)
        stub = consensus_pb2_grpc.ConsensusStub(self._channel)
        try:
            await stub.Deliver(request, timeout=CHECK_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._counters.add(f"consensus.check_failed.{error.code().name.lower()}")
            await self._discard_channel()

    async def _discard_channel(self) -> None:
        """
        Close the channel after a failed call, and wait `RETRY_PAUSE_S` before the next call.

        The next call opens a new channel: a connection whose other end lost its state can accept
        bytes forever and return nothing, while a new connection works.
        """
        await self._channel.close()
        self._channel = None
        await asyncio.sleep(RETRY_PAUSE_S)

    def _queue_votes_again(self, votes: list[tuple[ReplicaId, Message]]) -> None:
        """
        Queue the votes of a failed call again, if the daemon had answered on the same channel.

        Requests for votes and replies to them are sent once in an election, while everything else
        is repeated with the next heartbeat. A channel that was never answered leads to a daemon
        that is down, for which they are dropped.
        """
        if not votes or not self._channel_answered:
            return
        self._counters.add("consensus.votes_sent_again", len(votes))
        self._outbox.extendleft(reversed(votes))

    async def _build_batch(
        self,
    ) -> tuple[list[tuple[ReplicaId, Message]], consensus_pb2.DeliverRequest]:
        """Take messages to one replica from the outbox; return its votes and the request."""
        target = self._outbox[0][0]
        votes: list[tuple[ReplicaId, Message]] = []
        messages = []
        size = 0
        while self._outbox and self._outbox[0][0] == target and size < MAX_BATCH_BYTES:
            _, message = self._outbox.popleft()
            if isinstance(message, SnapshotChunk):
                data = await self._read_chunk(message.meta.index, message.offset)
                if data is None:
                    continue
                message = replace(message, data=data)
            encoded = MESSAGES.encode(message)
            size += len(encoded)
            messages.append(encoded)
            if isinstance(message, (VoteRequest, VoteReply)):
                votes.append((target, message))
        return votes, consensus_pb2.DeliverRequest(
            daemon=self._own.daemon,
            disk_id=self._own.disk_id,
            target_disk_id=target.disk_id,
            messages=messages,
        )


__all__ = ["CHANNEL_OPTIONS", "MAX_MESSAGE_BYTES", "Identity", "Peer", "open_channel"]
