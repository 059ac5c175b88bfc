"""Stand-in for a daemon's peer server: parts register with it, and nobody calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel


class StillServer:
    """The service `peer_server` without a listener."""

    name = "peer_server"

    async def start(self, kernel: Kernel) -> None: ...

    async def stop(self) -> None: ...

    def answer(self, message_type: type, handler: object) -> None: ...


__all__ = ["StillServer"]
