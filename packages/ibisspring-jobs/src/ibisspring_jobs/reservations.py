"""Slots of engines that wait for runs which move to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_jobs.items import ItemKey

# Seconds for which a slot waits for a run that moves to it. The runner learns of the move with the
# answer to its open call, and reports the stopped run at once.
RESERVED_S = 0.8


class ReservedSlots:
    """
    The slots that wait for runs which move.

    Without them, a waiting item would take the slot while the run is stopped, and the run would
    go back to the engine that it left. `now` is in seconds since boot.
    """

    def __init__(self) -> None:
        self._slot_by_key: dict[ItemKey, tuple[str, float]] = {}

    def reserve(self, key: ItemKey, engine: str, now: float) -> None:
        """Reserve a slot of an engine for an item."""
        self._slot_by_key[key] = (engine, now + RESERVED_S)

    def release(self, key: ItemKey) -> None:
        """Release the slot of an item."""
        self._slot_by_key.pop(key, None)

    def engine_by_key(self, now: float) -> dict[ItemKey, str]:
        """Return the engines of the reserved slots by item, without those that have expired."""
        for key in [key for key, (_, until) in self._slot_by_key.items() if until < now]:
            del self._slot_by_key[key]
        return {key: engine for key, (engine, _) in self._slot_by_key.items()}


__all__ = ["ReservedSlots"]
