"""The service `in_charge`: runs the leader's duties while its lease lasts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_control.in_charge.orders import PLATFORM, OrderEnd, Orders, OrderSettings
from ibisspring_control.in_charge.tenure import Tenure, TenureWatch
from ibisspring_control.in_charge.usage_reports import ReportSettings, UsageReports
from ibisspring_core.clock import boot_now, wall_now
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_control.in_charge.duty_state import DutyState
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

ORDERS_TICK_S = 0.25
USAGE_TICK_S = 0.5
ENDPOINT_RECEIVER = "endpoint:"


class InCharge:
    """
    Sends platform orders, engine orders and usage reports, in the leader alone.

    A replica that only follows, or that still waits for its predecessor's last order to be over,
    sends nothing.
    """

    name = "in_charge"

    def __init__(self, settings: Settings, state: DutyState | None = None) -> None:
        self._settings = settings
        self._state = state
        self._subscriptions: list[Any] = []

    @classmethod
    def from_config(cls, settings: Settings) -> InCharge:
        """
        Build the service.

        :param settings: checked settings with a `control` section.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Subscribe the duties to the timer."""
        consensus = kernel.find("consensus")
        counters = kernel.find("counters")
        control = self._settings.control
        self._entry_leases = kernel.find_optional("entry_leases")
        if self._state is None:
            self._state = kernel.find("state")
        self._watch = TenureWatch.from_config(consensus, control)
        least_lease_s = min(control.order_timeout_s, control.leader_lease_s / 2)
        order_settings = OrderSettings(
            self._settings.daemon, control.platform_url, control.order_timeout_s, least_lease_s
        )
        self._orders = Orders(consensus, self._watch, counters, order_settings, self._url_of)
        report_settings = ReportSettings(
            self._settings.daemon,
            control.usage_url,
            control.usage_window_s,
            control.order_timeout_s,
            least_lease_s,
        )
        self._usage = UsageReports(consensus, self._state, self._watch, counters, report_settings)
        timer = kernel.find("timer")
        self._subscriptions = [timer.subscribe("in_charge:orders", ORDERS_TICK_S, self._tick)]
        if control.usage_url:
            self._subscriptions.append(
                timer.subscribe("in_charge:usage", USAGE_TICK_S, self._tick_usage)
            )

    async def stop(self) -> None:
        """End the duties; an order under way is aborted and stays open in the log."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def tenure(self) -> Tenure | None:
        """
        Find the tenure in which this replica may act now.

        :return: None while it follows or waits out its predecessor.
        """
        return self._watch.current(boot_now())

    async def send_order(
        self, receiver: str, order_id: str, order: dict[str, Any]
    ) -> OrderEnd | Refusal:
        """
        Send one order as the process in charge.

        :param receiver: `platform` or `endpoint:<id>`.
        :param order_id: its idempotency key, unique for ever; the same one after a refusal.
        :param order: the order's fields but for `order_id` and `fencing`, see docs/API.md.
        :return: its end; `NO_LEADER` when not in charge, `MAY_HAVE_RUN` when no answer came (it
            is resolved later under the same id).
        """
        tenure = self.tenure()
        if tenure is None:
            return Refusal(Reason.NO_LEADER, not_run=True, detail="not in charge")
        return await self._orders.send(tenure, receiver, order_id, order)

    def _url_of(self, receiver: str) -> str | None:
        if receiver == PLATFORM:
            return self._settings.control.platform_url or None
        if self._entry_leases is None:
            return None
        endpoint = receiver.removeprefix(ENDPOINT_RECEIVER)
        record = self._entry_leases.endpoint_by_id.get(endpoint)
        if record is None:
            return None
        return f"http://{record.address}"

    async def _tick(self, now: float) -> None:
        tenure = self._watch.current(now)
        if tenure is None:
            return
        for order in self._state.open_orders():
            await self._orders.resume(tenure, order)

    async def _tick_usage(self, now: float) -> None:
        tenure = self._watch.current(now)
        if tenure is None:
            return
        await self._usage.run(tenure, wall_now())


__all__ = ["InCharge"]
