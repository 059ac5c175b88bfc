from __future__ import annotations

import asyncio

from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.slots import WorkTime
from ibisspring_entry.proxy.turns import ServiceSlots


def service_slots(count: int = 1) -> ServiceSlots:
    return ServiceSlots.from_weights({"mill": 1.0, "forge": 1.0}, WorkTime(), count)


async def settled(task: asyncio.Task) -> bool:
    """Let all ready tasks run, then return whether `task` is done."""
    for _ in range(5):
        await asyncio.sleep(0)
    return task.done()


async def test_a_released_slot_goes_to_the_next_request() -> None:
    slots = service_slots()
    first = await slots.acquire("1", "mill", 1, 10.0)
    waiting = asyncio.create_task(slots.acquire("2", "forge", 1, 10.0))

    assert not await settled(waiting)
    slots.release(first, 1, 0.1, True)

    assert not isinstance(await waiting, Refusal)
    assert slots.running == 1


async def test_cancelled_requests_lose_no_slot() -> None:
    # A caller disconnects while its request waits, or just as the request gets a slot. If such a
    # request kept its slot, the entry would in the end have no free slots and serve no requests.
    slots = service_slots()
    first = await slots.acquire("1", "mill", 1, 10.0)
    waiting = asyncio.create_task(slots.acquire("2", "mill", 1, 10.0))
    granted = asyncio.create_task(slots.acquire("3", "forge", 1, 10.0))
    await settled(granted)
    waiting.cancel()
    slots.release(first, 1, 0.1, True)
    granted.cancel()
    await settled(granted)

    assert slots.wanted() == 0
    assert not isinstance(await slots.acquire("4", "mill", 1, 10.0), Refusal)


async def test_a_request_that_cannot_finish_is_refused_at_once() -> None:
    slots = service_slots()
    slots.release(await slots.acquire("1", "mill", 10, 10.0), 10, 10.0, True)
    await slots.acquire("2", "mill", 10, 60.0)

    answer = await slots.acquire("3", "forge", 100, 10.0)

    assert isinstance(answer, Refusal)
    assert (answer.reason, answer.not_run) == (Reason.CANNOT_FINISH, True)
    assert answer.retry_after_s > 0


async def test_without_endpoints_no_request_waits() -> None:
    # All endpoints of a service are removed while a request is queued. If the request were not
    # started, and so refused, at once, it would wait in vain until its deadline.
    slots = service_slots()
    await slots.acquire("1", "mill", 1, 10.0)
    waiting = asyncio.create_task(slots.acquire("2", "forge", 1, 10.0))
    await settled(waiting)

    slots.update({}, 0, 0.0)

    assert await settled(waiting)
