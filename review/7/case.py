"""
Case 7: batch jobs of a route that a new configuration makes public can't be read.

The operator sends a new configuration in which the route of the batch jobs is `public`. A trainer
submits a step on it with its key, as all calls of batch jobs carry one, and reads it with the same
key. The check is the rule LOST of the part "Batch jobs": no 404 for an accepted batch job later
than `settle_ms` after it was accepted.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage2 import (  # noqa: E402
    BROKEN,
    HELD,
    SETTLE_S,
    NotRunError,
    Record,
    Stage,
    batch_job,
    configuration,
    play,
)

CONFIG_APPLY_S = 2.0


async def case(record: Record, trouble: bool) -> int:
    """Return `BROKEN` if an accepted batch job is answered 404."""
    stage = Stage(record)
    try:
        await stage.up()
        for _ in range(2):
            await stage.add_engine("huvo11a", events=5, event_s=0.05)
        await asyncio.sleep(2.0)
        changed = configuration(2, rollout={"public": trouble})
        status, _ = await stage.control("POST", "/v1/Config.Replace", changed)
        if status != 200:
            raise NotRunError("the new configuration was refused")
        await asyncio.sleep(CONFIG_APPLY_S)
        if await stage.submit("a0", batch_job("a", 2, 4)) != 202:
            raise NotRunError("the step was not accepted")
        accepted = record.now()
        statuses = []
        while record.now() < accepted + SETTLE_S + 8.0:
            await asyncio.sleep(0.5)
            for entry in (0, 1):
                status, results, _ = await stage.results("a0", entry)
                if record.now() > accepted + SETTLE_S:
                    statuses.append(status)
        unknown = sum(status in (404, 410) for status in statuses)
        runs = sum(len(engine.runs) for engine in stage.engines[1:])
        record.write(
            f"step accepted; {runs} runs of its items; {unknown} of {len(statuses)} reads later"
            f" than {SETTLE_S} s were answered 404 or 410; last status {status},"
            f" {len(results)} results"
        )
        return BROKEN if unknown else HELD
    finally:
        await stage.down()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
