"""Slots of all services at this entry, sized by capacity and by the demand at other entries."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_decisions.slots import WorkTime, entry_slots
from ibisspring_entry.proxy.turns import ServiceSlots

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_decisions.queueing import Item

UPDATE_EVERY_S = 0.25
"""Seconds between two updates of all services' slots and weights."""


class SlotAllocator:
    """Grants slots for requests to each service at this entry."""

    def __init__(self) -> None:
        self._slots_by_service: dict[str, ServiceSlots] = {}
        self._numbers = itertools.count(1)

    async def start(self, kernel: Kernel) -> None:
        """
        Schedule the updates by the endpoints' capacity, the rules and the peers' demand.

        :param kernel: registry in which the daemon's services find each other.
        """
        self._registry = kernel.find("registry")
        self._lease = kernel.find("lease")
        kernel.find("timer").subscribe("turns", UPDATE_EVERY_S, self._update)

    async def acquire(
        self, service: str, client_account: str, units: int, deadline_s: float
    ) -> Item | Refusal:
        """
        Wait for a slot of a service, which permits to run one request.

        :param service: the service's name.
        :param client_account: the client account of the caller.
        :param units: largest number of tokens or calls that the request may need.
        :param deadline_s: seconds from now within which the caller needs the complete answer.
        :return: the slot, to be returned by `release`, or a refusal; the request was not sent.
        """
        slots = self._slots_by_service.get(service)
        if slots is None:
            slots = ServiceSlots.from_weights(
                self._weights(), WorkTime(), self._slot_count(service, 1)
            )
            self._slots_by_service[service] = slots
        item_id = f"{service}/{next(self._numbers)}"
        return await slots.acquire(item_id, client_account, units, deadline_s)

    def release(self, service: str, item: Item, units: int, work_s: float, complete: bool) -> None:
        """
        Return a slot, so that the next waiting request of the service can start.

        :param service: the service's name.
        :param item: the slot from `acquire`.
        :param units: tokens or calls that the request asked for.
        :param work_s: seconds for which the slot was held.
        :param complete: whether the request got a complete answer.
        """
        self._slots_by_service[service].release(item, units, work_s, complete)

    async def _update(self, now: float) -> None:
        weights = self._weights()
        wanted_by_service: dict[str, float] = {}
        for service, slots in self._slots_by_service.items():
            wanted = slots.wanted()
            wanted_by_service[service] = float(wanted)
            slots.update(weights, self._slot_count(service, wanted), boot_now())
        self._registry.set_wanted(wanted_by_service)

    def _slot_count(self, service: str, wanted: int) -> int:
        records = self._registry.available_endpoints(service)
        capacity = sum(record.load.capacity for record in records)
        elsewhere = self._registry.peer_wanted().values()
        wanted_elsewhere = tuple(by_service.get(service, 0.0) for by_service in elsewhere)
        return entry_slots(capacity, float(wanted), wanted_elsewhere)

    def _weights(self) -> dict[str, float]:
        rules = self._lease.rules()
        if isinstance(rules, Refusal):
            return {}
        accounts = rules.client_account_by_name.items()
        return {name: account.weight for name, account in accounts}


__all__ = ["SlotAllocator"]
