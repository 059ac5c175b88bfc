"""
The engine time of a service that is not promised yet, as free slots over time.

Load pattern: jobs are accepted and places are reserved for later while the engines are full. If
promises were counted by their number alone, two of them could be given the same slot-seconds.

All times are on one clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

NEVER = float("inf")


@dataclass(frozen=True)
class FurtherSlots:
    """
    Slots that are not there yet.

    :param from_s: time from which they run items.
    :param slots: number of these slots.
    """

    from_s: float
    slots: float


@dataclass
class _Span:
    """Free slots from one time until another."""

    start_s: float
    end_s: float
    slots: float


class EngineRoom:
    """
    Free slots over time, reduced by each promise.

    :param now: time from which the room begins.
    :param slots: number of slots that run items from then on.
    :param further: slots that are added later.
    """

    def __init__(self, now: float, slots: float, further: Iterable[FurtherSlots] = ()) -> None:
        self.now = now
        self._spans = [_Span(now, NEVER, slots)]
        for added in further:
            index = self._split(max(now, added.from_s))
            for span in self._spans[index:]:
                span.slots += added.slots

    def copy(self) -> EngineRoom:
        """Return an independent room with the same free slots."""
        room = EngineRoom(self.now, 0.0)
        room._spans = [_Span(span.start_s, span.end_s, span.slots) for span in self._spans]
        return room

    def take(self, slot_s: float, from_s: float) -> float:
        """
        Take the earliest free slot-seconds from a time on.

        :param slot_s: number of slot-seconds.
        :param from_s: time before which nothing is taken.
        :return: time at which the last of them is used; infinite if there are not as many, in which
            case those that exist are taken.
        """
        start_s = max(from_s, self.now)
        left_s = slot_s
        for index in range(self._split(start_s), len(self._spans)):
            if left_s <= 0:
                return start_s
            span = self._spans[index]
            if span.slots <= 0:
                continue
            start_s = span.start_s
            end_s = start_s + left_s / span.slots
            if end_s < span.end_s:
                # Work so short that the clock does not resolve it takes nothing.
                if end_s > start_s:
                    self._split(end_s)
                    span.slots = 0.0
                return end_s
            left_s -= (span.end_s - start_s) * span.slots
            start_s = span.end_s
            span.slots = 0.0
        return start_s if left_s <= 0 else NEVER

    def first_free_s(self, from_s: float) -> float:
        """Return the earliest time from `from_s` on at which a slot is free."""
        for span in self._spans:
            if span.end_s > from_s and span.slots > 0:
                return max(span.start_s, from_s)
        return NEVER

    def free_slot_s(self, from_s: float, until_s: float) -> float:
        """Return the free slot-seconds between two times."""
        free_s = 0.0
        for span in self._spans:
            length_s = min(span.end_s, until_s) - max(span.start_s, from_s)
            if length_s > 0:
                free_s += length_s * span.slots
        return free_s

    def _split(self, at_s: float) -> int:
        """Split the span that contains a time, and return the index of the one that begins then."""
        for index, span in enumerate(self._spans):
            if span.start_s >= at_s:
                return index
            if at_s < span.end_s:
                self._spans.insert(index + 1, _Span(at_s, span.end_s, span.slots))
                span.end_s = at_s
                return index + 1
        return len(self._spans)


__all__ = ["NEVER", "EngineRoom", "FurtherSlots"]
