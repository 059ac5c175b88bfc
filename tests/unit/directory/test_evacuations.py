"""Evacuations on the directory's leader: what their answer promises, and their order."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
from unit.directory.test_service import SETTINGS, renew, started

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import View
from ibisspring_core.messages.evacuations import Evacuate, Evacuated, Evacuation, ReadEvacuations
from ibisspring_directory.sessions import SESSION_ACTIVE_S

WITH_REGIONS = dataclasses.replace(
    SETTINGS, region_by_data_centre={"derby": "midlands", "stoke": "midlands"}
)
START = Evacuate("stoke", True, 0)


@pytest.fixture
async def directory():
    async with started(WITH_REGIONS) as directory:
        # All daemons have had the time to renew under this leader.
        directory.led_since -= SESSION_ACTIVE_S
        yield directory


async def test_the_start_is_answered_once_every_active_sender_has_it(directory) -> None:
    # An entry and a store renew their views. If the operator were told that the data centre is
    # evacuated before both know it, they would still send requests and items there.
    view = await directory.renew(renew("1"))
    store = dataclasses.replace(renew("2"), role="store")
    await directory.renew(store)

    starting = asyncio.create_task(directory.evacuations.evacuate(START))
    newer = await directory.renew(renew("1", epoch=view.epoch, revision=view.revision, hold_s=5.0))
    assert isinstance(newer, View)
    assert newer.evacuated == ("stoke",)
    await directory.renew(renew("1", evacuation_change=newer.evacuation_change))
    await asyncio.sleep(0.1)
    assert not starting.done()

    await directory.renew(dataclasses.replace(store, evacuation_change=newer.evacuation_change))

    async with asyncio.timeout(5.0):
        assert await starting == Evacuated(Evacuation("stoke", 1, True))


async def test_an_entry_out_of_touch_does_not_delay_the_answer_for_long(
    directory, monkeypatch
) -> None:
    # A frozen entry renewed just before. The operator's call must not fail for it: the entry stops
    # sending items by itself when its view is too old.
    monkeypatch.setattr("ibisspring_directory.service.MAX_CHANGE_WAIT_S", 0.2)
    await directory.renew(renew("1"))

    assert await directory.evacuations.evacuate(START) == Evacuated(Evacuation("stoke", 1, True))


async def test_a_repeated_start_changes_nothing(directory) -> None:
    first = await directory.evacuations.evacuate(START)

    assert await directory.evacuations.evacuate(START) == first
    assert directory.state.evacuation_change == 1


async def test_a_start_that_was_delayed_in_the_system_does_not_undo_the_end(directory) -> None:
    # The first copy of a start is stuck on its way. The operator repeats the start, then ends the
    # evacuation. If the first copy still took effect, the data centre would be evacuated for good.
    await directory.evacuations.evacuate(START)
    await directory.evacuations.evacuate(Evacuate("stoke", False, 1))

    late = await directory.evacuations.evacuate(START)

    assert isinstance(late, Refusal)
    assert late.reason is Reason.CONFLICT
    assert directory.state.evacuated == ()


async def test_start_end_and_start_again_end_as_the_last_one_says(directory) -> None:
    await directory.evacuations.evacuate(START)
    await directory.evacuations.evacuate(Evacuate("stoke", False, 1))
    await directory.evacuations.evacuate(Evacuate("stoke", True, 2))

    assert directory.state.evacuated == ("stoke",)
    read = await directory.evacuations.read(ReadEvacuations())
    assert read.evacuations == (Evacuation("stoke", 3, True),)


async def test_a_start_that_is_overtaken_while_it_waits_is_not_acknowledged(directory) -> None:
    # Two operators act at the same time. The one whose change is not in force any more must not be
    # told that it is.
    await directory.renew(renew("1"))
    starting = asyncio.create_task(directory.evacuations.evacuate(START))
    await asyncio.sleep(0)
    ending = asyncio.create_task(directory.evacuations.evacuate(Evacuate("stoke", False, 1)))
    await asyncio.sleep(0.1)
    await directory.renew(renew("1", evacuation_change=2))

    async with asyncio.timeout(5.0):
        assert isinstance(await ending, Evacuated)
        refused = await starting
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.CONFLICT


async def test_an_unknown_data_centre_is_refused_and_nothing_is_stored(directory) -> None:
    refused = await directory.evacuations.evacuate(Evacuate("dreby", True, 0))

    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.BAD_REQUEST
    assert directory.state.evacuation_by_data_centre == {}


async def test_an_end_without_a_start_is_answered(directory) -> None:
    ended = await directory.evacuations.evacuate(Evacuate("stoke", False, 0))

    assert ended == Evacuated(Evacuation("stoke", 0, False))
