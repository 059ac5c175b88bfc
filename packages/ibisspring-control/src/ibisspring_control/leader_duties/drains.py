"""Drains: no new work, then idle or at the deadline, then the stop order to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_control.leader_duties.orders import PLATFORM, Orders
from ibisspring_control.leader_duties.proposals import commit
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.commands import DrainEndpoint
from ibisspring_core.request_ids import new_request_id
from ibisspring_decisions.drain import Draining, DrainLimits, DrainStep, next_step

if TYPE_CHECKING:
    from ibisspring_control.entry_leases import EntryLeases
    from ibisspring_control.leader_duties.leadership import Leadership
    from ibisspring_control.state import StateMachine
    from ibisspring_control.state.drains import Drain
    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord

# An endpoint that was drained and never came back is forgotten, so that its id may be used again.
FORGET_ABSENT_S = 600.0
OPERATOR = "leader_duties"
SERVING = "serving"


class Drains:
    """Follows the drains in the replicated state through to the stop order."""

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
        # What one leadership has seen; another leader sees it anew and waits a little longer.
        self._term = 0
        self._in_force_by_endpoint: dict[str, tuple[float, int]] = {}
        self._absent_since_by_endpoint: dict[str, float] = {}

    async def run(self, leadership: Leadership, now: float, wall_s: float) -> None:
        """
        Take each drain one step on.

        :param leadership: the leadership under which stop orders are sent.
        :param now: boot-clock seconds.
        :param wall_s: wall-clock seconds, the clock of the commands' stamps.
        """
        if self._term != leadership.term:
            self._term = leadership.term
            self._in_force_by_endpoint.clear()
            self._absent_since_by_endpoint.clear()
        for drain in tuple(self._state.drains.drain_by_endpoint.values()):
            record = self._leases.endpoint_by_id.get(drain.endpoint)
            # Leaving is final for an incarnation, so one that was stopped and leaves is as good as
            # gone; entries go on speaking of it.
            stopped = self._stopped(drain.endpoint)
            if record is None or (stopped and record.state != SERVING):
                await self._absent(drain, stopped, now)
                continue
            self._absent_since_by_endpoint.pop(drain.endpoint, None)
            step = await self._decide(drain, record, now, wall_s)
            if step is not DrainStep.WAIT:
                await self._stop(leadership, record, step)

    async def _decide(
        self, drain: Drain, record: EndpointRecord, now: float, wall_s: float
    ) -> DrainStep:
        if drain.endpoint not in self._in_force_by_endpoint:
            in_force = await self._leases.wait_in_force(drain.index, 0.0)
            if not isinstance(in_force, Refusal):
                self._in_force_by_endpoint[drain.endpoint] = (now, record.sequence)
        in_force_s, sequence = self._in_force_by_endpoint.get(drain.endpoint, (None, 0))
        draining = Draining(
            asked_s=now - max(0.0, wall_s - drain.stamped_s),
            in_force_s=in_force_s,
            in_flight=record.load.running + record.load.queued,
            announced_since=record.sequence > sequence,
        )
        return next_step(draining, self._limits, now)

    async def _stop(self, leadership: Leadership, record: EndpointRecord, step: DrainStep) -> None:
        order_id = self._order_id(record)
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

    def _order_id(self, record: EndpointRecord) -> str | None:
        """
        Find the id of the stop order.

        It follows from the replicated state alone, so that a new leader goes on with the order of
        the old one and never sends a second one under another id.

        :return: None while the order is open (it is resolved under its own id) or when it is done.
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

    def _stopped(self, endpoint: str) -> bool:
        return any(
            order.outcome == "done" and order.order_id.rsplit("-", 2)[0] == f"stop-{endpoint}"
            for order in self._state.orders.order_by_id.values()
        )

    async def _absent(self, drain: Drain, stopped: bool, now: float) -> None:
        since_s = self._absent_since_by_endpoint.setdefault(drain.endpoint, now)
        # A new leader's table fills within seconds; until then every endpoint looks absent.
        wait_s = self._limits.settle_s if stopped else FORGET_ABSENT_S
        if now - since_s < wait_s:
            return
        lift = DrainEndpoint(drain.endpoint, OPERATOR, cancel=True)
        await commit(self._consensus, lift, new_request_id())


__all__ = ["Drains"]
