"""Promise 1: each sample names the weight versions that truly made it."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.training_system import (
    MODEL,
    TRAINER,
    TrainingSystem,
    ids_of,
    told_versions,
    training_system,
    versions_of,
)


async def _assert_true(system: TrainingSystem, batch: Any, *engines: str) -> None:
    true_by_sample = await system.true_versions(*engines)
    for sample in batch["samples"]:
        assert told_versions(sample) == true_by_sample[sample["sample"]]


async def _publish(system: TrainingSystem, version: int) -> None:
    assert (await system.trainer.publish(MODEL, version))[0] == 200


async def test_weights_swapped_in_the_middle_of_a_sample(tmp_path: Path) -> None:
    """
    A step's samples stream for seconds; the trainer publishes new weights and the engine loads them
    meanwhile, so that the first tokens of a sample are from version 1 and the last from version 2.

    A single label a sample, or one taken from the order, would call old tokens new.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1", tokens_per_s=20)
        await _publish(system, 1)
        body = step_body(MODEL, 1, 4, 60)
        await system.trainer.open_step(1, body)

        async def running() -> bool:
            return any(entry["made"] for entry in (await system.log("n1"))["requests"])

        await wait_until(running, "the engine to write tokens")
        await _publish(system, 2)
        batch = await system.fetch_until_whole(1)

        assert versions_of(batch) == {1, 2}
        await _assert_true(system, batch, "n1")


async def test_a_swap_that_is_reported_done_but_was_not(tmp_path: Path) -> None:
    """
    The engine takes the order, announces version 3 and goes on with version 1; another swaps.

    Samples labelled by what was ordered or announced would bring weights into training that are
    older than the bound. Then the engine tells the truth again and must be swapped.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1")
        await system.start_engine("n2")
        await system.fault("n1", load_lies=True)
        for version in (1, 2, 3):
            await _publish(system, version)
        for name in ("n1", "n2"):

            async def told(name: str = name) -> bool:
                return (await system.announced(name)).get(TRAINER) == 3

            await wait_until(told, f"{name} to announce version 3")

        steps = itertools.count(1)

        async def liar_used() -> bool:
            # An entry that has not heard yet of what the liar announces sends it nothing: then this
            # step shows nothing, and the next one is opened.
            step = next(steps)
            await system.trainer.open_step(step, step_body(MODEL, 4, 4, 16))
            batch = await system.fetch_until_whole(step)
            assert versions_of(batch) == {3}
            await _assert_true(system, batch, "n1", "n2")
            return any(entry["made"] for entry in (await system.log("n1"))["requests"])

        await wait_until(liar_used, "the lying engine to be used")


async def test_a_missing_label(tmp_path: Path) -> None:
    """
    One of two engines leaves the version out beside its tokens.

    Its samples can't be labelled truly; a guess would look like any other label in training.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1")
        await system.start_engine("n2")
        await system.fault("n1", omit_labels=True)
        await _publish(system, 1)

        await system.trainer.open_step(1, step_body(MODEL, 4, 4, 16))
        batch = await system.fetch_until_whole(1)

        without = {
            entry["request_id"].rpartition(".")[0]
            for entry in (await system.log("n1"))["requests"]
            if entry["made"]
        }
        assert without, "the engine without labels was never used, so nothing was shown"
        assert not ids_of(batch) & without
        assert len(ids_of(batch)) == 16
