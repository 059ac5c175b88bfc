"""
Chooses how many endpoints to order in which data centre of a platform.

The platform accepts a total number of endpoints for each data centre.

Load pattern: endpoints are permanently lost, drained and removed, or reclaimed for a complete data
centre at once, in the middle of the day. New endpoints serve some seconds after their order, and a
data centre may have none available for some seconds. An endpoint that has stopped sending
announcements may resume by itself.

Without replacements, the fleet would shrink with each loss and never grow again, and more and more
steps of the trainers would be late.

The policy keeps as many endpoints as at the first start, since the operator paid for this number
and sized the work for the fleet by it. The policy orders more endpoints if a trainer's items do not
find free slots: a step ends with its longest item, which begins late if it has to wait for a slot.
While a data centre is evacuated, its endpoints serve nothing but return at the end. They are not
replaced as such: the fleet of the other data centres grows only by what waits for a slot.

A missing endpoint is ordered in the cheapest data centre that has capacity, since data centres are
only about a millisecond apart.

An operator may limit the fleet by number or by price. A limit keeps endpoints from being ordered;
it never stops those that exist.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Least number of slots that the fleet shall have, as a share of the highest recent number of open
# items (items of running jobs that have no result yet). The other items wait for a slot. Within a
# job the longest items begin first, so only short items wait, until other short items end; the
# longest item, with which a step ends, does not wait.
IMMEDIATE_SLOT_SHARE = 0.75
# Seconds for which nothing is ordered in a data centre that had no endpoints available, so that the
# data centre is asked three times while a reclaim lasts.
REFUSED_PAUSE_S = 2.5
# Seconds after the end of their boot time until which ordered endpoints that do not serve count as
# present, so that no loss is replaced twice.
BOOT_SLACK_S = 4.0
# Part of an endpoint's price that the sum of the prices may be wrong by.
PRICE_ROUNDING = 1e-6


@dataclass(frozen=True)
class PlatformOffer:
    """
    Endpoints that the platform offers for one service.

    :param max_endpoints: maximum number of endpoints in each data centre.
    :param boot_s: seconds from an order until the new endpoint serves.
    :param price_by_data_centre: price of an endpoint per second.
    """

    max_endpoints: int
    boot_s: float
    price_by_data_centre: Mapping[str, float]


@dataclass(frozen=True)
class FleetLimit:
    """
    The operator's limit of a service's fleet over all data centres.

    :param most_endpoints: largest number of endpoints.
    :param most_price: largest sum of the endpoints' prices per second.
    """

    most_endpoints: float = math.inf
    most_price: float = math.inf

    @classmethod
    def from_policy(cls, most_engines: int, most_price: float) -> FleetLimit:
        """
        Build the limit from settings in which 0 stands for no limit.

        :param most_engines: largest number of endpoints.
        :param most_price: largest price per second.
        """
        return cls(most_engines or math.inf, most_price or math.inf)

    def room(
        self,
        data_centre: str,
        count_by_data_centre: Mapping[str, int],
        price_by_data_centre: Mapping[str, float],
    ) -> float:
        """
        Return how many endpoints may be added in a data centre.

        :param count_by_data_centre: number of endpoints in all data centres, those that are
            expected and those that an evacuation keeps from serving included.
        :param price_by_data_centre: price of an endpoint per second.
        """
        left = self.most_endpoints - sum(count_by_data_centre.values())
        spent = sum(
            count * price_by_data_centre.get(name, 0.0)
            for name, count in count_by_data_centre.items()
        )
        price = price_by_data_centre[data_centre]
        if price > 0 and self.most_price < math.inf:
            # The price of an exactly full fleet must not fail by the rounding of the sum.
            left = min(left, math.floor((self.most_price - spent) / price + PRICE_ROUNDING))
        return max(0, left)


UNLIMITED = FleetLimit()


@dataclass(frozen=True)
class Order:
    """
    An order to the platform for endpoints in one data centre.

    :param count: total number of endpoints that the data centre shall have, including those that it
        has already.
    """

    data_centre: str
    count: int


@dataclass
class OrderHistory:
    """
    Recent orders for one service.

    :param expected_until_by_data_centre: time in seconds until which the endpoints of the last
        order count as present.
    :param ordered_by_data_centre: total number of endpoints in the last accepted order.
    :param refused_until_by_data_centre: time in seconds until which nothing is ordered after a
        refusal.
    """

    expected_until_by_data_centre: dict[str, float] = field(default_factory=dict)
    ordered_by_data_centre: dict[str, int] = field(default_factory=dict)
    refused_until_by_data_centre: dict[str, float] = field(default_factory=dict)

    def record_order(self, order: Order, market: PlatformOffer, now: float) -> None:
        """Record an order that the platform accepted at the time `now`, in seconds."""
        self.expected_until_by_data_centre[order.data_centre] = now + market.boot_s + BOOT_SLACK_S
        self.ordered_by_data_centre[order.data_centre] = order.count

    def record_refusal(self, data_centre: str, now: float) -> None:
        """Record that a data centre had no endpoints available at the time `now`, in seconds."""
        self.refused_until_by_data_centre[data_centre] = now + REFUSED_PAUSE_S

    def expected(self, data_centre: str, present: int, now: float) -> int:
        """
        Return the number of endpoints that a data centre has or will soon have.

        :param present: number of its endpoints that serve.
        :param now: monotonic time in seconds, as for `record_order`.
        """
        if now >= self.expected_until_by_data_centre.get(data_centre, 0.0):
            return present
        return max(present, self.ordered_by_data_centre[data_centre])


def wanted_count(initial: int, demand: int, capacity: int) -> int:
    """
    Compute the number of endpoints that a service needs.

    :param initial: number of endpoints at the first start of the service, without those that an
        evacuation keeps from serving; the result is never smaller.
    :param demand: highest recent number of items that were to run at the same time.
    :param capacity: number of items that one endpoint works on at a time; if it is 0, the result is
        `initial`.
    :return: number of endpoints over all data centres.
    """
    if capacity <= 0:
        return initial
    return max(initial, math.ceil(demand * IMMEDIATE_SLOT_SHARE / capacity))


def next_order(
    fleet: OrderHistory,
    market: PlatformOffer,
    wanted: int,
    present_by_data_centre: Mapping[str, int],
    now: float,
    limit: FleetLimit = UNLIMITED,
) -> Order | None:
    """
    Choose the next order of endpoints to send to the platform.

    :param fleet: the service's recent orders.
    :param market: endpoints that the platform offers.
    :param wanted: number of endpoints over all data centres.
    :param present_by_data_centre: number of endpoints that serve in each data centre.
    :param now: monotonic time in seconds.
    :param limit: the operator's limit, less what exists outside of the offer's data centres.
    :return: one order; None if no endpoint is missing or no data centre can be asked now.
    """
    expected_by_data_centre = _expected(fleet, market, present_by_data_centre, now)
    missing = wanted - sum(expected_by_data_centre.values())
    if missing <= 0:
        return None
    for data_centre in _cheapest_first(market):
        room = limit.room(data_centre, expected_by_data_centre, market.price_by_data_centre)
        available = min(room, market.max_endpoints - expected_by_data_centre[data_centre])
        if available <= 0 or now < fleet.refused_until_by_data_centre.get(data_centre, 0.0):
            continue
        count = expected_by_data_centre[data_centre] + int(min(available, missing))
        return Order(data_centre, count)
    return None


def missing_by_limit(
    fleet: OrderHistory,
    market: PlatformOffer,
    wanted: int,
    present_by_data_centre: Mapping[str, int],
    now: float,
    limit: FleetLimit,
) -> int:
    """
    Return how many wanted endpoints are not ordered because of the operator's limit alone.

    The parameters are those of `next_order`.
    """
    expected = _expected(fleet, market, present_by_data_centre, now)
    missing = wanted - sum(expected.values())
    if missing <= 0:
        return 0
    return min(missing, _further(market, expected, UNLIMITED)) - min(
        missing, _further(market, expected, limit)
    )


def most_further_endpoints(
    market: PlatformOffer, present_by_data_centre: Mapping[str, int], limit: FleetLimit
) -> int:
    """
    Return how many endpoints orders can still add to a fleet.

    :param market: endpoints that the platform offers.
    :param present_by_data_centre: number of endpoints in each data centre of the offer.
    :param limit: the operator's limit, less what exists outside of the offer's data centres.
    """
    present = {name: present_by_data_centre.get(name, 0) for name in market.price_by_data_centre}
    return _further(market, present, limit)


def limit_beside(
    limit: FleetLimit, count_by_data_centre: Mapping[str, int], prices: Mapping[str, float]
) -> FleetLimit:
    """
    Return what a limit leaves beside endpoints in data centres where none are ordered.

    :param count_by_data_centre: number of these endpoints.
    :param prices: price of an endpoint per second, by data centre.
    """
    count = sum(count_by_data_centre.values())
    spent = sum(number * prices.get(name, 0.0) for name, number in count_by_data_centre.items())
    return FleetLimit(limit.most_endpoints - count, limit.most_price - spent)


def _expected(
    fleet: OrderHistory, market: PlatformOffer, present: Mapping[str, int], now: float
) -> dict[str, int]:
    return {
        data_centre: fleet.expected(data_centre, present.get(data_centre, 0), now)
        for data_centre in market.price_by_data_centre
    }


def _cheapest_first(market: PlatformOffer) -> list[str]:
    return sorted(
        market.price_by_data_centre, key=lambda name: (market.price_by_data_centre[name], name)
    )


def _further(market: PlatformOffer, count: Mapping[str, int], limit: FleetLimit) -> int:
    count = dict(count)
    added = 0
    for data_centre in _cheapest_first(market):
        room = limit.room(data_centre, count, market.price_by_data_centre)
        more = int(max(0, min(room, market.max_endpoints - count[data_centre])))
        count[data_centre] += more
        added += more
    return added


__all__ = [
    "FleetLimit",
    "Order",
    "OrderHistory",
    "PlatformOffer",
    "limit_beside",
    "missing_by_limit",
    "most_further_endpoints",
    "next_order",
    "wanted_count",
]
