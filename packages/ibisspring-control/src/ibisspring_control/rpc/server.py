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
    # The other control daemons send a ping every ten seconds. With the library's default minimum
    # interval, the server would close their connections because of too many pings.
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    # A second daemon on the same port must fail to start instead of sharing the port.
    ("grpc.so_reuseport", 0),
)
STOP_GRACE_S = 1.0


class ControlRpc:
    """
    The gRPC server of the control role.

    The server starts after and stops before the other services of the role, so that no call reaches
    a service that is not running.
    """

    name = "control_rpc"

    def __init__(self, listen: str) -> None:
        self._listen = listen
        self._server: grpc.aio.Server | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> ControlRpc:
        """
        Build the server for the address `control.listen` of a daemon's settings.

        :param settings: checked settings of a daemon with the control role.
        """
        return cls(settings.control.listen)

    async def start(self, kernel: Kernel) -> None:
        """Start the gRPC server with the services `Consensus` and `Control`."""
        from ibisspring_consensus.rpc_service import ConsensusService

        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        consensus_pb2_grpc.add_ConsensusServicer_to_server(
            ConsensusService.from_kernel(kernel), self._server
        )
        # Tests of the consensus package run a replica without the state machine of this package;
        # such a replica does not serve `Control`.
        if kernel.find_optional("entry_leases") is not None:
            from ibisspring_control.rpc.control_service import ControlService

            control_pb2_grpc.add_ControlServicer_to_server(
                ControlService.from_kernel(kernel), self._server
            )
        self._server.add_insecure_port(self._listen)
        await self._server.start()

    async def stop(self) -> None:
        """Refuse new calls and give calls in progress STOP_GRACE_S to finish."""
        await self._server.stop(STOP_GRACE_S)


__all__ = ["ControlRpc"]
