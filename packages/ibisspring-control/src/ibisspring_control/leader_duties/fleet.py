"""Orders starts and drains of endpoints so that each service has those its `place` rule names."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_control.leader_duties.orders import PLATFORM, OrderEnd, Orders
from ibisspring_control.leader_duties.proposals import commit
from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import DrainEndpoint
from ibisspring_core.request_ids import new_request_id
from ibisspring_decisions.capacity import (
    CapacityPlanner,
    CapacityPool,
    RunningEndpoint,
    StartEndpoint,
    StopEndpoint,
    WantedFleet,
)

if TYPE_CHECKING:
    from ibisspring_control.entry_leases import EntryLeases
    from ibisspring_control.leader_duties.leadership import Leadership
    from ibisspring_control.state import StateMachine
    from ibisspring_control.state.orders import Order
    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord

# Seconds after a new leader may send orders until it makes its first plan. Entries send all their
# endpoints to a new leader with their first renewals. A plan made before that would treat the empty
# endpoint table as a lost fleet and order the complete fleet again.
TABLE_SYNC_S = 6.0
# Seconds after the order to start an endpoint until it counts as failed if it has not announced
# itself.
START_TIMEOUT_S = 120.0
OPERATOR = "leader_duties"
SERVING = "serving"


@dataclass(frozen=True)
class _KnownEndpoint:
    """
    A serving endpoint in the endpoint table of this leader.

    :param place: data centre and kind (cheap or standard) of the endpoint.
    :param since_s: wall-clock seconds at which the endpoint was first found in the table; 0 if it
        was there when this leader first read the table.
    """

    place: CapacityPool
    service: str
    since_s: float


class Fleet:
    """Plans the endpoints of each service with a `place` rule; orders their starts and drains."""

    def __init__(
        self,
        consensus: Any,
        state: StateMachine,
        leases: EntryLeases,
        orders: Orders,
        counters: Counters,
    ) -> None:
        self._consensus = consensus
        self._state = state
        self._leases = leases
        self._orders = orders
        self._counters = counters
        self._term = 0
        self._capacity = CapacityPlanner()
        self._known_by_endpoint: dict[str, _KnownEndpoint] = {}
        self._order_number = 0

    async def run(self, leadership: Leadership, now: float, wall_s: float) -> None:
        """
        Plan the endpoints of each service once, and order the planned starts and drains.

        :param leadership: the leadership under which orders are sent.
        :param now: boot-clock seconds.
        :param wall_s: wall-clock seconds, comparable to `stamped_s` of the orders.
        """
        if self._term != leadership.term:
            self._term = leadership.term
            self._capacity = CapacityPlanner()
            self._known_by_endpoint = {}
            self._order_number = 0
        # Only entries with a live lease report endpoints. If a plan were made while there is no
        # such entry, a fleet that is serving would appear to be lost and be ordered again.
        if now < leadership.may_send_from_s + TABLE_SYNC_S or not self._leases.live_leases():
            return
        self._update_known_endpoints(now, wall_s)
        placements = self._state.rules.rules.placement_by_service
        for service, placement in sorted(placements.items()):
            wanted = WantedFleet(placement.data_centres, placement.count, placement.cheap_share)
            steps = self._capacity.plan(
                service, wanted, self._running(service), self._pending(service, wall_s), now
            )
            for step in steps:
                await self._execute(leadership, service, step, now)

    def _update_known_endpoints(self, now: float, wall_s: float) -> None:
        serving = {
            endpoint: record
            for endpoint, record in self._leases.endpoint_by_id.items()
            if record.state == SERVING
        }
        draining = self._state.drains.drain_by_endpoint
        for endpoint in [known for known in self._known_by_endpoint if known not in serving]:
            removed = self._known_by_endpoint.pop(endpoint)
            if endpoint in draining:
                continue
            self._counters.add("endpoint.lost")
            eliot.log_message("fleet:lost", endpoint=endpoint, kind=removed.place.kind)
            self._capacity.record_loss(removed.place, now)
        first_update = not self._known_by_endpoint
        for endpoint, record in serving.items():
            if endpoint not in self._known_by_endpoint:
                # Endpoints that a new leader finds when it first reads the table may be older than
                # the recent start orders, so they must not be matched to such an order.
                since_s = 0.0 if first_update else wall_s
                self._known_by_endpoint[endpoint] = _KnownEndpoint(
                    _place_of(record), record.service, since_s
                )

    def _running(self, service: str) -> tuple[RunningEndpoint, ...]:
        draining = self._state.drains.drain_by_endpoint
        return tuple(
            RunningEndpoint(endpoint, _place_of(record), record.load.running + record.load.queued)
            for endpoint, record in sorted(self._leases.endpoint_by_id.items())
            if record.service == service and record.state == SERVING and endpoint not in draining
        )

    def _pending(self, service: str, wall_s: float) -> tuple[CapacityPool, ...]:
        """Return data centre and kind of each ordered endpoint that has not announced itself."""
        arrivals = [
            arrival for arrival in self._known_by_endpoint.values() if arrival.service == service
        ]
        pending = []
        for order in self._state.orders.order_by_id.values():
            place = _place_of_start_order(order, service)
            if place is None or wall_s - order.stamped_s > START_TIMEOUT_S:
                continue
            arrived = next(
                (
                    arrival
                    for arrival in arrivals
                    if arrival.place == place and arrival.since_s >= order.stamped_s
                ),
                None,
            )
            if arrived is not None:
                arrivals.remove(arrived)
                continue
            pending.append(place)
        return tuple(pending)

    async def _execute(
        self, leadership: Leadership, service: str, step: StartEndpoint | StopEndpoint, now: float
    ) -> None:
        if isinstance(step, StopEndpoint):
            drain = DrainEndpoint(step.endpoint, OPERATOR)
            await commit(self._consensus, drain, new_request_id())
            return
        self._order_number += 1
        order = {
            "data_centre": step.place.data_centre,
            "service": service,
            "kind": step.place.kind,
            "action": "start",
            "endpoint": "",
            "count": 1,
        }
        order_id = f"start-{service}-{leadership.term}-{self._order_number}"
        end = await self._orders.send(leadership, PLATFORM, order_id, order)
        if isinstance(end, OrderEnd) and end.outcome != "done":
            self._counters.refused(Reason.NO_ENDPOINT)
            self._capacity.record_unavailable(step.place, now)


def _place_of(record: EndpointRecord) -> CapacityPool:
    return CapacityPool(record.data_centre, record.kind)


def _place_of_start_order(order: Order, service: str) -> CapacityPool | None:
    """Return the place in a start order for a service; None if it is refused or another order."""
    if order.outcome == "refused" or not order.order_id.startswith(f"start-{service}-"):
        return None
    body = json.loads(order.body)
    if body["service"] != service:
        return None
    return CapacityPool(body["data_centre"], body["kind"])


__all__ = ["Fleet"]
