from __future__ import annotations

import asyncio

from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.slots import WorkTime
from ibisspring_entry.proxy.turns import Turns


def one_slot(slots: int = 1) -> Turns:
    return Turns.from_weights({"mill": 1.0, "forge": 1.0}, WorkTime(), slots)


async def settled(task: asyncio.Task) -> bool:
    """Let everything run that can."""
    for _ in range(5):
        await asyncio.sleep(0)
    return task.done()


async def test_a_turn_goes_on_to_the_next() -> None:
    turns = one_slot()
    first = await turns.take("1", "mill", 1, 10.0)
    waiting = asyncio.create_task(turns.take("2", "forge", 1, 10.0))

    assert not await settled(waiting)
    turns.leave(first, 1, 0.1, True)

    assert not isinstance(await waiting, Refusal)
    assert turns.running == 1


async def test_callers_that_leave_lose_no_slot() -> None:
    # A caller leaves while it waits, or in the moment in which its turn comes. A slot went with it
    # each time, until the entry served nobody.
    turns = one_slot()
    first = await turns.take("1", "mill", 1, 10.0)
    waiting = asyncio.create_task(turns.take("2", "mill", 1, 10.0))
    granted = asyncio.create_task(turns.take("3", "forge", 1, 10.0))
    await settled(granted)
    waiting.cancel()
    turns.leave(first, 1, 0.1, True)
    granted.cancel()
    await settled(granted)

    assert turns.wanted() == 0
    assert not isinstance(await turns.take("4", "mill", 1, 10.0), Refusal)


async def test_hopeless_work_is_refused_at_once() -> None:
    turns = one_slot()
    turns.leave(await turns.take("1", "mill", 10, 10.0), 10, 10.0, True)
    await turns.take("2", "mill", 10, 60.0)

    answer = await turns.take("3", "forge", 100, 10.0)

    assert isinstance(answer, Refusal)
    assert (answer.reason, answer.not_run) == (Reason.CANNOT_FINISH, True)
    assert answer.retry_after_s > 0


async def test_without_endpoints_nobody_waits() -> None:
    # All endpoints are gone: those in line have to be told so, not to wait for their deadline.
    turns = one_slot()
    await turns.take("1", "mill", 1, 10.0)
    waiting = asyncio.create_task(turns.take("2", "forge", 1, 10.0))
    await settled(waiting)

    turns.follow({}, 0, 0.0)

    assert await settled(waiting)
