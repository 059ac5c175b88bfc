"""
Chooses the endpoint that a request is sent to.

Load pattern: requests of unequal length are sent to a service with three to five endpoints in three
data centres a millisecond apart. The endpoints' load reports (numbers of running and queued
requests) are a second old. An endpoint may become slow or fail every request, one engine may have
cached the prompt prefix that most requests share, and cheap (preemptible) endpoints run beside
standard ones.

Simple policies fail under this load. Round robin sends as many requests to an endpoint that is
blocked by long requests as to an idle one. "Least load in the last report" makes all entries send
their requests to the same endpoint until the next report arrives (a herd). An endpoint that fails
every request at once looks idle and attracts all requests. Always following the cache hint sends
all requests with a common prefix to one engine, however long its queue is.

The router compares two random candidate endpoints and those with a cached prefix or an idle
connection, and takes the one with the lowest cost. The cost is the work per slot, computed from the
last report and from the requests that this entry has sent since. The distance, a cached prefix and
an idle connection change the cost by bounded amounts; the endpoint's kind (cheap or standard)
changes the cost by what a reclaim would cost the request. Endpoints that failed several requests in
a row are ejected: they get no requests for some seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    import random

# The costs and bonuses below are in units of cost: 1.0 is one request per slot.

# Added to the cost of an endpoint in another data centre, which is 1 ms away, at most a twentieth
# of the work of a slot. This cost decides between equally loaded endpoints and never outweighs a
# shorter queue.
OTHER_DATA_CENTRE_COST = 0.05
# Subtracted from the cost of an engine that has cached the request's prompt prefix, which saves the
# prefill, about half of the work of a slot. Cache events arrive late and with gaps, so the bonus
# never outweighs one more request per slot.
CACHED_PREFIX_BONUS = 0.5
# Subtracted from the cost of an endpoint to which a connection is idle. At a capacity of six, a
# request goes to an endpoint without an idle connection only if the endpoints with one have more
# than two additional requests in work. Requests thus share few connections, and a burst is still
# spread over the endpoints.
IDLE_CONNECTION_BONUS = 0.4
# Subtracted from the cost of a cheap endpoint for a generation or lookup, which loses nothing when
# its endpoint is reclaimed, because it continues on another one. Between equally loaded endpoints,
# such a request goes to a cheap one; the rules limit how many cheap endpoints there are.
CHEAP_KIND_BONUS = 0.1
# Added to the cost of a cheap endpoint for a call that must not be repeated, which ends as "may
# have run" when its endpoint is reclaimed. Such a call goes to a cheap endpoint only if the
# standard ones have one more request per slot.
RECLAIM_RISK_COST = 1.0
# Failures in a row after which an endpoint is ejected: a single failure may be a lost connection;
# three in a row are the endpoint's fault.
EJECT_AFTER_FAILURES = 3
# Durations of the first and of the longest ejection in seconds. The first one lasts 2 s, because a
# restart takes seconds. Each return of an endpoint that still fails costs some callers one try, so
# the duration doubles with each ejection in a row, up to 30 s.
EJECTION_BASE_S = 2.0
EJECTION_MAX_S = 30.0
# Largest share of the candidates that may be ejected at a time. If more than a third of them are
# ejected, the cause is something that all endpoints share, and the endpoints that are not ejected
# would be overloaded. All candidates are then used again.
EJECTION_MAX_SHARE = 1 / 3
# An endpoint counts as slow from three times the median pace (seconds per unit of work); the number
# of its requests alone does not cause such a difference between equal endpoints. The cost of a slow
# endpoint is multiplied by the ratio of its pace to the median.
SLOW_PACE_RATIO = 3.0
# Weight of the previous average in the moving average of the pace: the effect of a slow phase fades
# within ten requests.
PREVIOUS_PACE_WEIGHT = 0.8
# Length of the prompt prefix from which the digest is computed. Engines announce digests of cached
# prompts over the same number of characters.
PREFIX_CHARACTERS = 64
CHEAP_KIND = "cheap"


@dataclass(frozen=True)
class Candidate:
    """
    An endpoint that may get the request.

    :param kind: "cheap" for an endpoint that the platform may reclaim, otherwise "standard".
    :param running: requests in work, from the endpoint's last load report.
    :param queued: waiting requests, from the endpoint's last load report.
    :param capacity: number of requests that the endpoint works on at a time.
    :param in_flight: requests that this entry has sent to the endpoint and that have not ended.
    :param sent_since_report: requests that this entry sent to the endpoint since the last load
        report was received.
    :param has_cached_prefix: whether the endpoint announced that it has cached the request's
        prompt prefix.
    :param has_idle_connection: whether a connection to the endpoint is known to be idle.
    """

    endpoint: str
    data_centre: str
    kind: str
    running: int
    queued: int
    capacity: int
    in_flight: int
    sent_since_report: int = 0
    has_cached_prefix: bool = False
    has_idle_connection: bool = False


@dataclass
class _EndpointHistory:
    """
    Results of the requests that this entry sent to one endpoint.

    :param failures: failures in a row since the last success or ejection.
    :param ejections: ejections in a row, without a successful request between them.
    :param ejected_until: time in seconds at which the current or last ejection ends.
    :param pace: moving average of the seconds per unit of work; None before the first success.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    pace: float | None = None


class Router:
    """Chooses endpoints for one entry and records the results of its requests."""

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._source = source
        self._history_by_endpoint: dict[str, _EndpointHistory] = {}

    @classmethod
    def from_data_centre(cls, data_centre: str, source: random.Random) -> Router:
        """
        Build the router of an entry, without recorded results of requests.

        :param data_centre: data centre in which this entry runs.
        :param source: random number generator, used to draw the endpoints that are compared.
        """
        return cls(data_centre, source)

    def choose(
        self, candidates: tuple[Candidate, ...], now: float, repeatable: bool = True
    ) -> str | None:
        """
        Choose the endpoint that a request is sent to.

        :param candidates: endpoints that may get the request.
        :param now: monotonic time in seconds.
        :param repeatable: whether the request loses nothing when its endpoint is reclaimed.
        :return: the endpoint's id, or None if there are no candidates.
        """
        if not candidates:
            return None
        healthy = self._without_ejected(candidates, now)
        median_pace = self._median_pace(healthy)
        # Two random candidates give most of the benefit of comparing all of them, and entries that
        # have the same old reports do not all choose the same endpoint.
        drawn = self._source.sample(healthy, min(2, len(healthy)))
        # Engines that have the prefix cached are always compared: two random draws would mostly
        # miss them. Their cost still lets an endpoint with a shorter queue win.
        drawn.extend(candidate for candidate in healthy if candidate.has_cached_prefix)
        # Endpoints with an idle connection are always compared too: two random draws would mostly
        # miss them.
        drawn.extend(candidate for candidate in healthy if candidate.has_idle_connection)
        if not repeatable:
            # Both random candidates may be cheap although a standard endpoint is free.
            standard = [candidate for candidate in healthy if candidate.kind != CHEAP_KIND]
            drawn.extend(self._source.sample(standard, min(2, len(standard))))
        cheap_cost = -CHEAP_KIND_BONUS if repeatable else RECLAIM_RISK_COST
        chosen = min(drawn, key=lambda option: self._cost(option, median_pace, cheap_cost))
        return chosen.endpoint

    def record_failure(self, endpoint: str, now: float) -> None:
        """
        Record that an endpoint failed a request; eject it after several failures in a row.

        :param endpoint: id of the endpoint.
        :param now: monotonic time in seconds, as for `choose`.
        """
        history = self._history(endpoint)
        history.failures += 1
        if history.failures < EJECT_AFTER_FAILURES:
            return
        history.failures = 0
        history.ejected_until = now + min(EJECTION_MAX_S, EJECTION_BASE_S * 2**history.ejections)
        history.ejections += 1

    def record_success(self, endpoint: str, pace: float) -> None:
        """
        Record that an endpoint completed a request; reset the endpoint's counts of failures and
        ejections.

        :param endpoint: id of the endpoint.
        :param pace: seconds per unit of work; a unit is a token or a call.
        """
        history = self._history(endpoint)
        history.failures = 0
        history.ejections = 0
        previous = pace if history.pace is None else history.pace
        history.pace = PREVIOUS_PACE_WEIGHT * previous + (1.0 - PREVIOUS_PACE_WEIGHT) * pace

    def ejected_endpoints(self, now: float) -> tuple[str, ...]:
        """
        Return the endpoints that get no requests at the time `now`, because they are ejected.

        :param now: monotonic time in seconds, as for `choose`.
        :return: ids of the ejected endpoints.
        """
        histories = self._history_by_endpoint.items()
        return tuple(endpoint for endpoint, history in histories if history.ejected_until > now)

    def forget(self, endpoint: str) -> None:
        """
        Delete the recorded results of an endpoint that no longer exists.

        :param endpoint: id of the endpoint.
        """
        self._history_by_endpoint.pop(endpoint, None)

    def _history(self, endpoint: str) -> _EndpointHistory:
        return self._history_by_endpoint.setdefault(endpoint, _EndpointHistory())

    def _without_ejected(
        self, candidates: tuple[Candidate, ...], now: float
    ) -> tuple[Candidate, ...]:
        """Return the candidates that are not ejected, or all if too many are ejected."""
        ejected = self.ejected_endpoints(now)
        healthy = tuple(option for option in candidates if option.endpoint not in ejected)
        max_ejected = max(1.0, len(candidates) * EJECTION_MAX_SHARE)
        if not healthy or len(candidates) - len(healthy) > max_ejected:
            return candidates
        return healthy

    def _median_pace(self, candidates: tuple[Candidate, ...]) -> float | None:
        paces = []
        for candidate in candidates:
            history = self._history_by_endpoint.get(candidate.endpoint)
            if history is not None and history.pace is not None:
                paces.append(history.pace)
        paces.sort()
        return paces[(len(paces) - 1) // 2] if paces else None

    def _cost(self, candidate: Candidate, median_pace: float | None, cheap_cost: float) -> float:
        # The load report is up to a second old. If the requests that were sent since were not
        # added, all requests until the next report would go to the endpoint that was idle at the
        # time of the last one.
        reported = candidate.running + candidate.queued + candidate.sent_since_report
        work = max(reported, candidate.in_flight)
        cost = (work + 1) / max(1, candidate.capacity)
        history = self._history_by_endpoint.get(candidate.endpoint)
        if median_pace and history is not None and history.pace is not None:
            pace_ratio = history.pace / median_pace
            cost *= pace_ratio if pace_ratio >= SLOW_PACE_RATIO else 1.0
        if candidate.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST
        if candidate.kind == CHEAP_KIND:
            cost += cheap_cost
        if candidate.has_cached_prefix:
            cost -= CACHED_PREFIX_BONUS
        if candidate.has_idle_connection:
            cost -= IDLE_CONNECTION_BONUS
        return cost


def prefix_digest(prompt: str) -> str:
    """
    Compute the digest under which engines announce a cached prompt prefix.

    :param prompt: the complete prompt.
    :return: 16 hexadecimal digits, computed over its first `PREFIX_CHARACTERS` characters.
    """
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass"))


__all__ = ["PREFIX_CHARACTERS", "Candidate", "Router", "prefix_digest"]
