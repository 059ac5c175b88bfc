"""The service `control_rpc`: one gRPC server for replicas, entries and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc
import grpc.aio

from ibisspring_consensus.peer import MAX_MESSAGE_BYTES, TCP_USER_TIMEOUT_MS
from ibisspring_core.pb import consensus_pb2_grpc, control_pb2_grpc

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", TCP_USER_TIMEOUT_MS),
    # Peers send a ping every ten seconds; the library's default would take that for an attack.
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    # A second daemon on the same port must fail to start, not share the port.
    ("grpc.so_reuseport", 0),
)
STOP_GRACE_S = 1.0


class ControlRpc:
    """
    The server; it starts last of the role and stops first, so that no call meets a stopped part.
    """

    name = "control_rpc"

    def __init__(self, listen: str) -> None:
        self._listen = listen
        self._server: grpc.aio.Server | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> ControlRpc:
        """
        Build the service.

        :param settings: where it listens.
        :return: the service.
        """
        return cls(settings.control.listen)

    async def start(self, kernel: Kernel) -> None:
        """Listen."""
        from ibisspring_consensus.rpc_service import ConsensusService

        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        consensus_pb2_grpc.add_ConsensusServicer_to_server(
            ConsensusService.from_kernel(kernel), self._server
        )
        # A replica without our state machine, as in the tests of the consensus, has no
        # Control.
        if kernel.find_optional("entry_leases") is not None:
            from ibisspring_control.rpc.control_service import ControlService

            control_pb2_grpc.add_ControlServicer_to_server(
                ControlService.from_kernel(kernel), self._server
            )
        self._server.add_insecure_port(self._listen)
        await self._server.start()

    async def stop(self) -> None:
        """Take no new calls and give those under way a moment."""
        await self._server.stop(STOP_GRACE_S)


__all__ = ["ControlRpc"]
