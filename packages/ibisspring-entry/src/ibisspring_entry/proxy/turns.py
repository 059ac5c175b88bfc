"""Turns at a service's endpoints: limited slots with a weighted fair queue before them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.queueing import FairQueue, Item, Shed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_decisions.slots import WorkTime


class Turns:
    """Who works and who waits at one service."""

    def __init__(self, queue: FairQueue, work_time: WorkTime) -> None:
        self.running = 0
        self._queue = queue
        self._work_time = work_time
        self._future_by_item: dict[str, asyncio.Future[Refusal | None]] = {}

    @classmethod
    def from_weights(
        cls, weight_by_client_account: Mapping[str, float], work_time: WorkTime, slots: int
    ) -> Turns:
        """
        Build the turns of a service of which nothing runs yet.

        :param weight_by_client_account: from the rules.
        :param work_time: what its requests are expected to take.
        :param slots: requests that may be under way at a time.
        :return: the turns.
        """
        return cls(FairQueue.from_weights(weight_by_client_account, slots), work_time)

    def wanted(self) -> int:
        """Requests under way or waiting."""
        return self.running + self._queue.waiting

    async def take(
        self, item_id: str, client_account: str, units: int, deadline_s: float
    ) -> Item | Refusal:
        """
        Wait for a turn.

        :param item_id: unique among the requests of this entry.
        :param units: tokens or calls at most.
        :param deadline_s: seconds from now in which the caller needs its whole answer.
        :return: the turn, to be given back by `leave`, or a refusal; nothing was sent.
        """
        now = boot_now()
        cost_s = self._work_time.expect_s(units)
        item = Item.from_estimate(item_id, client_account, cost_s, deadline_s, now)
        granted = asyncio.get_running_loop().create_future()
        self._future_by_item[item_id] = granted
        try:
            self._answer(self._queue.offer(item, now))
            self._start(now)
            refusal = await granted
        except asyncio.CancelledError:
            self._forget(item, granted)
            raise
        finally:
            self._future_by_item.pop(item_id, None)
        return refusal or item

    def leave(self, item: Item, units: int, real_s: float, whole: bool) -> None:
        """
        Give a turn back.

        :param item: the turn.
        :param units: tokens or calls that it asked for.
        :param real_s: seconds that it took.
        :param whole: whether it was answered; others say nothing about the work.
        """
        self.running -= 1
        if whole:
            self._work_time.learn(units, real_s)
        self._queue.correct(item, real_s)
        self._start(boot_now())

    def follow(self, weight_by_client_account: Mapping[str, float], slots: int, now: float) -> None:
        """
        Go on with other slots and weights, and refuse what has become hopeless.

        :param weight_by_client_account: from the rules in force.
        :param slots: requests that may be under way at a time.
        :param now: seconds on the boot clock.
        """
        self._queue.follow_weights(weight_by_client_account)
        self._queue.slots = slots
        self._answer(self._queue.expire(now))
        self._start(now)

    def _start(self, now: float) -> None:
        # With no endpoint at all nothing would ever get a turn: all go on and are told so.
        while self.running < self._queue.slots or self._queue.slots == 0:
            turn = self._queue.take(now)
            self._answer(turn.shed)
            if turn.item is None:
                return
            granted = self._future_by_item.get(turn.item.item_id)
            if granted is None or granted.done():
                continue
            self.running += 1
            granted.set_result(None)

    def _answer(self, shed: tuple[Shed, ...]) -> None:
        for one in shed:
            granted = self._future_by_item.get(one.item.item_id)
            if granted is None or granted.done():
                continue
            reason = Reason.QUEUE_FULL if one.full else Reason.CANNOT_FINISH
            detail = "the endpoints are full; come back when told"
            granted.set_result(Refusal(reason, True, one.retry_after_s, detail))

    def _forget(self, item: Item, granted: asyncio.Future[Refusal | None]) -> None:
        """The caller left, or its key was withdrawn, while it waited."""
        self._queue.remove(lambda other: other.item_id == item.item_id)
        if granted.done() and not granted.cancelled() and granted.result() is None:
            self.running -= 1
            self._start(boot_now())


__all__ = ["Turns"]
