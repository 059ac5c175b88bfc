"""Typed calls between daemons: one gRPC method that carries messages of a closed set."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import eliot
import grpc
import grpc.aio
import msgspec

from ibisspring_core.cancellation import is_task_cancelled
from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.codec import KindCodec

SERVICE = "ibisspring.Peer"
METHOD = f"/{SERVICE}/Call"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Milliseconds without an acknowledgement after which the path counts as dead and the connection
# fails; long enough for TCP to retransmit two lost packets on a healthy path.
TCP_USER_TIMEOUT_MS = 1000
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", TCP_USER_TIMEOUT_MS),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)
STOP_GRACE_S = 1.0
# Shortest time limit of a call, in seconds, that tells a silent connection from a slow daemon.
MIN_SILENCE_S = 0.4
# Size in bytes from which a message is compressed. Compression reduces jobs, directory views and
# generated texts to a third or less. For a message that fits into one packet it is not worth the
# CPU time.
COMPRESS_FROM_BYTES = 1400
# Size in bytes above which a message is not compressed: that would block the event loop for 30 ms
# for each megabyte.
COMPRESS_UP_TO_BYTES = 1024 * 1024

Handler = Callable[[Any], Awaitable[Any]]


def compression_for(size: int) -> grpc.Compression | None:
    """
    Choose the compression of a message between daemons.

    :param size: size of the encoded message in bytes.
    :return: the algorithm; None for no compression.
    """
    if COMPRESS_FROM_BYTES <= size <= COMPRESS_UP_TO_BYTES:
        return grpc.Compression.Gzip
    return None


class PeerServer:
    """The daemon's only gRPC server; other services register their handlers before it starts."""

    name = "peer_server"

    def __init__(self, listen: str, codec: KindCodec) -> None:
        self._listen = listen
        self._codec = codec
        self._handler_by_type: dict[type[Any], Handler] = {}
        self._servicers: list[Callable[[grpc.aio.Server], None]] = []
        self._server: grpc.aio.Server | None = None

    def register_handler(self, message_type: type[Any], handler: Handler) -> None:
        """
        Register the handler of a message type.

        :param message_type: a type of the codec's set.
        :param handler: coroutine function that receives the message and returns the answer, which
            is of the codec's set too.
        """
        self._handler_by_type[message_type] = handler

    def add_servicer(self, add: Callable[[grpc.aio.Server], None]) -> None:
        """Register a generated gRPC service; `add` is called with the server before it starts."""
        self._servicers.append(add)

    async def start(self, kernel: Kernel) -> None:
        """Listen for calls from other daemons and pass them to the registered handlers."""
        server = grpc.aio.server(options=_OPTIONS)
        method = grpc.unary_unary_rpc_method_handler(self._call)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"Call": method}),)
        )
        for add in self._servicers:
            add(server)
        server.add_insecure_port(self._listen)
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """Reject new calls and give running ones `STOP_GRACE_S` seconds to finish."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)

    async def _call(self, data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        message = self._codec.decode(data)
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            refusal = Refusal(
                Reason.BAD_REQUEST,
                True,
                None,
                f"this daemon does not answer {type(message).__name__}",
            )
            return self._codec.encode(refusal)
        try:
            answer = self._codec.encode(await handler(message))
        except Exception as error:
            eliot.log_message("peer_rpc:failed", message=type(message).__name__, error=repr(error))
            raise
        compression = compression_for(len(answer))
        if compression is not None:
            context.set_compression(compression)
        return answer


class PeerClient:
    """Calls other daemons over one channel for each address."""

    name = "peer_client"

    def __init__(self, codec: KindCodec, counters: Counters) -> None:
        self._codec = codec
        self._counters = counters
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._answered_at_by_address: dict[str, float] = {}
        # Start of the newest call that timed out, in seconds since boot.
        self._silent_since = float("-inf")
        self._closing: set[asyncio.Task[None]] = set()

    async def start(self, kernel: Kernel) -> None:
        """No-op: a channel opens with its first call."""

    async def stop(self) -> None:
        """Close the channels to all other daemons."""
        for channel in self._channel_by_address.values():
            await channel.close()
        self._channel_by_address.clear()

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """
        Call another daemon once.

        :param address: IP:port of its peer server.
        :param message: a message of the codec's set.
        :param timeout_s: seconds to wait for the answer.
        :return: the answer; a `Refusal` with ENDPOINT_SILENT if none arrived, or with
            MISMATCHED_ANSWER if it could not be decoded.
        """
        channel = self._channel_by_address.get(address)
        if channel is not None and self._may_be_silent(address):
            self._replace(address, channel)
            channel = None
        if channel is None:
            self._answered_at_by_address[address] = boot_now()
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            self._channel_by_address[address] = channel
        method = channel.unary_unary(METHOD)
        started_s = boot_now()
        try:
            data = self._codec.encode(message)
            compression = compression_for(len(data))
            kind = type(message).__name__
            self._counters.add(f"peer_sent_bytes.{kind}", len(data))
            data = await method(data, timeout=timeout_s, compression=compression)
            self._counters.add(f"peer_received_bytes.{kind}", len(data))
            self._answered_at_by_address[address] = boot_now()
            self._counters.observe("peer_call_seconds", boot_now() - started_s, kind)
            return self._codec.decode(data)
        except grpc.aio.AioRpcError as error:
            code = error.code().name.lower()
            timed_out = error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            if timed_out and timeout_s >= MIN_SILENCE_S:
                self._silent_since = max(self._silent_since, started_s)
            self._replace(address, channel)
        except asyncio.CancelledError:
            if is_task_cancelled():
                raise
            # Another call on the channel failed, and `_replace` closed the channel.
            code = "channel_left"
        except msgspec.DecodeError as error:
            self._counters.add("peer_call_failed.unreadable")
            return Refusal(Reason.MISMATCHED_ANSWER, False, None, f"{address}: {error}")
        self._counters.add(f"peer_call_failed.{code}")
        return Refusal(Reason.ENDPOINT_SILENT, False, None, f"{address}: {code}")

    def _may_be_silent(self, address: str) -> bool:
        """
        Whether a channel has had no answer since a call on another channel began and timed out.

        A fault of the network that silences one connection often silences others that were open.
        If each of them were found out by a timeout of its own, the search for a leader among many
        daemons would take as many timeouts.
        """
        return self._answered_at_by_address[address] < self._silent_since

    def _replace(self, address: str, channel: grpc.aio.Channel) -> None:
        """
        Close a channel after a failed call; the next call opens a new one.

        If a firewall on the path loses the state of a connection, the connection accepts bytes
        without end and returns nothing, while a new connection works. Other calls on the channel
        have `STOP_GRACE_S` seconds to finish; those still open afterwards fail too and are retried
        by their callers.
        """
        if self._channel_by_address.get(address) is not channel:
            return
        del self._channel_by_address[address]
        task = asyncio.ensure_future(channel.close(STOP_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


__all__ = ["PeerClient", "PeerServer", "compression_for"]
