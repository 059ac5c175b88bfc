"""
The service `engine_loads`: orders engines to load the weight versions that trainers published.

A load here is the loading of one weight version of a model by one engine. While it lasts, the
engine starts no requests for this model.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.guarded_http import HttpAnswer
from ibisspring_decisions.version_hosts import EngineVersions, max_concurrent_loads, next_loads
from ibisspring_directory.outside import EngineState, LoadOrder

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_decisions.version_hosts import VersionLoad

TICK_S = 0.1
ORDER_TIMEOUT_S = 1.0
POLL_TIMEOUT_S = 0.7
# Seconds from an order until the engine is first polled for its state. A load takes about a second;
# an earlier poll would only return that the engine is busy.
FIRST_POLL_S = 0.9
POLL_INTERVAL_S = 0.3
LOAD_TIMEOUT_S = 6.0
RETRY_S = 1.0
ACCEPTED_STATUSES = (200, 202)


@dataclass(frozen=True)
class ActiveLoad:
    """
    A load in progress, or the time after a failed load in which an engine gets no load order.

    :param task: runs until the load, or the RETRY_S seconds after a failed load, have ended.
    """

    model: str
    task: asyncio.Task[None]


class EngineLoads:
    """Orders at most one load per engine at a time, and polls the engine until it has ended."""

    name = "engine_loads"

    def __init__(self) -> None:
        self._active_load_by_engine: dict[str, ActiveLoad] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> EngineLoads:
        """
        Build the service `engine_loads` of a control VM.

        :param settings: unused: the service has no settings of its own.
        """
        return cls()

    async def start(self, kernel: Kernel) -> None:
        """Start the periodic comparison of the engines' weight versions with the published ones."""
        self._directory = kernel.find("directory")
        self._duties = kernel.find("duties")
        self._outside = kernel.find("outside")
        self._connections = kernel.find("connections")
        self._counters = kernel.find("counters")
        self._tick_timer = kernel.find("timer").subscribe("engine_loads", TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop ordering loads, and stop polling engines for the outcome of those in progress."""
        self._tick_timer.cancel()
        for active_load in self._active_load_by_engine.values():
            active_load.task.cancel()

    async def _tick(self, now: float) -> None:
        if not self._duties.may_order():
            return
        directory = self._directory
        record_by_engine = {}
        evacuated = directory.state.evacuated
        for received in directory.endpoints.table.records():
            record = received.record
            if record.data_centre in evacuated:
                # A load would take its place among the hosts of the model without serving it.
                continue
            if record.state == SERVING and record.version_by_adapter:
                record_by_engine[record.endpoint] = record
        hosts = [self._to_host(record) for record in record_by_engine.values()]
        published_versions = directory.state.version_by_model
        lags = directory.version_lags.lag_by_model
        for load in next_loads(hosts, published_versions, max_concurrent_loads(len(hosts)), lags):
            record = record_by_engine[load.engine]
            task = asyncio.create_task(self._load(record, load), name=f"load:{load.engine}")
            self._active_load_by_engine[load.engine] = ActiveLoad(load.model, task)

    def _to_host(self, record: EndpointRecord) -> EngineVersions:
        active_load = self._active_load_by_engine.get(record.endpoint)
        model = active_load.model if active_load is not None else ""
        return EngineVersions(record.endpoint, record.version_by_adapter, model)

    async def _load(self, record: EndpointRecord, load: VersionLoad) -> None:
        try:
            if not await self._order_load(record, load):
                self._directory.endpoints.set_loading(load.engine, load.model, is_loading=False)
                await asyncio.sleep(RETRY_S)
        finally:
            self._active_load_by_engine.pop(load.engine, None)
            self._directory.endpoints.set_loading(load.engine, load.model, is_loading=False)

    async def _order_load(self, record: EndpointRecord, load: VersionLoad) -> bool:
        """
        Order one load and wait until the engine reports the new weight version.

        :return: True once the engine has the version; False where the engine did not answer, was
            busy, refused the order or did not report the version in time.
        """
        state = await self._poll(record)
        if state is None:
            return False
        if state.version_by_model.get(load.model, 0) >= load.version:
            return True
        if state.busy:
            return False
        order = LoadOrder(load.model, load.version, state.orders)
        self._directory.endpoints.set_loading(record.endpoint, load.model, is_loading=True)
        request = self._outside.load_order(record, order, self._duties.sender())
        answer = await self._duties.send(request, ORDER_TIMEOUT_S)
        status = answer.status if isinstance(answer, HttpAnswer) else 0
        eliot.log_message(
            "engine_loads:ordered",
            endpoint=record.endpoint,
            model=load.model,
            version=load.version,
            after_orders=state.orders,
            status=status,
        )
        self._counters.add(f"engine_loads.answer_{status}")
        if status not in ACCEPTED_STATUSES and isinstance(answer, HttpAnswer):
            return False
        return await self._wait_until_loaded(record, load)

    async def _wait_until_loaded(self, record: EndpointRecord, load: VersionLoad) -> bool:
        """
        Wait until an engine reports the weight version that it was ordered to load.

        An order without an answer may have been accepted, or may be executed seconds later, so the
        engine is polled after such an order as well. The next order is sent only after the polls
        have ended. It contains the number of orders that the engine has accepted, which invalidates
        an earlier order that is still in transit.

        :return: True once the engine has the version; False where the engine became idle without
            it, LOAD_TIMEOUT_S passed, or this daemon may no longer send orders.
        """
        end_s = boot_now() + LOAD_TIMEOUT_S
        await asyncio.sleep(FIRST_POLL_S)
        while boot_now() < end_s and self._duties.may_order():
            state = await self._poll(record)
            if state is not None and state.version_by_model.get(load.model, 0) >= load.version:
                return True
            if state is not None and not state.busy:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _poll(self, record: EndpointRecord) -> EngineState | None:
        request = self._outside.engine_state_request(record)
        answer = await self._connections.fetch(request, POLL_TIMEOUT_S)
        if not isinstance(answer, HttpAnswer):
            return None
        state = self._outside.engine_state(answer)
        if state is None:
            return None
        self._publish_versions(record, state)
        return state

    def _publish_versions(self, record: EndpointRecord, state: EngineState) -> None:
        """Update an engine's weight versions in the views before its next announcement."""
        known = self._directory.endpoints.table.record_of(record.endpoint)
        if known is None or known.incarnation != record.incarnation or known.state != SERVING:
            return
        if known.version_by_adapter != state.version_by_model:
            self._directory.endpoints.update_versions(known, state.version_by_model)


__all__ = ["EngineLoads"]
