"""Resets of connections, for fakes that break them."""

from __future__ import annotations

import asyncio
import socket
import struct

# SO_LINGER switched on with 0 s: closing the socket sends RST.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection at once; the abort of a transport alone closes it regularly."""
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


__all__ = ["reset"]
