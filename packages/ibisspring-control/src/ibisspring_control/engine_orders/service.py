"""The service `engine_orders`: the leader orders engines to load weights and to change roles."""

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

# Seconds between two updates of the load table, each followed by the orders that it plans.
TICK_S = 0.2


class EngineOrders:
    """Orders engines to load weights, a few at a time, while this replica acts as the leader."""

    name = "engine_orders"

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._loads = self._new_load_table()
        self._term: int | None = None
        self._first_target = 0
        self._sending: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(cls, settings: Settings) -> EngineOrders:
        """
        Build the service with the weight store's URL and limits from a daemon's settings.

        :param settings: checked settings of a daemon with the control role.
        """
        return cls(settings.control)

    async def start(self, kernel: Kernel) -> None:
        """
        Start the periodic ordering of weight loads.

        :param kernel: registry of the daemon's services; provides state, entry_leases,
            leader_duties, timer and counters.
        """
        self._state = kernel.find("state")
        self._entry_leases = kernel.find("entry_leases")
        self._leader_duties = kernel.find("leader_duties")
        self._counters = kernel.find("counters")
        self._timer = kernel.find("timer")
        self._subscription = self._timer.subscribe("engine_orders", TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop ordering; abort the orders in flight, which stay open in the replicated state."""
        self._subscription.cancel()
        for task in tuple(self._sending):
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def set_role(self, endpoint: str, role: str) -> Any:
        """
        Order an engine to change its role.

        :param endpoint: id of the engine.
        :param role: name of the role as the engine defines it.
        :return: the outcome of the order or a refusal, as from `LeaderDuties.send_order`;
            `NO_ENDPOINT` if no entry reports the engine.
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
            # This replica became the leader. It does not know the loads that an earlier leader
            # ordered; the announcements of the engines show which versions they have.
            self._term = leadership.term
            self._loads = self._new_load_table()
        engines = self._engines()
        self._loads.retain(engines)
        for disproof in self._entry_leases.pop_disproofs():
            self._loads.record_disproof(disproof, now)
        for target in self._targets():
            model_engines = tuple(engine for engine in engines if engine.service == target.model)
            for load in self._loads.plan(target, model_engines, now):
                self._start_sending(load, leadership.term)

    def _new_load_table(self) -> LoadTable:
        return LoadTable(self._settings.weight_store_concurrency, self._settings.load_timeout_s)

    def _engines(self) -> tuple[EndpointRecord, ...]:
        return tuple(
            record
            for record in self._entry_leases.endpoint_by_id.values()
            if record.role == "engine" and record.state == "serving"
        )

    def _targets(self) -> tuple[Target, ...]:
        """Return each adapter's newest version, rotated at each call so that none is starved."""
        targets = []
        for model, trainers in sorted(self._state.rules.rules.trainers_by_model.items()):
            for trainer in trainers:
                version = self._state.trainers.version_of(trainer)
                if version > 0:
                    targets.append(Target(model, trainer, version))
        if not targets:
            return ()
        self._first_target = (self._first_target + 1) % len(targets)
        return tuple(targets[self._first_target :] + targets[: self._first_target])

    def _start_sending(self, load: Load, term: int) -> None:
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
            self._record_failure(load, end.reason.value)
            return
        if end.outcome != "done":
            self._record_failure(load, end.outcome)

    def _record_failure(self, load: Load, cause: str) -> None:
        self._counters.retried(Reason.ENDPOINT_REFUSED)
        eliot.log_message(
            "engine_orders:load_failed",
            endpoint=load.endpoint,
            adapter=load.target.adapter,
            version=load.target.version,
            why=cause,
        )
        self._loads.record_failure(load, self._timer.now())

    def _weights_url(self, target: Target) -> str:
        if not self._settings.weight_store_url:
            return ""
        parts = (target.model, target.adapter, str(target.version))
        return f"{self._settings.weight_store_url}/weights/" + "/".join(
            quote(part) for part in parts
        )


__all__ = ["EngineOrders"]
