"""
How many endpoints to order where, from a platform that takes a number for each data centre.

Load pattern: endpoints are lost for good, emptied and taken away, or reclaimed a whole data centre
at once, in the middle of the day; new ones serve some seconds after their order; a data centre may
have none to give for a while. An endpoint that fell silent may come back by itself.

Without it: the fleet shrinks with each loss and never grows again. Measured, five engines became
two within 20 s and half of the trainers' steps after that came too late.

Grounds: as many endpoints are kept as there were at the first start, which is what the operator
paid for and sized the load by, and more where a trainer's items do not find places: a step ends
with its longest text, which begins late when it has to wait for a place. `PLACES_SHARE` of the
items get one at once; the rest are short ones that wait for other short ones. Prices decide where a
missing one is ordered, since data centres are about a millisecond apart. A data centre that had
none is asked again after `REFUSED_S`, three times in the time that a reclaim lasts. What was
ordered counts as there until it is late by `LATE_S`, so that no loss is made up for twice.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

PLACES_SHARE = 0.75
REFUSED_S = 2.5
LATE_S = 4.0


@dataclass(frozen=True)
class Market:
    """
    What the platform offers for one service.

    :param most: endpoints that a data centre may have.
    :param boot_s: seconds from an order until an endpoint serves.
    :param price_by_data_centre: price of an endpoint's second.
    """

    most: int
    boot_s: float
    price_by_data_centre: Mapping[str, float]


@dataclass(frozen=True)
class Order:
    """
    A number to order.

    :param count: endpoints that the data centre is to have, those that it has included.
    """

    data_centre: str
    count: int


@dataclass
class ServiceFleet:
    """
    What is remembered of one service's orders.

    :param until_by_data_centre: until when what was ordered there counts as there.
    :param count_by_data_centre: the number ordered there last.
    :param refused_until_by_data_centre: until when it is not asked.
    """

    until_by_data_centre: dict[str, float] = field(default_factory=dict)
    count_by_data_centre: dict[str, int] = field(default_factory=dict)
    refused_until_by_data_centre: dict[str, float] = field(default_factory=dict)

    def ordered(self, order: Order, market: Market, now: float) -> None:
        """Remember an order that the platform took."""
        self.until_by_data_centre[order.data_centre] = now + market.boot_s + LATE_S
        self.count_by_data_centre[order.data_centre] = order.count

    def refused(self, data_centre: str, now: float) -> None:
        """Remember that a data centre had none to give."""
        self.refused_until_by_data_centre[data_centre] = now + REFUSED_S

    def expected(self, data_centre: str, present: int, now: float) -> int:
        """Endpoints that a data centre has or is about to have."""
        if now >= self.until_by_data_centre.get(data_centre, 0.0):
            return present
        return max(present, self.count_by_data_centre[data_centre])


def wanted_count(first: int, demand: int, capacity: int) -> int:
    """
    Size a service.

    :param first: endpoints at the first start.
    :param demand: most items that were to be run at a time lately.
    :param capacity: items that one endpoint works on at a time.
    :return: endpoints over all data centres.
    """
    if capacity <= 0:
        return first
    return max(first, math.ceil(demand * PLACES_SHARE / capacity))


def next_order(
    fleet: ServiceFleet,
    market: Market,
    wanted: int,
    present_by_data_centre: Mapping[str, int],
    now: float,
) -> Order | None:
    """
    Choose the next number to order.

    :param wanted: endpoints over all data centres.
    :param present_by_data_centre: endpoints that serve.
    :return: one order; None where the fleet is as it should be or nothing can be had.
    """
    expected_by_data_centre = {
        data_centre: fleet.expected(data_centre, present_by_data_centre.get(data_centre, 0), now)
        for data_centre in market.price_by_data_centre
    }
    missing = wanted - sum(expected_by_data_centre.values())
    if missing <= 0:
        return None

    def price(data_centre: str) -> tuple[float, str]:
        return (market.price_by_data_centre[data_centre], data_centre)

    for data_centre in sorted(market.price_by_data_centre, key=price):
        room = market.most - expected_by_data_centre[data_centre]
        if room <= 0 or now < fleet.refused_until_by_data_centre.get(data_centre, 0.0):
            continue
        return Order(data_centre, expected_by_data_centre[data_centre] + min(room, missing))
    return None


__all__ = ["Market", "Order", "ServiceFleet", "next_order", "wanted_count"]
