"""
Decides when a draining endpoint is stopped.

Load pattern: an endpoint is to be stopped on purpose (an operator's drain, a smaller fleet, a
replacement of a cheap endpoint by a standard one or the reverse) while entries still send requests
to it and streams on it run for seconds or minutes.

If the platform were asked at once to stop the endpoint, every stream on the endpoint would break,
calls that must not be repeated would end as `may_have_run`, and entries that have not received the
drain yet would continue to send requests to an endpoint that no longer runs.

The endpoint is therefore stopped once the drain is in force at all entries and the endpoint has
announced that it has no requests, or at the deadline. The time until the drain is in force is not
assumed to be fixed: an entry applies the drain within its renewal interval (0.5 s) and at the
latest when its lease expires (3 s), and the caller of this module passes the time at which all
entries have done so.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# Seconds for which the drain must be in force before an endpoint's announcement that it has no
# requests counts. With 10 s, the endpoint has sent the announcement after the last request could
# have arrived. Announcements lag: an endpoint sends one per second, and the leader receives them
# about every five seconds.
SETTLE_S = 10.0
# Seconds after the drain request at which the endpoint is stopped even if it still has requests:
# the longest time limit of a single request is 120 s. Requests that run for longer have been
# cancelled by their callers.
DEADLINE_S = 120.0


class DrainStep(enum.Enum):
    """What to do with a draining endpoint now: wait, or stop it for one of two reasons."""

    WAIT = "wait"
    STOP_IDLE = "stop_idle"
    STOP_AT_DEADLINE = "stop_at_deadline"


@dataclass(frozen=True)
class DrainLimits:
    """
    Time limits of a drain.

    :param settle_s: seconds for which the drain must be in force before the endpoint's announcement
        that it has no requests counts.
    :param deadline_s: seconds after the drain request at which the endpoint is stopped even if it
        still has requests.
    """

    settle_s: float = SETTLE_S
    deadline_s: float = DEADLINE_S


@dataclass(frozen=True)
class DrainingEndpoint:
    """
    What the leader knows of a draining endpoint.

    :param requested_s: time in seconds at which the drain was requested.
    :param in_force_since_s: time in seconds since which no entry sends new requests to the
        endpoint; None while an entry may still do so.
    :param in_flight: number of running and queued requests that the endpoint announced last.
    :param announced_since: whether the endpoint has announced itself since `in_force_since_s`.
    """

    requested_s: float
    in_force_since_s: float | None
    in_flight: int
    announced_since: bool


def next_drain_step(draining: DrainingEndpoint, limits: DrainLimits, now: float) -> DrainStep:
    """
    Decide whether a draining endpoint is stopped now.

    :param draining: what the leader knows of the endpoint.
    :param limits: time limits of the drain.
    :param now: present time in seconds on the clock of `requested_s` and `in_force_since_s`.
    :return: whether to wait, to stop the endpoint because it has no requests, or to stop it because
        its deadline has passed.
    """
    if now - draining.requested_s >= limits.deadline_s:
        return DrainStep.STOP_AT_DEADLINE
    if draining.in_force_since_s is None or not draining.announced_since:
        return DrainStep.WAIT
    if now - draining.in_force_since_s < limits.settle_s:
        return DrainStep.WAIT
    if draining.in_flight > 0:
        return DrainStep.WAIT
    return DrainStep.STOP_IDLE


__all__ = [
    "DEADLINE_S",
    "SETTLE_S",
    "DrainLimits",
    "DrainStep",
    "DrainingEndpoint",
    "next_drain_step",
]
