"""The service `engine_orders`: the leader has engines load weights, adapters and roles."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import eliot

from ibisspring_control.engine_orders.loads import Load, LoadTable, Target
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings import ControlSettings, Settings

TICK_S = 0.2


class EngineOrders:
    """Orders loads in waves while this replica is in charge."""

    name = "engine_orders"

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._loads = self._no_loads()
        self._term: int | None = None
        self._turn = 0
        self._sending: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(cls, settings: Settings) -> EngineOrders:
        """
        Build the service.

        :param settings: settings of a daemon with the control role.
        :return: the service.
        """
        return cls(settings.control)

    async def start(self, kernel: Kernel) -> None:
        """
        Subscribe to the timer.

        :param kernel: holds state, entry_leases, leader_duties, timer, counters.
        """
        self._state = kernel.find("state")
        self._entry_leases = kernel.find("entry_leases")
        self._leader_duties = kernel.find("leader_duties")
        self._counters = kernel.find("counters")
        self._timer = kernel.find("timer")
        self._subscription = self._timer.subscribe("engine_orders", TICK_S, self._tick)

    async def stop(self) -> None:
        """Send no more; `leader_duties` aborts an order under way, which stays open in the log."""
        self._subscription.cancel()
        for task in tuple(self._sending):
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def set_role(self, endpoint: str, role: str) -> Any:
        """
        Order an engine to change its role.

        :param endpoint: id of the engine.
        :param role: the role, in the engine's own words.
        :return: the order's end or a refusal, as for `leader_duties.send_order`.
        """
        record = self._entry_leases.endpoint_by_id.get(endpoint)
        if record is None:
            return Refusal(Reason.NO_ENDPOINT, not_run=True, detail=f"{endpoint} is not announced")
        order_id = f"role-{endpoint}-{record.incarnation}-{record.sequence}-{role}"
        order = {"kind": "set_role", "model": record.service, "role": role}
        return await self._leader_duties.send_order(f"endpoint:{endpoint}", order_id, order)

    async def _tick(self, now: float) -> None:
        leadership = self._leader_duties.leadership()
        if leadership is None:
            self._term = None
            return
        if self._term != leadership.term:
            # What an earlier leader had under way is not known here; engines answer what they hold.
            self._term = leadership.term
            self._loads = self._no_loads()
        engines = self._engines()
        self._loads.keep_only(engines)
        for disproof in self._entry_leases.take_disproofs():
            self._loads.disprove(disproof, now)
        for target in self._targets():
            of_model = tuple(engine for engine in engines if engine.service == target.model)
            for load in self._loads.plan(target, of_model, now):
                self._order(load, leadership.term)

    def _no_loads(self) -> LoadTable:
        return LoadTable(self._settings.weight_store_concurrency, self._settings.load_timeout_s)

    def _engines(self) -> tuple[EndpointRecord, ...]:
        return tuple(
            record
            for record in self._entry_leases.endpoint_by_id.values()
            if record.role == "engine" and record.state == "serving"
        )

    def _targets(self) -> tuple[Target, ...]:
        """Every adapter's wanted version, another one first each time so that none starves."""
        targets = []
        for model, trainers in sorted(self._state.rules.rules.trainers_by_model.items()):
            for trainer in trainers:
                version = self._state.trainers.version_of(trainer)
                if version > 0:
                    targets.append(Target(model, trainer, version))
        if not targets:
            return ()
        self._turn = (self._turn + 1) % len(targets)
        return tuple(targets[self._turn :] + targets[: self._turn])

    def _order(self, load: Load, term: int) -> None:
        task = asyncio.create_task(self._send(load, term))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, load: Load, term: int) -> None:
        target = load.target
        order = {
            "kind": "load_version",
            "model": target.model,
            "adapter": target.adapter,
            "version": target.version,
            "weights_url": self._weights_url(target),
        }
        order_id = (
            f"load-{load.endpoint}-{load.incarnation}-{target.adapter}-{target.version}"
            f"-{term}.{load.attempt}"
        )
        end = await self._leader_duties.send_order(f"endpoint:{load.endpoint}", order_id, order)
        if isinstance(end, Refusal):
            if end.reason is Reason.MAY_HAVE_RUN:
                return
            self._fail(load, end.reason.value)
            return
        if end.outcome != "done":
            self._fail(load, end.outcome)

    def _fail(self, load: Load, why: str) -> None:
        self._counters.retried(Reason.ENDPOINT_REFUSED)
        eliot.log_message(
            "engine_orders:load_failed",
            endpoint=load.endpoint,
            adapter=load.target.adapter,
            version=load.target.version,
            why=why,
        )
        self._loads.failed(load, self._timer.now())

    def _weights_url(self, target: Target) -> str:
        if not self._settings.weight_store_url:
            return ""
        parts = (target.model, target.adapter, str(target.version))
        return f"{self._settings.weight_store_url}/weights/" + "/".join(
            quote(part) for part in parts
        )


__all__ = ["EngineOrders"]
