"""Prompts of a trainer's step under which engines ended."""

from __future__ import annotations

from pathlib import Path

from fakes.trainer import step_body
from integration.processes import wait_until
from integration.training_system import MODEL, ids_of, training_system

CRASHING = ("n1", "n2", "n3")


async def test_a_prompt_under_which_engines_ended_is_sampled_after_the_crashes(
    tmp_path: Path,
) -> None:
    # Three engines crash for another reason while they run samples of the same prompt. It was taken
    # for a prompt that ends engines, and the step never got its batch.
    async with training_system(tmp_path) as system:
        for name in CRASHING:
            await system.start_engine(name)
        await system.trainer.publish(MODEL, 1)
        for name in CRASHING:
            await system.fault(name, crash_after=0)
        await system.trainer.open_step(1, step_body(MODEL, 1, 2, 16))

        async def all_ended() -> bool:
            return not any(system.cluster.process_by_name[name].alive() for name in CRASHING)

        await wait_until(all_ended, "all engines to end")
        await system.start_engine("sound")

        assert len(ids_of(await system.fetch_until_complete(1))) == 2
