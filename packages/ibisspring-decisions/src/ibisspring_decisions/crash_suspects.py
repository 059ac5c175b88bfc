"""
Which requests are suspected of ending the endpoints that run them, and what is still sent of them.

Load pattern: one request ends every endpoint that begins to run it, and its caller repeats it at
any entry ("query of death"). Each exchange takes the failure for one of the endpoint, moves on to
the next healthy one and ends it as well, so that one caller takes a whole service down, again each
time its endpoints are back.

An endpoint that ends suspects every request that it was running, so most suspects are innocent.
One end changes little for them: the request is sent to another endpoint, only without a hedged
attempt. After two ends it is tried alone, as one trial of a service at a time, so that an innocent
request is not at an endpoint together with the request that ends it. An answer clears a suspect.
After three ends, one of them in a trial, the request is not sent any more. Without the condition of
the trial, the crash of a whole service would quarantine each request of which callers had sent
copies to three of its endpoints.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

TRIAL_ENDS = 2
QUARANTINE_ENDS = 3
# Seconds for which an end is counted while its request has fewer than `QUARANTINE_ENDS`. Two ends
# that lie far apart suspect a request hardly more than one.
SUSPICION_S = 3600.0
# Most suspects that are stored. Each of them is part of the view of every entry.
MAX_SUSPECTS = 256
# Longest trial in seconds: a new leader, which does not know the trials that its predecessor
# allowed, allows none for this time.
MAX_TRIAL_S = 10.0
# A trial that ends its endpoint must leave another one for all other requests. Where a service has
# no second endpoint for this long, a trial is allowed at its only one.
SINGLE_ENDPOINT_WAIT_S = 10.0
# Seconds after which a caller may repeat a request that waits for its trial.
TRIAL_RETRY_AFTER_S = 1.0
# The same for a request in quarantine, which only an operator releases.
QUARANTINE_RETRY_AFTER_S = 60.0
# Pause of accepted work after its second end in a row without an event or answer, in seconds; it
# doubles with each further end. Such work stays open until its time limit, so it runs again, but
# not at one engine after the other. Sound work that was at several ending engines still has most of
# its time left after the longest pause.
FIRST_ITEM_PAUSE_S = 0.25
MAX_ITEM_PAUSE_S = 1.0


class Standing(enum.Enum):
    """
    What may be done with a request.

    CLEAR: no restriction.
    SUSPECT: it may be sent to one endpoint at a time.
    ON_TRIAL: it may be sent once, if the leader allows a trial.
    QUARANTINED: it must not be sent.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    ON_TRIAL = "on_trial"
    QUARANTINED = "quarantined"


def standing(ends: int, in_trial: bool) -> Standing:
    """
    Return the standing of a request.

    :param ends: number of starts of endpoints that ended while they ran the request.
    :param in_trial: whether one of them ended in a trial of the request.
    """
    if ends >= QUARANTINE_ENDS and in_trial:
        return Standing.QUARANTINED
    if ends >= TRIAL_ENDS:
        return Standing.ON_TRIAL
    return Standing.SUSPECT if ends else Standing.CLEAR


def item_pause_s(ends: int) -> float:
    """
    Return the seconds until accepted work, such as an item of a job, may run again.

    :param ends: number of its last runs, in a row, whose endpoints ended before the first event, or
        before an answer.
    """
    if ends < TRIAL_ENDS:
        return 0.0
    return min(MAX_ITEM_PAUSE_S, FIRST_ITEM_PAUSE_S * 2 ** (ends - TRIAL_ENDS))


@dataclass(frozen=True)
class Suspicion:
    """
    A suspect as far as the order of eviction depends on it.

    :param identity: identity of the request.
    :param ends: number of endpoints that ended under it.
    :param newest_end_s: time of the newest end, in seconds on any one clock.
    """

    identity: str
    ends: int
    newest_end_s: float


def evicted(suspicions: Iterable[Suspicion]) -> tuple[str, ...]:
    """
    Return the identities that exceed `MAX_SUSPECTS`.

    Requests with few ends go first, as a request in quarantine would begin to end endpoints again;
    among them those whose newest end is the oldest.
    """
    ordered = sorted(suspicions, key=lambda one: (one.ends, one.newest_end_s, one.identity))
    return tuple(one.identity for one in ordered[: max(0, len(ordered) - MAX_SUSPECTS)])


@dataclass(frozen=True)
class _Trial:
    """A trial that the leader has allowed; it is over at the time `until_s` at the latest."""

    identity: str
    until_s: float


class Trials:
    """
    The trials that the leader has allowed, at most one of a service at a time.

    `now` is in seconds on any steady clock, the same one in all calls.
    """

    def __init__(self) -> None:
        self._trial_by_service: dict[str, _Trial] = {}
        self._allowed_from_s = 0.0

    @classmethod
    def from_trials(cls, trials: Iterable[tuple[str, str, float]]) -> Trials:
        """
        Restore the trials that `trials` returned.

        :param trials: service, identity, and time at which the trial is over, of each one.
        """
        restored = cls()
        for service, identity, until_s in trials:
            restored._trial_by_service[service] = _Trial(identity, until_s)
        return restored

    def trials(self) -> tuple[tuple[str, str, float], ...]:
        """Return service, identity, and time at which the trial is over, sorted by service."""
        found = sorted(self._trial_by_service.items())
        return tuple((service, trial.identity, trial.until_s) for service, trial in found)

    def start_term(self, now: float) -> None:
        """Forget all trials; none is allowed until those of the previous leader are over."""
        self._trial_by_service.clear()
        self._allowed_from_s = now + MAX_TRIAL_S

    def start(
        self,
        service: str,
        identity: str,
        time_limit_s: float,
        other_endpoints: int,
        since_end_s: float,
        now: float,
    ) -> bool:
        """
        Start the trial of a request, and return whether it is allowed.

        :param time_limit_s: seconds within which the trial ends.
        :param other_endpoints: serving endpoints of the service beside the one that it may end.
        :param since_end_s: seconds since the newest end that suspects the request.
        """
        under_way = self._trial_by_service.get(service)
        if now < self._allowed_from_s or (under_way is not None and now < under_way.until_s):
            return False
        if other_endpoints < 1 and since_end_s < SINGLE_ENDPOINT_WAIT_S:
            return False
        self._trial_by_service[service] = _Trial(identity, now + min(time_limit_s, MAX_TRIAL_S))
        return True

    def ended(self, identity: str) -> None:
        """Record that the trial of a request has a result: an answer, or an end."""
        for service, trial in list(self._trial_by_service.items()):
            if trial.identity == identity:
                del self._trial_by_service[service]


__all__ = [
    "MAX_SUSPECTS",
    "MAX_TRIAL_S",
    "QUARANTINE_ENDS",
    "QUARANTINE_RETRY_AFTER_S",
    "SUSPICION_S",
    "Standing",
    "Suspicion",
    "TRIAL_RETRY_AFTER_S",
    "Trials",
    "evicted",
    "item_pause_s",
    "standing",
]
