"""
Number of requests that one entry may have in flight at a service's endpoints.

Eight or nine entries send to three to five endpoints. The balancer keeps connections open, so that
one entry may receive most of the requests, and all samples of a trainer's step are requested by a
single entry. If each entry used the complete capacity, nine times as many requests as the endpoints
can work on would be sent, and those that the endpoints cannot work on would wait in the endpoints'
own first-come, first-served queues. The entries' fair queues, deadlines and early rejections would
then have no effect, because no request would ever wait at an entry.

The capacity is therefore divided over the entries by the number of requests that each has in flight
or queued. `WorkTime` estimates how long a request takes.
"""

from __future__ import annotations

import math

# Share of the capacity that is divided evenly over the entries, as in admission, so that an entry
# that had no requests so far can start some requests before the other entries have received its
# demand.
EVEN_SHARE = 0.2
# Slots of all entries together, divided by the number of requests that the endpoints work on at a
# time. With a quarter more slots than that, an endpoint that finishes a request starts the next one
# from its own queue instead of idling for a network round trip. A quarter of 8 slots is 2 requests,
# about a hundred milliseconds of work, while a round trip takes some milliseconds.
OVERCOMMIT = 1.25
# Weight of the previous average of `WorkTime` when a new duration is added. About ten requests
# replace the average: it follows a model that has become slower within a second under load, and one
# straggler changes it little.
PREVIOUS_WEIGHT = 0.9
# Expected seconds per unit (token or call) until the first response. With 0, no request is rejected
# while the duration is unknown.
INITIAL_UNIT_S = 0.0


def entry_slots(capacity: int, wanted: float, wanted_elsewhere: tuple[float, ...]) -> int:
    """
    Return this entry's share of a service's capacity.

    :param capacity: requests that all endpoints of the service work on at a time.
    :param wanted: requests that this entry has in flight or queued.
    :param wanted_elsewhere: requests that each other entry has in flight or queued.
    :return: this entry's slots, at least 1; 0 only if there is no capacity.
    """
    if capacity <= 0:
        return 0
    even = 1.0 / (len(wanted_elsewhere) + 1)
    total = wanted + sum(wanted_elsewhere)
    by_demand = wanted / total if total > 0 else even
    share = EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand
    return max(1, math.ceil(OVERCOMMIT * capacity * share))


class WorkTime:
    """
    Average seconds of work per requested unit: a token of an engine, or a call of a service.

    The average is taken over the units that callers requested, not over those that were produced.
    Callers request an upper bound of tokens and engines usually stop earlier; with a time per
    produced token, requests with a large bound would be rejected although they finish in time.
    """

    def __init__(self) -> None:
        self.unit_s = INITIAL_UNIT_S
        self._has_duration = False

    def add_duration(self, units: int, actual_s: float) -> None:
        """
        Add the duration of a request that was answered completely.

        :param units: tokens or calls that the request asked for.
        :param actual_s: seconds that the request took.
        """
        if not self._has_duration:
            self._has_duration = True
            self.unit_s = actual_s / units
            return
        self.unit_s = PREVIOUS_WEIGHT * self.unit_s + (1.0 - PREVIOUS_WEIGHT) * actual_s / units

    def expected_s(self, units: int) -> float:
        """
        Return the expected seconds of work of a request.

        :param units: tokens or calls that the request asks for.
        """
        return units * self.unit_s


__all__ = ["INITIAL_UNIT_S", "WorkTime", "entry_slots"]
