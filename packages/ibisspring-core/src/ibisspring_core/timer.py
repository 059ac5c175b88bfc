"""The timer service: parts subscribe to ticks instead of sleeping in loops of their own."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel

TickCallback = Callable[[float], Awaitable[None]]

# A sleep may end a little before its moment; what is left then is not a tick of its own.
EARLY = 0.1


class Subscription:
    """One subscriber's ticks; cancel it to end them."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """End the ticks; a callback that is running is cancelled."""
        self._task.cancel()


class TimerService:
    """
    Calls each subscriber at its interval, one task per subscriber, never two calls of one at a
    time.

    Ticks of one process fall on common multiples, so that subscribers wake it together: waking up
    is most of what a daemon at rest costs. The multiples start at a random moment of each process,
    since daemons that all tick together would start elections together.
    """

    name = "timer"

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []
        self._origin_s = boot_now() - random.random()

    async def start(self, kernel: Kernel) -> None:
        """Nothing to start: subscriptions start their own task."""

    async def stop(self) -> None:
        """Cancel all subscriptions."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def now(self) -> float:
        """
        Read the lease clock.

        :return: seconds since boot, suspension included.
        """
        return boot_now()

    def subscribe(self, name: str, interval_s: float, callback: TickCallback) -> Subscription:
        """
        Call `callback(now)` every `interval_s` seconds, the first time within one interval.

        :param name: for the log when the callback raises.
        :param interval_s: seconds between calls; a call that lasts longer leaves ticks out.
        :param callback: coroutine function; what it raises is logged and the ticks go on.
        :return: the subscription.
        """
        task = asyncio.create_task(self._tick(name, interval_s, callback), name=f"timer:{name}")
        subscription = Subscription(task)
        self._subscriptions.append(subscription)
        return subscription

    async def _tick(self, name: str, interval_s: float, callback: TickCallback) -> None:
        while True:
            await asyncio.sleep(until_next_tick(self.now() - self._origin_s, interval_s))
            try:
                await callback(self.now())
            except Exception as error:
                eliot.log_message("timer:callback_failed", subscriber=name, error=repr(error))


def until_next_tick(passed_s: float, interval_s: float) -> float:
    """
    Tell how long to sleep until the next multiple of an interval.

    :param passed_s: seconds since the moment from which the multiples count.
    :param interval_s: seconds between ticks.
    :return: seconds, more than `EARLY` of an interval.
    """
    left_s = interval_s - passed_s % interval_s
    if left_s <= EARLY * interval_s:
        return left_s + interval_s
    return left_s


__all__ = ["Subscription", "TickCallback", "TimerService", "until_next_tick"]
