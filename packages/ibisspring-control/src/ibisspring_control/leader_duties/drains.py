"""Drains: sends the stop order once a draining endpoint is idle or its deadline has passed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_control.leader_duties.orders import PLATFORM, Orders
from ibisspring_control.leader_duties.proposals import commit
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.commands import DrainEndpoint
from ibisspring_core.request_ids import new_request_id
from ibisspring_decisions.drain import DrainingEndpoint, DrainLimits, DrainStep, next_drain_step

if TYPE_CHECKING:
    from ibisspring_control.entry_leases import EntryLeases
    from ibisspring_control.leader_duties.leadership import Leadership
    from ibisspring_control.state import StateMachine
    from ibisspring_control.state.drains import Drain
    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord

# Seconds after the last report of a draining endpoint by any entry until its drain is cancelled, so
# that a new endpoint may use the same id.
CANCEL_ABSENT_AFTER_S = 600.0
OPERATOR = "leader_duties"
SERVING = "serving"


class Drains:
    """Sends the stop orders for drains in the replicated state, and cancels drains that ended."""

    def __init__(
        self,
        consensus: Any,
        state: StateMachine,
        leases: EntryLeases,
        orders: Orders,
        counters: Counters,
        limits: DrainLimits,
    ) -> None:
        self._consensus = consensus
        self._state = state
        self._leases = leases
        self._orders = orders
        self._counters = counters
        self._limits = limits
        # What this leader has observed in its term: since when each drain is in force, and since
        # when each draining endpoint is absent. A new leader starts without these observations,
        # which only makes its drains take longer.
        self._term = 0
        self._in_force_by_endpoint: dict[str, tuple[float, int]] = {}
        self._absent_since_by_endpoint: dict[str, float] = {}

    async def run(self, leadership: Leadership, now: float, wall_s: float) -> None:
        """
        Decide for each drain: wait, send the stop order, or cancel the drain of a removed endpoint.

        :param leadership: the leadership under which stop orders are sent.
        :param now: boot-clock seconds.
        :param wall_s: wall-clock seconds, comparable to `stamped_s` of the drains.
        """
        if self._term != leadership.term:
            self._term = leadership.term
            self._in_force_by_endpoint.clear()
            self._absent_since_by_endpoint.clear()
        for drain in tuple(self._state.drains.drain_by_endpoint.values()):
            record = self._leases.endpoint_by_id.get(drain.endpoint)
            # An endpoint that has left the state `serving` never returns to it in the same
            # incarnation. An endpoint whose stop order is done and that is not serving therefore
            # counts as removed, although entries may still report it.
            stopped = self._is_stopped(drain.endpoint)
            if record is None or (stopped and record.state != SERVING):
                await self._cancel_if_absent(drain, stopped, now)
                continue
            self._absent_since_by_endpoint.pop(drain.endpoint, None)
            step = await self._next_drain_step(drain, record, now, wall_s)
            if step is not DrainStep.WAIT:
                await self._send_stop_order(leadership, record, step)

    async def _next_drain_step(
        self, drain: Drain, record: EndpointRecord, now: float, wall_s: float
    ) -> DrainStep:
        if drain.endpoint not in self._in_force_by_endpoint:
            in_force = await self._leases.wait_in_force(drain.index, 0.0)
            if not isinstance(in_force, Refusal):
                self._in_force_by_endpoint[drain.endpoint] = (now, record.sequence)
        in_force_s, sequence = self._in_force_by_endpoint.get(drain.endpoint, (None, 0))
        draining = DrainingEndpoint(
            requested_s=now - max(0.0, wall_s - drain.stamped_s),
            in_force_since_s=in_force_s,
            in_flight=record.load.running + record.load.queued,
            announced_since=record.sequence > sequence,
        )
        return next_drain_step(draining, self._limits, now)

    async def _send_stop_order(
        self, leadership: Leadership, record: EndpointRecord, step: DrainStep
    ) -> None:
        order_id = self._next_stop_order_id(record)
        if order_id is None:
            return
        order = {
            "data_centre": record.data_centre,
            "service": record.service,
            "kind": record.kind,
            "action": "stop",
            "endpoint": record.endpoint,
            "count": 1,
        }
        if step is DrainStep.STOP_AT_DEADLINE:
            self._counters.add("drain.deadline")
        eliot.log_message("drain:stop", endpoint=record.endpoint, step=step.value)
        await self._orders.send(leadership, PLATFORM, order_id, order)

    def _next_stop_order_id(self, record: EndpointRecord) -> str | None:
        """
        Return the id of the stop order to send for an endpoint.

        The order id depends only on the endpoint's record and the replicated state, so that a new
        leader continues the stop order of the leader before it instead of sending a second one with
        another id.

        :return: the order id, or None if the order is open (`Orders.resume` resolves it) or done.
        """
        order_by_id = self._state.orders.order_by_id
        attempt = 0
        while True:
            order_id = f"stop-{record.endpoint}-{record.incarnation}-{attempt}"
            known = order_by_id.get(order_id)
            if known is None:
                return order_id
            if known.outcome != "refused":
                return None
            attempt += 1

    def _is_stopped(self, endpoint: str) -> bool:
        return any(
            order.outcome == "done" and order.order_id.rsplit("-", 2)[0] == f"stop-{endpoint}"
            for order in self._state.orders.order_by_id.values()
        )

    async def _cancel_if_absent(self, drain: Drain, stopped: bool, now: float) -> None:
        since_s = self._absent_since_by_endpoint.setdefault(drain.endpoint, now)
        # Entries send all endpoints to a new leader within seconds. Until they have done so, every
        # endpoint is absent from the new leader's table. If the drain were cancelled without a
        # wait, the endpoint would receive new requests again.
        wait_s = self._limits.settle_s if stopped else CANCEL_ABSENT_AFTER_S
        if now - since_s < wait_s:
            return
        cancellation = DrainEndpoint(drain.endpoint, OPERATOR, cancel=True)
        await commit(self._consensus, cancellation, new_request_id())


__all__ = ["Drains"]
