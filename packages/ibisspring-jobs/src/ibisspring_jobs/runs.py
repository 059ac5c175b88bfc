"""The dispatcher's record of an assignment that a runner executes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Run:
    """
    An assignment of an item that has not ended.

    :param number: number of the assignment, unique within an epoch.
    :param runner: address of the runner that executes the assignment.
    :param tokens: memory that the item takes at the endpoint, in tokens.
    :param started_at: when the item was assigned, in seconds since boot.
    :param resume_after: number of events of the item's text that earlier runs produced.
    :param last_update_at: when the runner last reported the run's number of events, in seconds
        since boot; 0.0 before the first report.
    :param events: number of events that this run had produced at `last_update_at`.
    :param moved: the runner is to stop the run, so that its item continues at another endpoint.
    :param scoring: the item's text is complete and only its reward call is in progress, which uses
        no capacity of the endpoint.
    :param expected_events: expected number of events of the item's complete text; 0.0 if ends are
        not predicted.
    :param predicted_end_at: predicted end of the text when the run began, in seconds since boot;
        0.0 if not predicted.
    :param ends_at: the same by the last report of the run.
    :param adopted: the run began in an earlier epoch, before `started_at`.
    """

    number: int
    job: str
    item: str
    runner: str
    endpoint: str
    tokens: int
    started_at: float
    resume_after: int
    last_update_at: float = 0.0
    events: int = 0
    moved: bool = False
    scoring: bool = False
    expected_events: float = 0.0
    predicted_end_at: float = 0.0
    ends_at: float = 0.0
    adopted: bool = False


__all__ = ["Run"]
