"""gRPC channels to the control daemons: one for each address, replaced when calls time out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

if TYPE_CHECKING:
    from ibisspring_core.pb.control_pb2_grpc import ControlStub

# Maximum milliseconds between two attempts to reconnect. gRPC's default is 120 s; a control VM
# restarts within seconds.
MAX_BACKOFF_MS = 1_000
MAX_MESSAGE_BYTES = 16_777_216
# Seconds that other calls on a replaced channel have to finish before they are cancelled.
CLOSE_GRACE_S = 5.0
_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", MAX_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    # With the global pool of connections, a new channel would reuse the dead connection of the
    # channel that it replaces.
    ("grpc.use_local_subchannel_pool", 1),
    # An operator's proxy settings are for requests to the web, not for calls to control VMs.
    ("grpc.enable_http_proxy", 0),
)


class ControlChannels:
    """The open channels to control daemons, by address."""

    def __init__(self) -> None:
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def stub(self, address: str) -> ControlStub:
        """
        Return the gRPC stub of a control daemon; opens the channel if there is none.

        :param address: IP:port of the daemon.
        """
        from ibisspring_core.pb.control_pb2_grpc import ControlStub

        return ControlStub(self._channel(address))

    async def connect(self, address: str, timeout_s: float) -> bool:
        """
        Connect before a call, so that a call without a connection is known not to have been sent.

        :param address: IP:port of the daemon.
        :param timeout_s: seconds to wait for the connection.
        :return: True if the connection is established.
        """
        try:
            return await asyncio.wait_for(self._connected(self._channel(address)), timeout_s)
        except TimeoutError:
            return False

    async def _connected(self, channel: grpc.aio.Channel) -> bool:
        while True:
            state = channel.get_state(try_to_connect=True)
            if state is grpc.ChannelConnectivity.READY:
                return True
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                return False
            await channel.wait_for_state_change(state)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            self._channel_by_address[address] = channel
        return channel

    def replace(self, address: str) -> None:
        """
        Close the channel to an address after a call timed out; the next call opens a new one.

        If a firewall on the path loses the state of a connection, every call on this connection
        times out while new connections work.

        :param address: IP:port of the daemon.
        """
        channel = self._channel_by_address.pop(address, None)
        if channel is None:
            return
        task = asyncio.get_running_loop().create_task(channel.close(CLOSE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels immediately, also those that `replace` has left to finish calls."""
        for task in self._closing:
            task.cancel()
        for channel in self._channel_by_address.values():
            await channel.close(None)
        self._channel_by_address.clear()


__all__ = ["ControlChannels"]
