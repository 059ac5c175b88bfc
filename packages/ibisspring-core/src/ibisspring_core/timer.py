"""The service `timer`: calls its subscribers periodically."""

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
    """The periodic calls of one subscriber, which `cancel` stops."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Stop the periodic calls; a running callback is cancelled."""
        self._task.cancel()


class TimerService:
    """
    Calls the callback of each subscriber at the subscriber's interval.

    Each subscriber has a task of its own, so its calls never overlap.
    """

    name = "timer"

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []
        self._counters: Counters | None = None

    async def start(self, kernel: Kernel) -> None:
        """Look up the service `counters`, if it exists; each subscription starts its own task."""
        self._counters = kernel.find_optional("counters")

    async def stop(self) -> None:
        """Cancel the periodic calls of all subscribers."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def now(self) -> float:
        """
        Read the clock that leases use.

        :return: seconds since boot, including time in suspension.
        """
        return boot_now()

    def subscribe(self, name: str, interval_s: float, callback: TickCallback) -> Subscription:
        """
        Call `callback(now)` every `interval_s` seconds, the first time after one interval.

        :param name: name of the subscriber in log lines and metrics.
        :param interval_s: seconds between the end of one call and the start of the next.
        :param callback: coroutine function. Exceptions are logged and do not stop the calls.
        :return: the subscription; cancel it to stop the calls.
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
