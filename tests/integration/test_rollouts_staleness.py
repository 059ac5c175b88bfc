"""Promise 2: no sample is older than the configured bound (one version, by the tests' rules)."""

from __future__ import annotations

from pathlib import Path

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.training_system import MODEL, training_system, versions_of


async def test_the_trainer_advances_while_samples_are_on_their_way(tmp_path: Path) -> None:
    """
    Most samples of a step are there, one hangs at its engine; the trainer publishes two versions.

    The samples that wait are from version 1 and the trainer is at 3: delivered with the last one,
    they would be older than the bound.
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
        batch = await system.fetch_until_whole(1)

        assert min(versions_of(batch)) >= 2


async def test_the_trainer_advances_between_the_last_sample_and_its_fetch(tmp_path: Path) -> None:
    """
    A step is whole and its trainer still busy; it publishes two versions before it fetches.

    Had the delivery been decided when the last sample came, the batch would reach the trainer
    older than the bound.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1")
        trainer = system.trainer
        await trainer.publish(MODEL, 1)
        body = step_body(MODEL, 2, 4, 8)
        await trainer.open_step(1, body)

        async def whole() -> bool:
            return await system.ready(1, body) == 8

        await wait_until(whole, "all samples")
        for version in (2, 3):
            assert (await trainer.publish(MODEL, version))[0] == 200
        batch = await system.fetch_until_whole(1)

        assert min(versions_of(batch)) >= 2
