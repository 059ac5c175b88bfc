"""
The service `grpc_runtime`: creates the pollers of gRPC's native library.

If the system has no free file descriptor while the library creates its pollers, the library aborts
the process with a signal. Once the pollers exist, a lack of descriptors makes only single calls
fail.
"""

from __future__ import annotations

import asyncio
import errno
import os
from typing import TYPE_CHECKING

import eliot
import grpc.aio

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel

DESCRIPTORS_NEEDED = 16
RETRY_S = 0.25
_TEMPORARY_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM)


class GrpcRuntime:
    """Initialises gRPC before any other service uses it, when enough descriptors are free."""

    name = "grpc_runtime"

    def __init__(self) -> None:
        self._keep_alive: grpc.aio.Server | None = None

    async def start(self, kernel: Kernel) -> None:
        """Wait until `DESCRIPTORS_NEEDED` descriptors are free, then create the pollers."""
        logged = False
        while (error := _descriptor_error()) is not None:
            if not logged:
                eliot.log_message(
                    "grpc_runtime:refused", error=repr(error), needed=DESCRIPTORS_NEEDED
                )
            logged = True
            await _pause(kernel.stopping)
        # This server never listens. While it exists, the library keeps its pollers, even when all
        # channels are closed.
        self._keep_alive = grpc.aio.server()

    async def stop(self) -> None:
        """Stop the server that keeps the pollers alive, so that the library releases them."""
        await self._keep_alive.stop(None)


async def _pause(stopping: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(stopping.wait(), RETRY_S)
    except TimeoutError:
        return
    raise SystemExit(0)


def _descriptor_error() -> OSError | None:
    """Open and close as many descriptors as the library needs; return a temporary error."""
    opened = []
    try:
        for _ in range(DESCRIPTORS_NEEDED):
            opened.append(os.eventfd(0))
    except OSError as error:
        return error if error.errno in _TEMPORARY_ERRORS else None
    finally:
        for descriptor in opened:
            os.close(descriptor)
    return None


__all__ = ["GrpcRuntime"]
