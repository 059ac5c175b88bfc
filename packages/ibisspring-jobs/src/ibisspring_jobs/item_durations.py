"""
How long items occupy a slot, learned from the runs that ended recently.

The estimates are ratios of sums that decay with each observation, so that they follow engines whose
speed changes.
"""

from __future__ import annotations

from dataclasses import dataclass

# Part of the sums that remains after each observation: the last fifty runs count most.
KEPT_PART = 0.98
# Number of observed runs below which nothing is estimated.
MIN_OBSERVED = 8
# Smallest part of an item's expected time that is assumed to remain while it has not ended.
MIN_REMAINING_PART = 0.1


@dataclass
class _Sums:
    """Decayed sums over the observed runs."""

    observed: int = 0
    runs: float = 0.0
    seconds: float = 0.0
    events: float = 0.0
    expected_tokens: float = 0.0
    seconds_of_expected: float = 0.0
    events_of_expected: float = 0.0

    def decay(self) -> None:
        """Reduce the sums before a new observation."""
        self.runs *= KEPT_PART
        self.seconds *= KEPT_PART
        self.events *= KEPT_PART
        self.expected_tokens *= KEPT_PART
        self.seconds_of_expected *= KEPT_PART
        self.events_of_expected *= KEPT_PART


class ItemDurations:
    """The slot-seconds that items take, by service."""

    def __init__(self) -> None:
        self._sums_by_service: dict[str, _Sums] = {}

    def observe(self, service: str, expected_tokens: int, events: int, seconds: float) -> None:
        """
        Add a run that made the complete text of an item.

        :param expected_tokens: the caller's estimate of the text's length; 0 for none.
        :param events: number of events of the text.
        :param seconds: how long the run occupied its slot.
        """
        sums = self._sums_by_service.setdefault(service, _Sums())
        sums.decay()
        sums.observed += 1
        sums.runs += 1
        sums.seconds += seconds
        sums.events += events
        if expected_tokens:
            sums.expected_tokens += expected_tokens
            sums.seconds_of_expected += seconds
            sums.events_of_expected += events

    def observed(self, service: str) -> int:
        """Return the number of runs that were observed at a service."""
        sums = self._sums_by_service.get(service)
        return sums.observed if sums is not None else 0

    def remaining_s(self, service: str, expected_tokens: int, events: int) -> float | None:
        """
        Estimate the slot-seconds that an item still takes.

        :param expected_tokens: the caller's estimate of the text's length; 0 for none.
        :param events: number of events that exist already.
        :return: None before enough runs were observed.
        """
        sums = self._sums_by_service.get(service)
        if sums is None or sums.observed < MIN_OBSERVED:
            return None
        if expected_tokens and sums.expected_tokens:
            scale = expected_tokens / sums.expected_tokens
            whole_s = sums.seconds_of_expected * scale
            whole_events = sums.events_of_expected * scale
        else:
            whole_s = sums.seconds / sums.runs
            whole_events = sums.events / sums.runs
        done = events / whole_events if whole_events else 0.0
        return whole_s * max(MIN_REMAINING_PART, 1.0 - done)


__all__ = ["ItemDurations"]
