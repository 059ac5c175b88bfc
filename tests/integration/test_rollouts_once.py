"""Promise 3: each sample is delivered exactly once."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.proxy import FaultProxy, Mode
from integration.training_system import MODEL, TrainingSystem, ids_of, training_system

BODY = step_body(MODEL, 2, 4, 8)


async def _complete_step(system: TrainingSystem, entry: int = 0) -> None:
    """Open a step and wait until its owner holds all samples, before any delivery."""
    await system.start_engine("n1")
    await system.trainer.publish(MODEL, 1)
    assert (await system.trainer.open_step(1, BODY, entry))[0] == 200

    async def all_ready() -> bool:
        return await system.ready(1, BODY, entry) == 8

    await wait_until(all_ready, "all samples")


async def _lose_a_fetch(system: TrainingSystem) -> None:
    """Fetch the step through the first entry while the proxy drops the answer."""
    proxy = await FaultProxy.in_front_of(system.trainer.entries[0].removeprefix("http://"))
    await proxy.set_modes(Mode.PASS, Mode.SILENT)
    direct_entries = system.trainer.entries
    system.trainer.entries = (f"http://{proxy.address}", *direct_entries[1:])
    status, _ = await system.trainer.fetch(1, bound_s=3.0)
    assert status == 0
    system.trainer.entries = direct_entries


async def _take_over(system: TrainingSystem, entry: int) -> Any:
    """Resend the step's request through another entry, then fetch the batch there."""

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
    Guards against a second batch with other samples after the first answer was lost.

    The answer with the batch is lost on its way to the trainer, which fetches again through another
    entry. If that entry gathered the step anew, the trainer would receive the step twice with
    different samples, and the first samples would be wasted.
    """
    async with training_system(tmp_path) as system:
        await _complete_step(system)
        await _lose_a_fetch(system)

        second_batch = await system.fetch_until_complete(1, entry=1)
        first_batch = await system.fetch_until_complete(1, entry=0)

        assert second_batch == first_batch
        assert len(ids_of(second_batch)) == 8


async def test_the_owner_is_killed_before_the_delivering_commit(tmp_path: Path) -> None:
    """
    Guards against a lost or mixed step when its owner is killed.

    The entry that gathers a step is killed when it holds all samples but has not committed the
    delivery; the trainer fetches through another entry. That entry must deliver the complete step,
    with sample ids of its own epoch.
    """
    async with training_system(tmp_path) as system:
        await _complete_step(system)
        system.cluster.process_by_name["e1"].kill()

        batch = await _take_over(system, entry=1)

        assert len(ids_of(batch)) == 8
        assert all(sample.split(":")[2] == "2" for sample in ids_of(batch))


async def test_the_owner_is_killed_after_the_delivering_commit(tmp_path: Path) -> None:
    """
    Guards against a delivered step that is lost, or whose samples count twice.

    The delivery is committed, its answer is lost, and the entry with the only copy of the batch is
    killed. Because the log says that the step was delivered, the trainer might never receive it. If
    it were delivered again under the old ids, a sample would count twice if the first answer
    arrived later.
    """
    async with training_system(tmp_path) as system:
        await _complete_step(system)
        await _lose_a_fetch(system)
        system.cluster.process_by_name["e1"].kill()

        batch = await _take_over(system, entry=1)
        system.cluster.start("e1")
        await system.cluster.wait_ready("e1")
        batch_after_restart = await system.fetch_until_complete(1, entry=0)

        assert all(sample.split(":")[2] == "2" for sample in ids_of(batch))
        assert batch_after_restart == batch


async def test_an_owner_that_was_frozen_delivers_nothing_of_its_lost_epoch(tmp_path: Path) -> None:
    """
    Guards against an entry that delivers old samples beside their replacements.

    The entry that holds a delivered batch is frozen for longer than its lease. Another entry takes
    the step over and delivers a replacement. Then the first entry continues, still holding its
    batch, and receives a fetch.
    """
    async with training_system(tmp_path) as system:
        await _complete_step(system)
        await _lose_a_fetch(system)
        owner = system.cluster.process_by_name["e1"]
        owner.freeze()
        replacement = await _take_over(system, entry=1)
        owner.thaw()

        answers = []
        for _ in range(20):
            answers.append(await system.trainer.fetch(1, entry=0))
            await asyncio.sleep(0.1)
        final = await system.fetch_until_complete(1, entry=0)

        assert final == replacement
        delivered = [answer for status, answer in answers if status == 200]
        assert all(answer == replacement for answer in delivered)
