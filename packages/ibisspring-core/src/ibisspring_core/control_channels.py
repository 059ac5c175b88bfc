"""gRPC channels to the control daemons, one by address, replaced when they go silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

if TYPE_CHECKING:
    from ibisspring_core.pb.control_pb2_grpc import ControlStub

# grpc waits up to 120 s before it connects again; a control VM is back within seconds.
MAX_BACKOFF_MS = 1_000
MAX_MESSAGE_BYTES = 16_777_216
# Calls that share a replaced channel get this long to end by themselves.
CLOSE_GRACE_S = 5.0
_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", MAX_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    # Without a pool of its own a new channel would share the old one's connection, silent as it is.
    ("grpc.use_local_subchannel_pool", 1),
    # An operator's proxy settings are for the web, not for control VMs.
    ("grpc.enable_http_proxy", 0),
)


class ControlChannels:
    """Open channels by address."""

    def __init__(self) -> None:
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def stub(self, address: str) -> ControlStub:
        """
        Get the stub of a control daemon.

        :param address: IP:port.
        :return: the stub.
        """
        from ibisspring_core.pb.control_pb2_grpc import ControlStub

        return ControlStub(self._channel(address))

    async def connect(self, address: str, timeout_s: float) -> bool:
        """
        Connect before a call, so that a call which found no connection is known not to have left.

        :param address: IP:port.
        :param timeout_s: longest wait.
        :return: True once the connection stands.
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
        Give up a channel whose call got no answer; the next call opens a new connection.

        A connection may go silent for good while new ones work, because something between the two
        ends lost track of it: every call on it would end at its deadline.

        :param address: IP:port.
        """
        channel = self._channel_by_address.pop(address, None)
        if channel is None:
            return
        task = asyncio.get_running_loop().create_task(channel.close(CLOSE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels at once."""
        for task in self._closing:
            task.cancel()
        for channel in self._channel_by_address.values():
            await channel.close(None)
        self._channel_by_address.clear()


__all__ = ["ControlChannels"]
