from __future__ import annotations

import asyncio

import pytest

from ibisspring_core.timer import TimerService, until_next_tick


async def test_ticks_go_on_after_a_callback_raised() -> None:
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


@pytest.mark.parametrize(
    ("passed_s", "interval_s", "left_s"),
    [(0.0, 0.25, 0.25), (0.75, 1.0, 0.25), (7.6, 0.5, 0.4), (0.999, 1.0, 1.001), (1.0, 1.0, 1.0)],
)
def test_ticks_fall_on_common_multiples_and_never_twice(passed_s, interval_s, left_s) -> None:
    assert until_next_tick(passed_s, interval_s) == pytest.approx(left_s)
