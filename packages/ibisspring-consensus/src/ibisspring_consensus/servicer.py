"""The service `consensus_servicer`: puts the replica's calls on the daemon's peer server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_consensus.rpc_service import ConsensusService
from ibisspring_core.pb import consensus_pb2_grpc

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel


class ConsensusServicer:
    """Registers once; the peer server starts after it."""

    name = "consensus_servicer"

    async def start(self, kernel: Kernel) -> None:
        """Register."""
        service = ConsensusService.from_kernel(kernel)
        kernel.find("peer_server").add_servicer(
            lambda server: consensus_pb2_grpc.add_ConsensusServicer_to_server(service, server)
        )

    async def stop(self) -> None:
        """Nothing to stop."""


__all__ = ["ConsensusServicer"]
