"""
Case 8: an item that fails at each run goes on reaching engines while the stores are rolled.

The stores are stopped and started in turn, the leader of the jobs' log first, each with SIGTERM and
with a pause that leaves the core stable for seconds before the next. One item of a step is answered
500 at each run. The check is the rule BUDGET of the part "Batch jobs".
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage2 import (  # noqa: E402
    BROKEN,
    CONTACT_S,
    HELD,
    NotRunError,
    Record,
    Stage,
    batch_job,
    play,
)

MAX_ATTEMPTS = 3
PAUSE_S = 5.2
FAILING_AFTER_S = 2.6
TTL_S = 40.0


async def case(record: Record, trouble: bool) -> int:
    """Return `BROKEN` if the item reaches an engine after three times `max_attempts` failures."""
    stage = Stage(record)
    try:
        await stage.up(rollout={"item_ttl_s": TTL_S, "max_attempts": MAX_ATTEMPTS})
        step = batch_job("a", 2, 4)
        failing = step["items"][0]["id"]
        engines = [
            await stage.add_engine(
                "huvo11a", failing=frozenset((failing,)), failing_after_s=FAILING_AFTER_S
            )
            for _ in range(2)
        ]
        await asyncio.sleep(2.0)
        if await stage.submit("a0", step) != 202:
            raise NotRunError("the step was not accepted")
        submitted = record.now()
        disturbed: list[float] = []
        # Once the item has failed too often, no store is disturbed any more.
        while record.now() < submitted + TTL_S:
            await asyncio.sleep(PAUSE_S)
            failures = sum(len(engine.failed_at) for engine in engines)
            if trouble and failures < 3 * MAX_ATTEMPTS:
                await roll(stage, stage.leader("jobs"), disturbed)
        await stage.results("a0", 1)
        return judge(record, engines, failing, disturbed)
    finally:
        await stage.down()


async def roll(stage: Stage, name: str, disturbed: list[float]) -> None:
    """Stop a store with SIGTERM, and start it again once it has ended."""
    process = stage.processes[name]
    stage.signal(name, signal.SIGTERM)
    while process.poll() is None:
        await asyncio.sleep(0.05)
    stage.start_daemon(name, bootstrap=False)
    disturbed.append(stage.record.now())


def judge(record: Record, engines: list, failing: str, disturbed: list[float]) -> int:
    """Count the runs that began in touch after the item had failed too often."""
    failed = sorted(at for engine in engines for at in engine.failed_at)
    runs = sorted(run[0] for engine in engines for run in engine.runs if run[2] == failing)
    limit = failed[3 * MAX_ATTEMPTS - 1] if len(failed) >= 3 * MAX_ATTEMPTS else float("inf")
    late = [
        at for at in runs if at > limit and not any(0 <= at - one <= CONTACT_S for one in disturbed)
    ]
    record.write(
        f"step: item {failing}: {len(runs)} runs, {len(failed)} answers of 500; in touch and after"
        f" {3 * MAX_ATTEMPTS} of them began {len(late)} runs, at {late}; stores restarted"
        f" {len(disturbed)} times"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
