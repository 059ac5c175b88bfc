"""Promise 3: each sample is delivered once."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.proxy import FaultProxy, Mode
from integration.training_system import MODEL, TrainingSystem, ids_of, training_system

BODY = step_body(MODEL, 2, 4, 8)


async def _whole_step(system: TrainingSystem, entry: int = 0) -> None:
    """A step that is whole on its owner and not delivered yet."""
    await system.start_engine("n1")
    await system.trainer.publish(MODEL, 1)
    assert (await system.trainer.open_step(1, BODY, entry))[0] == 200

    async def whole() -> bool:
        return await system.ready(1, BODY, entry) == 8

    await wait_until(whole, "all samples")


async def _lose_a_fetch(system: TrainingSystem) -> None:
    """Fetch through the first entry so that its answer is lost on the way back."""
    proxy = await FaultProxy.before(system.trainer.entries[0].removeprefix("http://"))
    await proxy.set_modes(Mode.PASS, Mode.SILENT)
    direct = system.trainer.entries
    system.trainer.entries = (f"http://{proxy.address}", *direct[1:])
    status, _ = await system.trainer.fetch(1, bound_s=3.0)
    assert status == 0
    system.trainer.entries = direct


async def _take_over(system: TrainingSystem, entry: int) -> Any:
    """The trainer resends its request, then fetches, through another entry."""

    async def delivered() -> Any:
        status, answer = await system.trainer.fetch(1, entry)
        if status == 200:
            return answer
        if status == 409:
            await system.trainer.open_step(1, BODY, entry)
        return None

    return await wait_until(delivered, "the step to be taken over and delivered")


async def test_a_lost_fetch_answer_is_resent_through_another_entry(tmp_path: Path) -> None:
    """
    The batch's answer is lost on its way to the trainer, which asks again through another entry.

    Gathered anew, the step would come twice with different samples, the first ones spent.
    """
    async with training_system(tmp_path) as system:
        await _whole_step(system)
        await _lose_a_fetch(system)

        again = await system.fetch_until_whole(1, entry=1)
        first = await system.fetch_until_whole(1, entry=0)

        assert again == first
        assert len(ids_of(again)) == 8


async def test_the_owner_is_killed_before_the_delivering_commit(tmp_path: Path) -> None:
    """
    The entry that gathers a step is killed with all samples and no commit; the trainer asks
    another.

    The step must come whole from there, under ids of its own.
    """
    async with training_system(tmp_path) as system:
        await _whole_step(system)
        system.cluster.process_by_name["e1"].kill()

        batch = await _take_over(system, entry=1)

        assert len(ids_of(batch)) == 8
        assert all(sample.split(":")[2] == "2" for sample in ids_of(batch))


async def test_the_owner_is_killed_after_the_delivering_commit(tmp_path: Path) -> None:
    """
    The delivery is committed, its answer lost, and the entry with the only payload killed.

    The log says delivered, so the trainer would never get the step; or, delivered again under the
    old ids, a sample would count twice if the first answer did arrive after all.
    """
    async with training_system(tmp_path) as system:
        await _whole_step(system)
        await _lose_a_fetch(system)
        system.cluster.process_by_name["e1"].kill()

        batch = await _take_over(system, entry=1)
        system.cluster.start("e1")
        await system.cluster.wait_ready("e1")
        through_the_restarted = await system.fetch_until_whole(1, entry=0)

        assert all(sample.split(":")[2] == "2" for sample in ids_of(batch))
        assert through_the_restarted == batch


async def test_an_owner_that_was_frozen_delivers_nothing_of_its_lost_epoch(tmp_path: Path) -> None:
    """
    The entry with a delivered payload is frozen past its lease; another takes the step over and
    delivers a replacement; then the first goes on, payload in hand, and is asked.

    It would hand out the old samples next to their replacements.
    """
    async with training_system(tmp_path) as system:
        await _whole_step(system)
        await _lose_a_fetch(system)
        owner = system.cluster.process_by_name["e1"]
        owner.freeze()
        replacement = await _take_over(system, entry=1)
        owner.thaw()

        answers = []
        for _ in range(20):
            answers.append(await system.trainer.fetch(1, entry=0))
            await asyncio.sleep(0.1)
        final = await system.fetch_until_whole(1, entry=0)

        assert final == replacement
        delivered = [answer for status, answer in answers if status == 200]
        assert all(answer == replacement for answer in delivered)
