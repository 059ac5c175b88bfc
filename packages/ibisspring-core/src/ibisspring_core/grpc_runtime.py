"""
The service `grpc_runtime`: the pollers of gRPC's native library.

While it sets these up, the library ends the process by a signal where the system refuses it a
descriptor. Once they exist, a refusal becomes an error of a single call.
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
_REFUSALS_THAT_PASS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM)


class GrpcRuntime:
    """Sets gRPC up before any other service uses it, once there are descriptors for it."""

    name = "grpc_runtime"

    def __init__(self) -> None:
        self._held: grpc.aio.Server | None = None

    async def start(self, kernel: Kernel) -> None:
        """Wait for descriptors, and set up the pollers."""
        refused = False
        while (error := _refusal()) is not None:
            if not refused:
                eliot.log_message(
                    "grpc_runtime:refused", error=repr(error), needed=DESCRIPTORS_NEEDED
                )
            refused = True
            await _pause(kernel.stopping)
        # It never listens. While it exists the library keeps its pollers, also where all channels
        # are closed for a moment.
        self._held = grpc.aio.server()

    async def stop(self) -> None:
        """Let go of the pollers."""
        await self._held.stop(None)


async def _pause(stopping: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(stopping.wait(), RETRY_S)
    except TimeoutError:
        return
    raise SystemExit(0)


def _refusal() -> OSError | None:
    """Open as many descriptors as the library needs, and close them again."""
    opened = []
    try:
        for _ in range(DESCRIPTORS_NEEDED):
            opened.append(os.eventfd(0))
    except OSError as error:
        return error if error.errno in _REFUSALS_THAT_PASS else None
    finally:
        for descriptor in opened:
            os.close(descriptor)
    return None


__all__ = ["GrpcRuntime"]
