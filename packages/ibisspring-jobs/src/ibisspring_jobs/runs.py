"""The dispatcher's record of an assignment that a runner executes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Run:
    """
    An assignment that has not ended.

    :param number: number of the assignment, unique within an epoch.
    :param runner: address of the runner that executes it.
    :param tokens: memory that the item takes at the endpoint, in tokens.
    :param started_at: when it was assigned, in seconds since boot.
    :param resume_after: events of the item's text that earlier runs produced.
    :param last_update_at: when its runner last reported its number of events, in seconds since
        boot; 0.0 before the first report.
    :param events: events that it had produced at that time.
    :param moved: its runner was asked to stop it, so that its item continues at another endpoint.
    :param scoring: the item's text is complete and only its reward call is in progress, which uses
        no capacity of the endpoint.
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


__all__ = ["Run"]
