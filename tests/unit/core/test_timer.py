from __future__ import annotations

import asyncio

from ibisspring_core.timer import TimerService


async def test_exception_in_a_callback_does_not_stop_its_calls() -> None:
    timer = TimerService()
    calls = 0
    enough = asyncio.Event()

    async def callback(now: float) -> None:
        nonlocal calls
        calls += 1
        if calls == 3:
            enough.set()
        raise RuntimeError("broken subscriber")

    timer.subscribe("broken", 0.001, callback)

    await enough.wait()
    await timer.stop()
