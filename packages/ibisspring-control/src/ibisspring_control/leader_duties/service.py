"""The service `leader_duties`: orders, usage reports and drains while the leader lease is valid."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ibisspring_control.leader_duties.backoff import Backoff
from ibisspring_control.leader_duties.drains import Drains
from ibisspring_control.leader_duties.fleet import Fleet
from ibisspring_control.leader_duties.leadership import Leadership, LeadershipWatch
from ibisspring_control.leader_duties.orders import PLATFORM, OrderEnd, Orders, OrderSettings
from ibisspring_control.leader_duties.usage_reports import ReportSettings, UsageReports
from ibisspring_core.clock import boot_now, wall_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.drain import DrainLimits

if TYPE_CHECKING:
    from ibisspring_control.state.orders import Order
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

# Seconds between two runs of each duty: resuming open orders, reporting usage, managing endpoints.
ORDERS_TICK_S = 0.25
USAGE_TICK_S = 0.5
ENDPOINTS_TICK_S = 1.0
# Maximum number of open orders that are resumed at the same time. A receiver that does not answer
# occupies one of these slots for the complete order timeout.
MAX_CONCURRENT_RESUMES = 16
# Seconds for which a new leader does not resume an order whose receiver it does not know. Entries
# take less time than this to send all their endpoints to a new leader.
UNKNOWN_RECEIVER_WAIT_S = 30.0
ENDPOINT_RECEIVER = "endpoint:"
USAGE = "usage"


class LeaderDuties:
    """
    Sends orders to the platform and to engines, and usage reports, on the leader only.

    A follower sends nothing, and neither does a new leader while it waits for the end of the lease
    and the orders of the leader before it.
    """

    name = "leader_duties"

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._subscriptions: list[Any] = []
        self._backoff = Backoff()

    @classmethod
    def from_config(cls, settings: Settings) -> LeaderDuties:
        """
        Build the service from a daemon's settings: URLs, time limits and the usage window.

        :param settings: checked settings with a `control` section.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start the periodic duties: resume orders, report usage, manage endpoints."""
        self._state = kernel.find("state")
        self._leases = kernel.find("entry_leases")
        self._build_duties(kernel.find("consensus"), kernel.find("counters"))
        timer = kernel.find("timer")
        control = self._settings.control
        callback_by_name = {"orders": (ORDERS_TICK_S, self._resume_orders)}
        if control.usage_url:
            callback_by_name["usage"] = (USAGE_TICK_S, self._report_usage)
        if control.platform_url:
            callback_by_name["endpoints"] = (ENDPOINTS_TICK_S, self._manage_endpoints)
        for name, (interval_s, callback) in callback_by_name.items():
            subscription = timer.subscribe(f"leader_duties:{name}", interval_s, callback)
            self._subscriptions.append(subscription)

    def _build_duties(self, consensus: Any, counters: Any) -> None:
        control = self._settings.control
        daemon = self._settings.daemon
        state = self._state
        self._watch = LeadershipWatch.from_config(consensus, control)
        min_lease_s = min(control.order_timeout_s, control.leader_lease_s / 2)
        order_settings = OrderSettings(
            daemon, control.platform_url, control.order_timeout_s, min_lease_s
        )
        self._orders = Orders(consensus, state, self._watch, counters, order_settings, self._url_of)
        report_settings = ReportSettings(
            daemon,
            control.usage_url,
            control.usage_window_s,
            control.order_timeout_s,
            min_lease_s,
        )
        self._usage = UsageReports(consensus, state, self._watch, counters, report_settings)
        limits = DrainLimits(control.drain_settle_s, control.drain_deadline_s)
        self._drains = Drains(consensus, state, self._leases, self._orders, counters, limits)
        self._fleet = Fleet(consensus, state, self._leases, self._orders, counters)

    async def stop(self) -> None:
        """Stop the periodic duties; an order in flight is aborted and stays open in the state."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def leadership(self) -> Leadership | None:
        """
        Return the leadership in which this replica may send orders now.

        :return: None if this replica is a follower, or waits for the end of the lease and the
            orders of the leader before it.
        """
        return self._watch.current(boot_now())

    async def send_order(
        self, receiver: str, order_id: str, order: dict[str, Any]
    ) -> OrderEnd | Refusal:
        """
        Send one order to the platform or to an endpoint, as the leader.

        :param receiver: `platform` or `endpoint:<id>`.
        :param order_id: idempotency key of the order; never reused for another order, but a retry
            after a refusal uses the same one.
        :param order: the order's fields without `order_id` and `fencing`, see docs/API.md.
        :return: the order's outcome, or a refusal: `NO_LEADER` if this replica may not act as the
            leader, `MAY_HAVE_RUN` if no answer came (the order is resolved later under the same
            id).
        """
        leadership = self.leadership()
        if leadership is None:
            return Refusal(
                Reason.NO_LEADER, not_run=True, detail="this replica may not act as the leader"
            )
        return await self._orders.send(leadership, receiver, order_id, order)

    def _url_of(self, receiver: str) -> str | None:
        if receiver == PLATFORM:
            return self._settings.control.platform_url or None
        endpoint = receiver.removeprefix(ENDPOINT_RECEIVER)
        record = self._leases.endpoint_by_id.get(endpoint)
        if record is None:
            return None
        return f"http://{record.address}"

    async def _resume_orders(self, now: float) -> None:
        leadership = self._watch.current(now)
        if leadership is None:
            return
        order_by_receiver: dict[str, Order] = {}
        for order in self._state.open_orders():
            order_by_receiver.setdefault(order.intent.receiver, order)
        limit = asyncio.Semaphore(MAX_CONCURRENT_RESUMES)
        await asyncio.gather(
            *(self._resume_order(leadership, order, limit) for order in order_by_receiver.values())
        )

    async def _resume_order(
        self, leadership: Leadership, order: Order, limit: asyncio.Semaphore
    ) -> None:
        receiver = order.intent.receiver
        now = boot_now()
        if not self._backoff.ready(receiver, now):
            return
        # Until the entries have sent their endpoints to a new leader, every endpoint is unknown as
        # a receiver. An order to an unknown receiver would be resolved as `unknown`.
        if (
            self._url_of(receiver) is None
            and now < leadership.may_send_from_s + UNKNOWN_RECEIVER_WAIT_S
        ):
            return
        async with limit:
            end = await self._orders.resume(leadership, order)
        self._backoff.record_attempt(receiver, isinstance(end, Refusal), boot_now())

    async def _report_usage(self, now: float) -> None:
        leadership = self._watch.current(now)
        if leadership is None or not self._backoff.ready(USAGE, now):
            return
        complete = await self._usage.run(leadership, wall_now())
        self._backoff.record_attempt(USAGE, not complete, boot_now())

    async def _manage_endpoints(self, now: float) -> None:
        leadership = self._watch.current(now)
        if leadership is None:
            return
        await self._drains.run(leadership, now, wall_now())
        await self._fleet.run(leadership, now, wall_now())


__all__ = ["LeaderDuties"]
