"""
The service `fleet`: orders endpoints from the platform.

Lost endpoints are replaced, and more are ordered if the jobs' items need more slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.guarded_http import HttpAnswer
from ibisspring_decisions.fleet_size import (
    FleetLimit,
    OrderHistory,
    PlatformOffer,
    limit_beside,
    missing_by_limit,
    next_order,
    wanted_count,
)
from ibisspring_directory.commands import SetFleet
from ibisspring_directory.outside import FleetOrder

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.routes import ServiceTerms
    from ibisspring_core.settings.vm import VmSettings

TICK_S = 0.5
ORDER_TIMEOUT_S = 4.0
# Seconds from the election of a leader until it counts the endpoints. At the first start of the
# system all endpoints have announced themselves within this time.
COUNT_AFTER_S = 5.0


class Fleet:
    """Keeps at least as many endpoints of each service as at the first start of the system."""

    name = "fleet"

    def __init__(self, settings: VmSettings) -> None:
        self._may_scale = settings.scales
        self._fleet_by_service: dict[str, OrderHistory] = {}
        policy = settings.policy
        self._limit = FleetLimit.from_policy(policy.most_engines, policy.most_price)
        self._limited_by_service: dict[str, int] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> Fleet:
        """
        Build the service `fleet` of a control VM.

        :param settings: the VM's settings, already validated; `scales` allows orders.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start to compare periodically how many endpoints of each service serve and are wanted."""
        self._directory = kernel.find("directory")
        self._duties = kernel.find("duties")
        self._outside = kernel.find("outside")
        self._counters = kernel.find("counters")
        self._tick_timer = kernel.find("timer").subscribe("fleet", TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop the periodic comparison, and with it the orders of endpoints."""
        self._tick_timer.cancel()

    async def _tick(self, now: float) -> None:
        table = self._directory.state.table
        if not self._may_scale or table is None or not self._duties.may_order():
            return
        # Without this delay, a new leader that has not yet received the announcements of all
        # endpoints would count some endpoints as lost and order replacements.
        if now < self._directory.led_since + COUNT_AFTER_S:
            return
        for terms in table.services:
            if terms.scaling is not None:
                await self._order_endpoints(terms, now)

    async def _order_endpoints(self, terms: ServiceTerms, now: float) -> None:
        evacuated = self._directory.state.evacuated
        serving = self._count_serving(terms.name)
        present = {name: count for name, count in serving.items() if name not in evacuated}
        total = sum(serving.values())
        wanted = self._directory.state.fleet_by_service.get(terms.name)
        if wanted is None:
            if total:
                await self._directory.propose(SetFleet(terms.name, total))
            return
        demand = self._directory.sessions.demand(terms.name, now)
        returning = total - sum(present.values())
        wanted = wanted_count(wanted - returning, demand, terms.capacity)
        scaling = terms.scaling
        prices = {
            name: price
            for name, price in scaling.price_by_data_centre.items()
            if name not in evacuated
        }
        market = PlatformOffer(scaling.most, scaling.boot_s, prices)
        fleet = self._fleet_by_service.setdefault(terms.name, OrderHistory())
        evacuated_count = {name: count for name, count in serving.items() if name in evacuated}
        limit = limit_beside(self._limit, evacuated_count, scaling.price_by_data_centre)
        limited = missing_by_limit(fleet, market, wanted, present, now, limit)
        self._log_limited(terms.name, limited, wanted, serving)
        order = next_order(fleet, market, wanted, present, now, limit)
        if order is None:
            return
        request = self._outside.fleet_order(
            FleetOrder(terms.name, order.data_centre, order.count), self._duties.sender()
        )
        answer = await self._duties.send(request, ORDER_TIMEOUT_S)
        status = answer.status if isinstance(answer, HttpAnswer) else 0
        eliot.log_message(
            "fleet:ordered",
            service=terms.name,
            data_centre=order.data_centre,
            count=order.count,
            present=present,
            wanted=wanted,
            status=status,
        )
        self._counters.add(f"fleet.answer_{status}")
        if 200 <= status < 300:
            fleet.record_order(order, market, now)
            return
        fleet.record_refusal(order.data_centre, now)

    def _log_limited(self, service: str, missing: int, wanted: int, serving: dict) -> None:
        if missing == self._limited_by_service.get(service, 0):
            return
        self._limited_by_service[service] = missing
        eliot.log_message(
            "fleet:limited",
            service=service,
            missing=missing,
            wanted=wanted,
            serving=serving,
            most_engines=self._limit.most_endpoints,
            most_price=self._limit.most_price,
        )
        if missing:
            self._counters.add("fleet.limited")

    def _count_serving(self, service: str) -> dict[str, int]:
        present: dict[str, int] = {}
        for received in self._directory.endpoints.table.records():
            record = received.record
            if record.service == service and record.state == SERVING:
                present[record.data_centre] = present.get(record.data_centre, 0) + 1
        return present


__all__ = ["Fleet"]
