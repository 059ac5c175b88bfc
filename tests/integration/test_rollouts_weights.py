"""New weights reach every engine although loads fail, and old tokens never get a new label."""

from __future__ import annotations

from pathlib import Path

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.training_system import (
    MODEL,
    TRAINER,
    TrainingSystem,
    training_system,
    versions_of,
)


async def _wait_loaded(system: TrainingSystem, version: int, *engines: str) -> None:
    for name in engines:

        async def loaded(name: str = name) -> bool:
            return (await system.announced_versions(name)).get(TRAINER) == version

        await wait_until(loaded, f"{name} to load version {version}")


async def test_an_engine_whose_swap_fails_is_ordered_again_and_holds_up_no_other(
    tmp_path: Path,
) -> None:
    """
    Guards against an engine that stays on old weights, or whose retries block other engines.

    The weight store serves one load at a time, and the first of three engines accepts each load
    order but fails to load. If its answer 202 counted as success, the engine would serve old
    weights forever. If the order were repeated without a pause, the engine would occupy the only
    load slot.
    """
    settings = {"weight_store_concurrency": 1, "load_timeout_s": 1.0}
    async with training_system(tmp_path, **settings) as system:
        for name in ("n1", "n2", "n3"):
            await system.start_engine(name)
        await system.fault("n1", load_fails=True)
        await system.trainer.publish(MODEL, 2)

        await _wait_loaded(system, 2, "n2", "n3")
        assert TRAINER not in await system.announced_versions("n1")
        await system.fault("n1", load_fails=False)
        await _wait_loaded(system, 2, "n1")

        orders = [order["order_id"] for order in (await system.log("n1"))["orders"]]
        assert len(orders) >= 2
        assert len(set(orders)) == len(orders)
        assert (await system.log("weight_store"))["most_loading"] == 1


async def test_a_weight_store_that_refuses_for_a_while(tmp_path: Path) -> None:
    """
    Guards against engines that are not ordered again after a failed load.

    At first the weight store answers 429 to every load, so the orders end without new weights.
    """
    async with training_system(tmp_path, load_timeout_s=1.0) as system:
        for name in ("n1", "n2"):
            await system.start_engine(name)
        await system.fault("weight_store", refuse=True)
        await system.trainer.publish(MODEL, 2)

        async def refused() -> bool:
            log = (await system.log("weight_store"))["log"]
            return any(entry["status"] == 429 for entry in log)

        await wait_until(refused, "a refused load")
        await system.fault("weight_store", refuse=False)

        await _wait_loaded(system, 2, "n1", "n2")


async def test_a_swap_that_the_tokens_disprove_is_ordered_again(tmp_path: Path) -> None:
    """
    Guards against a step that never completes because a false announcement is trusted.

    The only engine announces version 3 but continues with version 1; it would load version 3 if it
    were ordered again. Its samples are too old and are discarded. If its announcement were trusted,
    the load would not be ordered again until the trainer publishes another version, which it does
    only after the step.
    """
    async with training_system(tmp_path, load_timeout_s=1.0) as system:
        await system.start_engine("n1")
        await system.fault("n1", load_lies=True)
        for version in (1, 2, 3):
            await system.trainer.publish(MODEL, version)
        await _wait_loaded(system, 3, "n1")
        await system.fault("n1", load_lies=False)

        await system.trainer.open_step(1, step_body(MODEL, 2, 4, 16))
        batch = await system.fetch_until_complete(1)

        assert versions_of(batch) == {3}
