"""The timer service: parts subscribe to ticks instead of sleeping in loops of their own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel

TickCallback = Callable[[float], Awaitable[None]]


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
    """

    name = "timer"

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []
        self._counters: Counters | None = None

    async def start(self, kernel: Kernel) -> None:
        """Find the counters; subscriptions start their own task."""
        self._counters = kernel.find_optional("counters")

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
        Call `callback(now)` every `interval_s` seconds, the first time after one interval.

        :param name: for the log when the callback raises.
        :param interval_s: seconds between the end of one call and the start of the next.
        :param callback: coroutine function; what it raises is logged and the ticks go on.
        :return: the subscription.
        """
        task = asyncio.create_task(self._tick(name, interval_s, callback), name=f"timer:{name}")
        subscription = Subscription(task)
        self._subscriptions.append(subscription)
        return subscription

    async def _tick(self, name: str, interval_s: float, callback: TickCallback) -> None:
        while True:
            due_s = boot_now() + interval_s
            await asyncio.sleep(interval_s)
            if self._counters is not None:
                self._counters.observe("tick_late_seconds", max(0.0, boot_now() - due_s), name)
            try:
                await callback(self.now())
            except Exception as error:
                eliot.log_message("timer:callback_failed", subscriber=name, error=repr(error))


__all__ = ["Subscription", "TickCallback", "TimerService"]
