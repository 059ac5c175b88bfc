"""
When a draining endpoint is stopped.

Load pattern: an endpoint is stopped on purpose (an operator's drain, a smaller fleet, a move to the
other kind) while entries still send to it and streams on it run for seconds or minutes.

Without it: the stop order goes out at once. Every stream on the endpoint breaks, calls that may not
be repeated end as `may_have_run`, and entries that have not heard of the drain go on sending to a
dead address.

Grounds of the figures: an entry acts on a drain within its renewal interval (0.5 s) and at the
latest when its lease lapses (3 s), so no fixed time is assumed: the caller says when it is in force
everywhere. The load that an endpoint announces lags: an announcement a second, taken over to the
leader about every five seconds. An announced zero counts once `SETTLE_S` (10 s) have passed since
then, so that it was announced after the last request could have come in. `DEADLINE_S` (120 s) is
the longest time of one request; what still runs then was given up by its caller.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

SETTLE_S = 10.0
DEADLINE_S = 120.0


class DrainStep(enum.Enum):
    """What to do with a draining endpoint now."""

    WAIT = "wait"
    STOP_IDLE = "stop_idle"
    STOP_AT_DEADLINE = "stop_at_deadline"


@dataclass(frozen=True)
class DrainLimits:
    """
    Bounds of a drain.

    :param settle_s: seconds after which an announced zero is believed.
    :param deadline_s: seconds after which the endpoint is stopped with work on it.
    """

    settle_s: float = SETTLE_S
    deadline_s: float = DEADLINE_S


@dataclass(frozen=True)
class Draining:
    """
    A draining endpoint as the leader sees it.

    :param asked_s: when the drain was asked for.
    :param in_force_s: since when no entry gives it new work; None while one may still do so.
    :param in_flight: requests in work and waiting there, as announced last.
    :param announced_since: whether it announced itself since `in_force_s`.
    """

    asked_s: float
    in_force_s: float | None
    in_flight: int
    announced_since: bool


def next_step(draining: Draining, limits: DrainLimits, now: float) -> DrainStep:
    """
    Decide whether a draining endpoint is stopped now.

    :param draining: what is known of it.
    :param limits: the bounds.
    :param now: seconds on the clock of `asked_s` and `in_force_s`.
    :return: the step.
    """
    if now - draining.asked_s >= limits.deadline_s:
        return DrainStep.STOP_AT_DEADLINE
    if draining.in_force_s is None or not draining.announced_since:
        return DrainStep.WAIT
    if now - draining.in_force_s < limits.settle_s:
        return DrainStep.WAIT
    if draining.in_flight > 0:
        return DrainStep.WAIT
    return DrainStep.STOP_IDLE


__all__ = [
    "DEADLINE_S",
    "SETTLE_S",
    "DrainLimits",
    "DrainStep",
    "Draining",
    "next_step",
]
