"""Expected lengths and ends of the texts of items and runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.engine_speed import DEFAULT_EVENT_S
from ibisspring_decisions.placement import expected_events, remaining_events

if TYPE_CHECKING:
    from ibisspring_core.messages.jobs import JobItem
    from ibisspring_jobs.runs import Run

# Minimum seconds until the predicted end of a run: its end has not been reported.
MIN_END_S = 0.05


def expected_events_of(item: JobItem) -> float:
    """Return the expected number of events of an item's complete text."""
    return expected_events(item.tokens, item.prompt_tokens, item.expected_tokens)


def remaining_events_of(run: Run) -> float:
    """Estimate the number of events that a run still has to produce."""
    return remaining_events(run.expected_events, run.resume_after + run.events)


def ends_in_s(run: Run, now: float) -> float:
    """
    Return the seconds until a run's end, as predicted by its last report.

    A run that was adopted from an earlier epoch has no prediction before its first report.
    """
    ends_at = run.ends_at or run.started_at + remaining_events_of(run) * DEFAULT_EVENT_S
    return max(MIN_END_S, ends_at - now)


__all__ = ["ends_in_s", "expected_events_of", "remaining_events_of"]
