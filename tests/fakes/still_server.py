"""A stand-in for a daemon's peer server on which services register but which gets no calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel


class IdlePeerServer:
    """The kernel service `peer_server` without a listener; registered handlers are ignored."""

    name = "peer_server"

    async def start(self, kernel: Kernel) -> None: ...

    async def stop(self) -> None: ...

    def register_handler(self, message_type: type, handler: object) -> None: ...


__all__ = ["IdlePeerServer"]
