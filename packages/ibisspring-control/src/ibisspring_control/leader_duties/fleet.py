"""Keeps the endpoints as the `place` rules say: starts them, has them drained."""

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
from ibisspring_decisions.capacity import Capacity, Place, Running, Start, Stop, Wanted

if TYPE_CHECKING:
    from ibisspring_control.entry_leases import EntryLeases
    from ibisspring_control.leader_duties.leadership import Leadership
    from ibisspring_control.state import StateMachine
    from ibisspring_control.state.orders import Order
    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord

# Entries hand all their endpoints to a new leader with their first renewals; planned on before, an
# empty table would look like a lost fleet and be ordered anew.
TABLE_FILL_S = 6.0
# An endpoint that was ordered and has not announced itself by then is taken as failed.
START_PATIENCE_S = 120.0
OPERATOR = "leader_duties"
SERVING = "serving"


@dataclass(frozen=True)
class _Seen:
    place: Place
    service: str
    since_s: float


class Fleet:
    """Plans each placed service and carries the steps out."""

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
        self._capacity = Capacity()
        self._seen_by_endpoint: dict[str, _Seen] = {}
        self._order_number = 0

    async def run(self, leadership: Leadership, now: float, wall_s: float) -> None:
        """
        Plan once.

        :param leadership: the leadership under which orders are sent.
        :param now: boot-clock seconds.
        :param wall_s: wall-clock seconds, the clock of the orders' stamps.
        """
        if self._term != leadership.term:
            self._term = leadership.term
            self._capacity = Capacity()
            self._seen_by_endpoint = {}
            self._order_number = 0
        # Endpoints are known through live entries alone: without one, a fleet that serves well
        # would look lost.
        if now < leadership.acts_from_s + TABLE_FILL_S or not self._leases.live():
            return
        self._look(now, wall_s)
        placements = self._state.rules.rules.placement_by_service
        for service, placement in sorted(placements.items()):
            wanted = Wanted(placement.data_centres, placement.count, placement.cheap_share)
            steps = self._capacity.plan(
                service, wanted, self._running(service), self._pending(service, wall_s), now
            )
            for step in steps:
                await self._carry_out(leadership, service, step, now)

    def _look(self, now: float, wall_s: float) -> None:
        serving = {
            endpoint: record
            for endpoint, record in self._leases.endpoint_by_id.items()
            if record.state == SERVING
        }
        draining = self._state.drains.drain_by_endpoint
        for endpoint in [known for known in self._seen_by_endpoint if known not in serving]:
            seen = self._seen_by_endpoint.pop(endpoint)
            if endpoint in draining:
                continue
            self._counters.add("endpoint.lost")
            eliot.log_message("fleet:lost", endpoint=endpoint, kind=seen.place.kind)
            self._capacity.note_lost(seen.place, now)
        first_look = not self._seen_by_endpoint
        for endpoint, record in serving.items():
            if endpoint not in self._seen_by_endpoint:
                # What a new leader finds at its first look may be old: it proves no order's end.
                since_s = 0.0 if first_look else wall_s
                self._seen_by_endpoint[endpoint] = _Seen(_place_of(record), record.service, since_s)

    def _running(self, service: str) -> tuple[Running, ...]:
        draining = self._state.drains.drain_by_endpoint
        return tuple(
            Running(endpoint, _place_of(record), record.load.running + record.load.queued)
            for endpoint, record in sorted(self._leases.endpoint_by_id.items())
            if record.service == service and record.state == SERVING and endpoint not in draining
        )

    def _pending(self, service: str, wall_s: float) -> tuple[Place, ...]:
        """Places of ordered endpoints that have not announced themselves."""
        arrivals = [seen for seen in self._seen_by_endpoint.values() if seen.service == service]
        pending = []
        for order in self._state.orders.order_by_id.values():
            place = _started_place(order, service)
            if place is None or wall_s - order.stamped_s > START_PATIENCE_S:
                continue
            arrived = next(
                (
                    seen
                    for seen in arrivals
                    if seen.place == place and seen.since_s >= order.stamped_s
                ),
                None,
            )
            if arrived is not None:
                arrivals.remove(arrived)
                continue
            pending.append(place)
        return tuple(pending)

    async def _carry_out(
        self, leadership: Leadership, service: str, step: Start | Stop, now: float
    ) -> None:
        if isinstance(step, Stop):
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
            self._capacity.note_unavailable(step.place, now)


def _place_of(record: EndpointRecord) -> Place:
    return Place(record.data_centre, record.kind)


def _started_place(order: Order, service: str) -> Place | None:
    """Where an order starts an endpoint of the service; None for other orders and refused ones."""
    if order.outcome == "refused" or not order.order_id.startswith(f"start-{service}-"):
        return None
    body = json.loads(order.body)
    if body["service"] != service:
        return None
    return Place(body["data_centre"], body["kind"])


__all__ = ["Fleet"]
