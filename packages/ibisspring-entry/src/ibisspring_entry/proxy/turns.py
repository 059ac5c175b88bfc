"""The limited slots of one service, with a weighted fair queue of the waiting requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.queueing import FairQueue, Item, ShedRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_decisions.slots import WorkTime


class ServiceSlots:
    """The running and waiting requests of one service at this entry."""

    def __init__(self, queue: FairQueue, work_time: WorkTime) -> None:
        self.running = 0
        self._queue = queue
        self._work_time = work_time
        self._future_by_item: dict[str, asyncio.Future[Refusal | None]] = {}

    @classmethod
    def from_weights(
        cls, weight_by_client_account: Mapping[str, float], work_time: WorkTime, slots: int
    ) -> ServiceSlots:
        """
        Build the slots of a service without running or waiting requests.

        :param weight_by_client_account: the client accounts' weights in the fair queue, from the
            operator's rules.
        :param work_time: estimates how long a request of the service takes.
        :param slots: largest number of requests that may run at the same time.
        """
        return cls(FairQueue.from_weights(weight_by_client_account, slots), work_time)

    def wanted(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + self._queue.queued_count

    async def acquire(
        self, item_id: str, client_account: str, units: int, deadline_s: float
    ) -> Item | Refusal:
        """
        Wait for a slot, which permits to run one request of the service.

        :param item_id: an id that is unique among the requests of this entry.
        :param client_account: the client account of the caller.
        :param units: largest number of tokens or calls that the request may need.
        :param deadline_s: seconds from now within which the caller needs the complete answer.
        :return: the slot, to be returned by `release`, or a refusal; the request was not sent.
        """
        now = boot_now()
        cost_s = self._work_time.expected_s(units)
        item = Item.from_estimate(item_id, client_account, cost_s, deadline_s, now)
        granted = asyncio.get_running_loop().create_future()
        self._future_by_item[item_id] = granted
        try:
            self._refuse(self._queue.offer(item, now))
            self._start_waiting(now)
            refusal = await granted
        except asyncio.CancelledError:
            self._remove_cancelled(item, granted)
            raise
        finally:
            self._future_by_item.pop(item_id, None)
        return refusal or item

    def release(self, item: Item, units: int, work_s: float, complete: bool) -> None:
        """
        Return a slot and start the next waiting request.

        :param item: the slot from `acquire`.
        :param units: tokens or calls that the request asked for.
        :param work_s: seconds for which the slot was held.
        :param complete: whether the request got a complete answer; only then `work_s` is used to
            estimate later requests.
        """
        self.running -= 1
        if complete:
            self._work_time.add_duration(units, work_s)
        self._queue.charge_actual_time(item, work_s)
        self._start_waiting(boot_now())

    def update(self, weight_by_client_account: Mapping[str, float], slots: int, now: float) -> None:
        """
        Apply new slots and weights, and refuse requests that cannot finish before their deadlines.

        :param weight_by_client_account: the client accounts' weights from the rules in force.
        :param slots: largest number of requests that may run at the same time.
        :param now: seconds on the boot clock.
        """
        self._queue.set_weights(weight_by_client_account)
        self._queue.slots = slots
        self._refuse(self._queue.shed_expired(now))
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        # Without any endpoint there are no slots, and waiting requests would never start. They are
        # all started, so that each is refused at once because no endpoint is available.
        while self.running < self._queue.slots or self._queue.slots == 0:
            next_start = self._queue.take(now)
            self._refuse(next_start.shed)
            if next_start.item is None:
                return
            granted = self._future_by_item.get(next_start.item.item_id)
            if granted is None or granted.done():
                continue
            self.running += 1
            granted.set_result(None)

    def _refuse(self, shed: tuple[ShedRequest, ...]) -> None:
        for refused in shed:
            granted = self._future_by_item.get(refused.item.item_id)
            if granted is None or granted.done():
                continue
            reason = Reason.QUEUE_FULL if refused.full else Reason.CANNOT_FINISH
            detail = "the endpoints are at capacity; retry after the given delay"
            granted.set_result(Refusal(reason, True, refused.retry_after_s, detail))

    def _remove_cancelled(self, item: Item, granted: asyncio.Future[Refusal | None]) -> None:
        """Remove a cancelled request from the queue; release the slot if it had just got one."""
        self._queue.remove(lambda other: other.item_id == item.item_id)
        if granted.done() and not granted.cancelled() and granted.result() is None:
            self.running -= 1
            self._start_waiting(boot_now())


__all__ = ["ServiceSlots"]
