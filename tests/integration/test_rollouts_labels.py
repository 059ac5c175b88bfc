"""Promise 1: each sample is labelled with the weight versions that generated its tokens."""

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
    labelled_versions,
    training_system,
    versions_of,
)


async def _assert_labels_match(system: TrainingSystem, batch: Any, *engines: str) -> None:
    versions_by_sample = await system.generated_versions(*engines)
    for sample in batch["samples"]:
        assert labelled_versions(sample) == versions_by_sample[sample["sample"]]


async def _publish(system: TrainingSystem, version: int) -> None:
    assert (await system.trainer.publish(MODEL, version))[0] == 200


async def test_weights_swapped_in_the_middle_of_a_sample(tmp_path: Path) -> None:
    """
    Guards against old tokens that are labelled with a new version.

    While a step's samples stream for seconds, the trainer publishes new weights and the engine
    loads them, so that a sample starts with tokens of version 1 and ends with tokens of version 2.
    A single label for each sample, or a label taken from the load order, would be wrong for the
    first tokens.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1", tokens_per_s=20)
        await _publish(system, 1)
        body = step_body(MODEL, 1, 4, 60)
        await system.trainer.open_step(1, body)

        async def running() -> bool:
            return any(entry["made"] for entry in (await system.log("n1"))["requests"])

        await wait_until(running, "the engine to generate tokens")
        await _publish(system, 2)
        batch = await system.fetch_until_complete(1)

        assert versions_of(batch) == {1, 2}
        await _assert_labels_match(system, batch, "n1")


async def test_a_swap_that_is_reported_done_but_was_not(tmp_path: Path) -> None:
    """
    Guards against labels that come from a load order or an announcement.

    One engine accepts the order and announces version 3, but continues with version 1; another
    engine loads version 3. If samples were labelled with the ordered or announced version, training
    would receive samples that are older than the staleness bound. The versions that the engine
    sends beside its tokens stay true, so its samples must be discarded and the load ordered again.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1")
        await system.start_engine("n2")
        await system.fault("n1", load_lies=True)
        for version in (1, 2, 3):
            await _publish(system, version)
        for name in ("n1", "n2"):

            async def announced(name: str = name) -> bool:
                return (await system.announced_versions(name)).get(TRAINER) == 3

            await wait_until(announced, f"{name} to announce version 3")

        steps = itertools.count(1)

        async def lying_engine_used() -> bool:
            # An entry that has not yet received the lying engine's announcement sends no request to
            # it. Such a step proves nothing, and the next one is opened.
            step = next(steps)
            await system.trainer.open_step(step, step_body(MODEL, 4, 4, 16))
            batch = await system.fetch_until_complete(step)
            assert versions_of(batch) == {3}
            await _assert_labels_match(system, batch, "n1", "n2")
            return any(entry["made"] for entry in (await system.log("n1"))["requests"])

        await wait_until(lying_engine_used, "the lying engine to be used")


async def test_a_missing_label(tmp_path: Path) -> None:
    """
    Guards against samples with a guessed label.

    One of two engines sends its tokens without a version. Its samples cannot be labelled correctly,
    and in training a guess would look like any other label, so they must not be delivered.
    """
    async with training_system(tmp_path) as system:
        await system.start_engine("n1")
        await system.start_engine("n2")
        await system.fault("n1", omit_labels=True)
        await _publish(system, 1)

        await system.trainer.open_step(1, step_body(MODEL, 4, 4, 16))
        batch = await system.fetch_until_complete(1)

        unlabelled = {
            entry["request_id"].rpartition(".")[0]
            for entry in (await system.log("n1"))["requests"]
            if entry["made"]
        }
        assert unlabelled, "the engine without labels was never used, so the test proves nothing"
        assert not ids_of(batch) & unlabelled
        assert len(ids_of(batch)) == 16
