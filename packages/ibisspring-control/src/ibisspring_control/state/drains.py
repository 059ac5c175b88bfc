"""Drains: endpoints that get no new requests, so that they can be stopped when they are idle."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import Done, DrainEndpoint, Refused

if TYPE_CHECKING:
    from ibisspring_control.state.moment import LogPosition

# Maximum number of drains at the same time, since every entry receives the complete list. This is
# more than the number of endpoints in a system.
MAX_DRAINS = 1_000


@dataclass(frozen=True)
class Drain:
    """A drain of one endpoint that was requested and is not cancelled."""

    endpoint: str
    operator: str
    index: int
    stamped_s: float


@dataclass(frozen=True)
class DrainsSnapshot:
    """All drains, sorted by endpoint id."""

    drains: tuple[Drain, ...] = ()


class Drains:
    """Drains by endpoint id."""

    def __init__(self, snapshot: DrainsSnapshot) -> None:
        self.drain_by_endpoint = {drain.endpoint: drain for drain in snapshot.drains}

    def snapshot(self) -> DrainsSnapshot:
        """Return all drains, sorted by endpoint id."""
        by_endpoint = self.drain_by_endpoint
        return DrainsSnapshot(tuple(by_endpoint[endpoint] for endpoint in sorted(by_endpoint)))

    def apply(self, command: DrainEndpoint, position: LogPosition) -> Done | Refused:
        """Start or cancel the drain of an endpoint; a repeated command changes nothing."""
        if command.cancel:
            self.drain_by_endpoint.pop(command.endpoint, None)
            return Done()
        if command.endpoint in self.drain_by_endpoint:
            return Done()
        if len(self.drain_by_endpoint) >= MAX_DRAINS:
            return Refused(Reason.QUEUE_FULL.value, f"{MAX_DRAINS} endpoints are draining already")
        self.drain_by_endpoint[command.endpoint] = Drain(
            command.endpoint, command.operator, position.index, position.stamped_s
        )
        return Done()


__all__ = ["Drain", "Drains", "DrainsSnapshot"]
