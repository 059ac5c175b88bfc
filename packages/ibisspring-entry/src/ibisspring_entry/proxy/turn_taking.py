"""Turns at all services: slots by capacity and by what the other entries have to do."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_decisions.slots import WorkTime, entry_slots
from ibisspring_entry.proxy.turns import Turns

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_decisions.queueing import Item

FOLLOW_EVERY_S = 0.25


class TurnTaking:
    """The turns of each service at this entry."""

    def __init__(self) -> None:
        self._turns_by_service: dict[str, Turns] = {}
        self._numbers = itertools.count(1)

    async def start(self, kernel: Kernel) -> None:
        """
        Follow the endpoints' capacity, the rules and the peers.

        :param kernel: the daemon's kernel.
        """
        self._registry = kernel.find("registry")
        self._lease = kernel.find("lease")
        kernel.find("timer").subscribe("turns", FOLLOW_EVERY_S, self._follow)

    async def take(
        self, service: str, client_account: str, units: int, deadline_s: float
    ) -> Item | Refusal:
        """
        Wait for a turn at a service.

        :param units: tokens or calls at most.
        :param deadline_s: seconds from now in which the caller needs its whole answer.
        :return: the turn, to be given back by `leave`, or a refusal; nothing was sent.
        """
        turns = self._turns_by_service.get(service)
        if turns is None:
            turns = Turns.from_weights(self._weights(), WorkTime(), self._slots(service, 1))
            self._turns_by_service[service] = turns
        item_id = f"{service}/{next(self._numbers)}"
        return await turns.take(item_id, client_account, units, deadline_s)

    def leave(self, service: str, item: Item, units: int, real_s: float, whole: bool) -> None:
        """
        Give a turn back.

        :param item: from `take`.
        :param units: tokens or calls that it asked for.
        :param real_s: seconds that it took.
        :param whole: whether it was answered.
        """
        self._turns_by_service[service].leave(item, units, real_s, whole)

    async def _follow(self, now: float) -> None:
        weights = self._weights()
        wanted_by_service: dict[str, float] = {}
        for service, turns in self._turns_by_service.items():
            wanted = turns.wanted()
            wanted_by_service[service] = float(wanted)
            turns.follow(weights, self._slots(service, wanted), boot_now())
        self._registry.set_wanted(wanted_by_service)

    def _slots(self, service: str, wanted: int) -> int:
        records = self._registry.records_of(service)
        capacity = sum(record.load.capacity for record in records)
        elsewhere = self._registry.peer_wanted().values()
        wanted_elsewhere = tuple(told.get(service, 0.0) for told in elsewhere)
        return entry_slots(capacity, float(wanted), wanted_elsewhere)

    def _weights(self) -> dict[str, float]:
        rules = self._lease.rules()
        if isinstance(rules, Refusal):
            return {}
        accounts = rules.client_account_by_name.items()
        return {name: account.weight for name, account in accounts}


__all__ = ["TurnTaking"]
