"""
Slots: how many requests one entry may have under way at a service's endpoints.

Load pattern: eight or nine entries before three to five endpoints; the balancer keeps connections,
so that one entry may hold most of the load; a trainer's step is gathered on one entry alone.

Without it: each entry counts on the whole capacity and nine times as much is sent as the endpoints
work on. The rest waits in the endpoints' own queues, where first come is first served: the fair
queue, deadlines and refusals in time are without effect, because nothing ever waits here.

Grounds for the figures:

- `RESERVED` 0.2, as in admission: an entry without work so far can start some before the others
  have heard of it.
- `OVERCOMMIT` 1.25: an endpoint that ends a request finds the next one in its own queue and does
  not idle for the way back and forth; a quarter of 8 slots is 2, about a hundred milliseconds of
  work, against some milliseconds of way.
- `MEMORY` 0.9 of an average is kept at each new duration: ten requests change it, so that it
  follows a model that has become slower within a second of load and one straggler moves it little.
- What is learned is the time for a unit that was asked for, not for one that was made: callers ask
  for a bound and engines stop earlier, so that a time for each token made would have long bounds
  refused that end in time.
- `FIRST_UNIT_S` 0 holds until the first answer: nobody is refused out of ignorance.
"""

from __future__ import annotations

import math

RESERVED = 0.2
OVERCOMMIT = 1.25
MEMORY = 0.9
FIRST_UNIT_S = 0.0


def entry_slots(capacity: int, wanted: float, wanted_elsewhere: tuple[float, ...]) -> int:
    """
    Divide a service's capacity over the entries by what each has to do.

    :param capacity: requests that the endpoints work on at a time.
    :param wanted: requests that this entry has under way or waiting.
    :param wanted_elsewhere: the same of each other entry.
    :return: this entry's slots; 0 only where there is no capacity.
    """
    if capacity <= 0:
        return 0
    even = 1.0 / (len(wanted_elsewhere) + 1)
    total = wanted + sum(wanted_elsewhere)
    by_need = wanted / total if total > 0 else even
    share = RESERVED * even + (1.0 - RESERVED) * by_need
    return max(1, math.ceil(OVERCOMMIT * capacity * share))


class WorkTime:
    """
    Expected seconds of work for one unit asked for: a token of an engine, a call of a service.
    """

    def __init__(self) -> None:
        self.unit_s = FIRST_UNIT_S
        self._learned = False

    def learn(self, units: int, real_s: float) -> None:
        """
        Learn from a request that was answered whole.

        :param units: tokens or calls that it asked for.
        :param real_s: seconds that it took.
        """
        if not self._learned:
            self._learned = True
            self.unit_s = real_s / units
            return
        self.unit_s = MEMORY * self.unit_s + (1.0 - MEMORY) * real_s / units

    def expect_s(self, units: int) -> float:
        """
        Expect a request's work.

        :param units: tokens or calls that it asks for.
        :return: seconds.
        """
        return units * self.unit_s


__all__ = ["FIRST_UNIT_S", "WorkTime", "entry_slots"]
