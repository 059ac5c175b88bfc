"""
Routing: which endpoint gets a request.

Load pattern: requests of unequal length on three to five endpoints of a service in three data
centres a millisecond apart; load reports that are a second old; one endpoint that has become slow
or fails every request; a hot prompt prefix that one engine has cached; cheap endpoints beside
standard ones.

Without it: round robin sends as much to an endpoint that is stuck in long jobs as to an idle one;
"least by the last report" sends every entry's requests to the same endpoint until the next report
(a herd); an endpoint that fails at once looks idle and draws all requests to it; a cache hint that
is always followed puts a hot prefix on one engine, however long its line.

How it decides: two candidates are drawn at random and the one of lower cost wins. The cost is the
work per slot, from the report and from what this entry sent since; nearness and a cached prefix
lower it by a bounded amount, the kind counts by what a reclaim would cost; ejected endpoints take
no part.

Grounds for the figures:

- Two draws: most of what looking at all would gain, without the herd.
- `FAR` 0.05: another data centre is 1 ms away, a twentieth of a slot's work at most; it decides
  between equals and never against a shorter line.
- `CACHED` 0.5: a cached prefix saves the prefill, in the order of half a slot's work; cache events
  are late and have gaps, so it never outweighs one more request per slot.
- `OPENING` 0.4: an endpoint to which no connection is idle is used where those that have one are at
  work on two requests more of six; requests then stay with few connections, and a burst spreads.
- `CHEAP` 0.1: a generation or lookup loses nothing when its endpoint is reclaimed, it goes on
  elsewhere; so between equals it goes to the cheap kind, of which the rules say how much there is.
- `RISK` 1.0: a call that may not be repeated ends as "may have run" when its endpoint is reclaimed.
  It goes to the cheap kind only where the standard one has one request more for each slot.
- `EJECT_FAILURES` 3 in a row: one failure is a lost connection; three are the endpoint.
- `EJECT_S` 2 s, doubled for each time in a row up to `EJECT_MOST_S` 30 s: a restart takes seconds,
  and each return costs some callers one try.
- `EJECT_SHARE` a third: with more ejected the rest would be overrun for the failures of something
  that all share; then failing endpoints are used too.
- `SLOW` 3 times the median of the pace of all: outside what load makes of equals, so that a slow
  endpoint pays for its pace; `PACE_MEMORY` 0.8 forgets a slow phase within ten requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    import random

FAR = 0.05
CACHED = 0.5
OPENING = 0.4
CHEAP = 0.1
RISK = 1.0
EJECT_FAILURES = 3
EJECT_S = 2.0
EJECT_MOST_S = 30.0
EJECT_SHARE = 1 / 3
SLOW = 3.0
PACE_MEMORY = 0.8
PREFIX_CHARACTERS = 64
CHEAP_KIND = "cheap"


@dataclass(frozen=True)
class Candidate:
    """
    An endpoint that may take the request.

    :param running: its reported requests in work.
    :param queued: its reported requests waiting.
    :param capacity: requests that it works on at a time.
    :param in_flight: requests that this entry has under way there.
    :param sent_since: requests that this entry sent there since the report was heard.
    :param cached: whether it says that it caches the request's prompt prefix.
    :param connected: whether a connection to it is known to be idle.
    """

    endpoint: str
    data_centre: str
    kind: str
    running: int
    queued: int
    capacity: int
    in_flight: int
    sent_since: int = 0
    cached: bool = False
    connected: bool = False


@dataclass
class _Known:
    """What was learned of one endpoint by using it."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    pace: float | None = None


class Router:
    """What one entry has learned of the endpoints by using them."""

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._source = source
        self._known_by_endpoint: dict[str, _Known] = {}

    @classmethod
    def from_data_centre(cls, data_centre: str, source: random.Random) -> Router:
        """
        Build a router.

        :param data_centre: where this entry stands.
        :param source: random numbers.
        :return: the router.
        """
        return cls(data_centre, source)

    def choose(
        self, candidates: tuple[Candidate, ...], now: float, repeatable: bool = True
    ) -> str | None:
        """
        Choose one of the candidates.

        :param candidates: endpoints that may take the request.
        :param now: seconds on a steady clock.
        :param repeatable: whether the request loses nothing when its endpoint is reclaimed.
        :return: the endpoint's id, or None where there is no candidate.
        """
        if not candidates:
            return None
        healthy = self._without_ejected(candidates, now)
        usual_pace = self._usual_pace(healthy)
        pair = self._source.sample(healthy, min(2, len(healthy)))
        # Of one prompt's engines those that cache it are always drawn, or the hint would be lost in
        # most draws; the cost still lets a shorter line win.
        pair.extend(candidate for candidate in healthy if candidate.cached)
        # The same for those with an idle connection.
        pair.extend(candidate for candidate in healthy if candidate.connected)
        if not repeatable:
            # Two draws may both be cheap ones beside a free standard one.
            standard = [candidate for candidate in healthy if candidate.kind != CHEAP_KIND]
            pair.extend(self._source.sample(standard, min(2, len(standard))))
        cheap_cost = -CHEAP if repeatable else RISK
        chosen = min(pair, key=lambda one: self._cost(one, usual_pace, cheap_cost))
        return chosen.endpoint

    def failed(self, endpoint: str, now: float) -> None:
        """
        Learn that an endpoint failed a request.

        :param endpoint: its id.
        :param now: seconds on the same clock.
        """
        known = self._known(endpoint)
        known.failures += 1
        if known.failures < EJECT_FAILURES:
            return
        known.failures = 0
        known.ejected_until = now + min(EJECT_MOST_S, EJECT_S * 2**known.ejections)
        known.ejections += 1

    def answered(self, endpoint: str, pace: float) -> None:
        """
        Learn that an endpoint answered whole.

        :param endpoint: its id.
        :param pace: seconds for each unit of work, a token or a call.
        """
        known = self._known(endpoint)
        known.failures = 0
        known.ejections = 0
        old = pace if known.pace is None else known.pace
        known.pace = PACE_MEMORY * old + (1.0 - PACE_MEMORY) * pace

    def ejected(self, now: float) -> tuple[str, ...]:
        """
        Tell which endpoints are left out.

        :param now: seconds on the same clock.
        :return: their ids.
        """
        known = self._known_by_endpoint.items()
        return tuple(endpoint for endpoint, one in known if one.ejected_until > now)

    def forget(self, endpoint: str) -> None:
        """
        Forget an endpoint that is gone.

        :param endpoint: its id.
        """
        self._known_by_endpoint.pop(endpoint, None)

    def _known(self, endpoint: str) -> _Known:
        return self._known_by_endpoint.setdefault(endpoint, _Known())

    def _without_ejected(
        self, candidates: tuple[Candidate, ...], now: float
    ) -> tuple[Candidate, ...]:
        ejected = self.ejected(now)
        healthy = tuple(one for one in candidates if one.endpoint not in ejected)
        most = max(1.0, len(candidates) * EJECT_SHARE)
        if not healthy or len(candidates) - len(healthy) > most:
            return candidates
        return healthy

    def _usual_pace(self, candidates: tuple[Candidate, ...]) -> float | None:
        paces = []
        for candidate in candidates:
            known = self._known_by_endpoint.get(candidate.endpoint)
            if known is not None and known.pace is not None:
                paces.append(known.pace)
        paces.sort()
        return paces[(len(paces) - 1) // 2] if paces else None

    def _cost(self, candidate: Candidate, usual_pace: float | None, cheap_cost: float) -> float:
        # The report lags: without what was sent since, all requests until the next one would go to
        # the endpoint that was idle when it reported.
        reported = candidate.running + candidate.queued + candidate.sent_since
        work = max(reported, candidate.in_flight)
        cost = (work + 1) / max(1, candidate.capacity)
        known = self._known_by_endpoint.get(candidate.endpoint)
        if usual_pace and known is not None and known.pace is not None:
            slower = known.pace / usual_pace
            cost *= slower if slower >= SLOW else 1.0
        if candidate.data_centre != self._data_centre:
            cost += FAR
        if candidate.kind == CHEAP_KIND:
            cost += cheap_cost
        if candidate.cached:
            cost -= CACHED
        if candidate.connected:
            cost -= OPENING
        return cost


def prefix_digest(prompt: str) -> str:
    """
    Digest a prompt's prefix as engines announce those they cache.

    :param prompt: the prompt.
    :return: 16 hexadecimal digits over its first `PREFIX_CHARACTERS` characters.
    """
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass"))


__all__ = ["PREFIX_CHARACTERS", "Candidate", "Router", "prefix_digest"]
