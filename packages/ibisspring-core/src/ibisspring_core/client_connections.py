"""
The connections of all clients of a daemon, kept within the daemon's memory and descriptors.

`ClientLoad` decides; this module measures time, disconnects clients, logs and counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_decisions.client_load import ClientCapacity, ClientLimits, ClientLoad, Excess

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_decisions.client_load import Phase

# Interval at which the time limits of clients are checked.
CHECK_INTERVAL_S = 0.5
# Seconds by which a check may be late before the time counts as a suspension of this process. What
# clients sent meanwhile has not been read, so the time is not held against them.
MAX_LATE_S = 0.5


class ClientConnection(Protocol):
    """A connection of a client, as `ClientConnections` ends it."""

    def end(self, excess: Excess) -> None:
        """Disconnect the client, with a refusal if it waits for an answer."""


class ClientConnections:
    """
    The service `client_connections`.

    :param limits: limits of a request or connection that are in force.
    """

    name = "client_connections"

    def __init__(self, capacity: ClientCapacity) -> None:
        self.limits = ClientLimits()
        self._load = ClientLoad(capacity)
        self._suspended_s = 0.0
        self._checked_at = boot_now()
        self._counters: Counters | None = None

    @classmethod
    def from_config(cls, settings: VmSettings) -> ClientConnections:
        """
        Build the service of a daemon.

        :param settings: validated settings, with the limits of the daemon's process.
        """
        size = settings.size
        return cls(ClientCapacity.from_size(size.memory_mb, size.descriptors))

    async def start(self, kernel: Kernel) -> None:
        """Start to check the time limits."""
        self._counters = kernel.find("counters")
        self._checked_at = boot_now()
        self._timer = kernel.find("timer").subscribe(
            "client_connections", CHECK_INTERVAL_S, self._check
        )

    async def stop(self) -> None:
        """Stop the checks; the servers close the connections."""
        self._timer.cancel()

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection, which is ended at once if there are too many others."""
        verdict = self._load.open(connection, self._now())
        self._end(verdict.ended)
        if not verdict.granted:
            self._end(((connection, Excess.CONNECTIONS),))

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self._load.close(connection)

    def enter(self, connection: ClientConnection, phase: Phase) -> None:
        """Record that a connection enters a phase."""
        self._load.enter(connection, phase, self._now())

    def move(self, connection: ClientConnection, count: int) -> None:
        """Record that a client sent or took a number of bytes of a body or an answer."""
        self._load.move(connection, count, self._now())

    def reserve(self, connection: ClientConnection, total_bytes: int) -> bool:
        """
        Change the memory that is reserved for a client.

        :param total_bytes: what the client's request and answer then take.
        :return: whether it is granted; otherwise the reservation is not changed.
        """
        verdict = self._load.reserve(connection, total_bytes, self._now())
        self._end(verdict.ended)
        return verdict.granted

    def _now(self) -> float:
        return boot_now() - self._suspended_s

    async def _check(self, now: float) -> None:
        late_s = now - self._checked_at - CHECK_INTERVAL_S
        self._checked_at = now
        if late_s > MAX_LATE_S:
            self._suspended_s += late_s
        self._end(self._load.overdue(self.limits, self._now()))

    def _end(self, ended: Iterable[tuple[ClientConnection, Excess]]) -> None:
        for connection, excess in ended:
            if self._counters is not None:
                self._counters.add(f"clients.ended.{excess.value}")
            eliot.log_message(
                "clients:ended",
                reason=excess.value,
                connections=len(self._load),
                reserved_bytes=self._load.reserved_bytes,
                budget_bytes=self._load.capacity.budget_bytes,
            )
            connection.end(excess)


__all__ = ["ClientConnection", "ClientConnections"]
