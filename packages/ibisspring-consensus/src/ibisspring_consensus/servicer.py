"""The service `consensus_servicer`: registers the gRPC service `Consensus` on the peer server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_consensus.rpc_service import ConsensusService
from ibisspring_core.pb import consensus_pb2_grpc

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel


class ConsensusServicer:
    """
    Registers the gRPC service `Consensus` when this service starts.

    The service `peer_server`, the daemon's gRPC server, has to start after this service.
    """

    name = "consensus_servicer"

    async def start(self, kernel: Kernel) -> None:
        """Register the gRPC service on the daemon's gRPC server, the service `peer_server`."""
        service = ConsensusService.from_kernel(kernel)
        kernel.find("peer_server").add_servicer(
            lambda server: consensus_pb2_grpc.add_ConsensusServicer_to_server(service, server)
        )

    async def stop(self) -> None:
        """No-op: the peer server stops the gRPC service."""


__all__ = ["ConsensusServicer"]
