"""gRPC service `Consensus`: receives messages from other replicas, and operators' actions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisspring_consensus import events
from ibisspring_consensus.manage import manage
from ibisspring_consensus.messages import MESSAGES, ReplicaId
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc

if TYPE_CHECKING:
    import grpc.aio

    from ibisspring_consensus.node import ConsensusNode
    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel


class ConsensusService(consensus_pb2_grpc.ConsensusServicer):
    """Passes received gRPC calls to this daemon's consensus node."""

    def __init__(self, node: ConsensusNode, counters: Counters) -> None:
        self._node = node
        self._counters = counters

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> ConsensusService:
        """
        Build the handler of the gRPC calls from the daemon's services.

        :param kernel: the daemon's registry, which holds the services `consensus` and `counters`.
        """
        return cls(kernel.find("consensus"), kernel.find("counters"))

    async def Deliver(  # noqa: N802
        self, request: consensus_pb2.DeliverRequest, context: grpc.aio.ServicerContext
    ) -> consensus_pb2.DeliverReply:
        """
        Pass received messages to the consensus core.

        The core's reply messages are not part of the gRPC reply: this daemon sends them in calls of
        its own, through its `Peer` object for the sender's daemon. The gRPC reply contains this
        replica's disk id and cluster.
        """
        node = self._node
        sender = ReplicaId(request.daemon, request.disk_id)
        target = ReplicaId(node.replica.daemon, request.target_disk_id)
        # The reply has to describe the replica before it processes the messages: an empty replica
        # is no longer empty afterwards.
        empty = node.core.is_empty
        cluster = node.core.cluster
        for data in request.messages:
            try:
                message = MESSAGES.decode(data)
            except msgspec.DecodeError:
                self._counters.add("consensus.bad_message")
                continue
            node.dispatch(events.Received(sender, target, message))
        return consensus_pb2.DeliverReply(
            disk_id=node.replica.disk_id, empty=empty, cluster=cluster
        )

    async def Manage(  # noqa: N802
        self, request: consensus_pb2.ManageRequest, context: grpc.aio.ServicerContext
    ) -> consensus_pb2.ManageReply:
        """Carry out an operator's action on this replica, such as `status` or `replace`."""
        arguments = msgspec.msgpack.decode(request.arguments) if request.arguments else {}
        managed = await manage(self._node, request.action, arguments)
        return consensus_pb2.ManageReply(
            ok=managed.ok,
            answer=managed.answer,
            leader_hint=managed.leader_hint,
            detail=managed.detail,
        )


__all__ = ["ConsensusService"]
