"""Promise 2: no delivered sample is older than the staleness bound (one version in these tests)."""

from __future__ import annotations

from pathlib import Path

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.training_system import MODEL, training_system, versions_of


async def test_the_trainer_advances_while_samples_are_generated(tmp_path: Path) -> None:
    """
    Guards against samples that become stale while their step is still incomplete.

    Some samples of a step are ready when their engine stalls; the trainer then publishes two
    versions. The ready samples are from version 1 and the trainer is at version 3, so they would
    exceed the bound if they were delivered with the last sample.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1", capacity=4)
        trainer = system.trainer
        await trainer.publish(MODEL, 1)
        body = step_body(MODEL, 2, 4, 16)
        await trainer.open_step(1, body)

        async def some_ready() -> bool:
            return 0 < await system.ready(1, body) < 8

        await wait_until(some_ready, "some samples")
        await system.fault("n1", stall=True)
        for version in (2, 3):
            assert (await trainer.publish(MODEL, version))[0] == 200
        await system.fault("n1", stall=False)
        batch = await system.fetch_until_complete(1)

        assert min(versions_of(batch)) >= 2


async def test_the_trainer_advances_between_the_last_sample_and_its_fetch(tmp_path: Path) -> None:
    """
    Guards against samples that become stale between the last sample and the fetch.

    A step is complete, and its trainer publishes two versions before it fetches the step. If the
    batch were fixed when the last sample arrived, its samples would exceed the bound at delivery.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1")
        trainer = system.trainer
        await trainer.publish(MODEL, 1)
        body = step_body(MODEL, 2, 4, 8)
        await trainer.open_step(1, body)

        async def all_ready() -> bool:
            return await system.ready(1, body) == 8

        await wait_until(all_ready, "all samples")
        for version in (2, 3):
            assert (await trainer.publish(MODEL, version))[0] == 200
        batch = await system.fetch_until_complete(1)

        assert min(versions_of(batch)) >= 2
