"""The service `engine_loads`: brings engines to the weight versions that trainers named."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.guarded_http import HttpAnswer
from ibisspring_decisions.version_hosts import Host, loads_at_once, next_loads
from ibisspring_directory.outside import EngineState, LoadOrder

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_decisions.version_hosts import Load

TICK_S = 0.1
ORDER_TIMEOUT_S = 1.0
ASK_TIMEOUT_S = 0.7
# A load takes about a second; asked earlier, the engine would only say that it is busy.
FIRST_ASK_S = 0.9
ASK_EVERY_S = 0.3
GIVE_UP_S = 6.0
RETRY_S = 1.0
ACCEPTED = (200, 202)


@dataclass(frozen=True)
class Loading:
    """A load that is under way, or an engine that is left alone for a while."""

    model: str
    task: asyncio.Task[None]


class EngineLoads:
    """Orders loads one engine at a time and asks each how it went."""

    name = "engine_loads"

    def __init__(self) -> None:
        self._loading_by_engine: dict[str, Loading] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> EngineLoads:
        """
        Build the service.

        :param settings: checked settings of a control VM.
        :return: the service.
        """
        return cls()

    async def start(self, kernel: Kernel) -> None:
        """Begin to compare."""
        self._directory = kernel.find("directory")
        self._duties = kernel.find("duties")
        self._outside = kernel.find("outside")
        self._connections = kernel.find("connections")
        self._counters = kernel.find("counters")
        self._ticks = kernel.find("timer").subscribe("engine_loads", TICK_S, self._tick)

    async def stop(self) -> None:
        """End the ticks and the loads' tasks."""
        self._ticks.cancel()
        for loading in self._loading_by_engine.values():
            loading.task.cancel()

    async def _tick(self, now: float) -> None:
        if not self._duties.in_charge():
            return
        directory = self._directory
        record_by_engine = {}
        for heard in directory.endpoints.table.heard():
            record = heard.record
            if record.state == SERVING and record.version_by_adapter:
                record_by_engine[record.endpoint] = record
        hosts = [self._host(record) for record in record_by_engine.values()]
        named = directory.state.version_by_model
        lags = directory.lags.lag_by_model
        for load in next_loads(hosts, named, loads_at_once(len(hosts)), lags):
            record = record_by_engine[load.engine]
            task = asyncio.create_task(self._load(record, load), name=f"load:{load.engine}")
            self._loading_by_engine[load.engine] = Loading(load.model, task)

    def _host(self, record: EndpointRecord) -> Host:
        loading = self._loading_by_engine.get(record.endpoint)
        model = loading.model if loading is not None else ""
        return Host(record.endpoint, record.version_by_adapter, model)

    async def _load(self, record: EndpointRecord, load: Load) -> None:
        try:
            if not await self._order(record, load):
                self._directory.endpoints.note_loading(load.engine, load.model, loads=False)
                await asyncio.sleep(RETRY_S)
        finally:
            self._loading_by_engine.pop(load.engine, None)
            self._directory.endpoints.note_loading(load.engine, load.model, loads=False)

    async def _order(self, record: EndpointRecord, load: Load) -> bool:
        """Order one load and wait until the engine shows it; False where it did not come."""
        state = await self._ask(record)
        if state is None:
            return False
        if state.version_by_model.get(load.model, 0) >= load.version:
            return True
        if state.busy:
            return False
        order = LoadOrder(load.model, load.version, state.orders)
        self._directory.endpoints.note_loading(record.endpoint, load.model, loads=True)
        request = self._outside.load_order(record, order, self._duties.duty())
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
        if status not in ACCEPTED and isinstance(answer, HttpAnswer):
            return False
        return await self._shown(record, load)

    async def _shown(self, record: EndpointRecord, load: Load) -> bool:
        """
        Wait until an engine says that it has the version.

        An order without an answer may have been accepted, or be carried out seconds later, so the
        engine is asked as well after a failure. Another order is given only after that: it bears
        the engine's count of orders, which makes the one that was held up void.
        """
        end_s = boot_now() + GIVE_UP_S
        await asyncio.sleep(FIRST_ASK_S)
        while boot_now() < end_s and self._duties.in_charge():
            state = await self._ask(record)
            if state is not None and state.version_by_model.get(load.model, 0) >= load.version:
                return True
            if state is not None and not state.busy:
                return False
            await asyncio.sleep(ASK_EVERY_S)
        return False

    async def _ask(self, record: EndpointRecord) -> EngineState | None:
        request = self._outside.engine_state_request(record)
        answer = await self._connections.ask(request, ASK_TIMEOUT_S)
        if not isinstance(answer, HttpAnswer):
            return None
        state = self._outside.engine_state(answer)
        if state is None:
            return None
        self._take(record, state)
        return state

    def _take(self, record: EndpointRecord, state: EngineState) -> None:
        """Let all daemons know at once what versions an engine has."""
        known = self._directory.endpoints.table.record_of(record.endpoint)
        if known is None or known.incarnation != record.incarnation or known.state != SERVING:
            return
        if known.version_by_adapter != state.version_by_model:
            self._directory.endpoints.learn_versions(known, state.version_by_model)


__all__ = ["EngineLoads"]
