"""
Case 4: one batch job within the limits stops the jobs' log for good.

A trainer's step is accepted and has begun, and one of three stores is lost. Another batch job of
the tenant arrives whose body is within `max_body_bytes`, but whose entry in the jobs' log is larger
than a message between stores. At its deadline the trainer ends its step. Two rules of the part "Batch
jobs" are checked, since it depends on the machine's speed whether the leader keeps its lease:

- LOST: the step runs out of time while items were at no engine for 5 s of steady state.
- UNASKED: no item reaches an engine later than `cancel_ms` after the end was acknowledged; an end
  without an acknowledgement in `ack_ms` of steady state counts as acknowledged then.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage2 import (  # noqa: E402
    BROKEN,
    CONTACT_S,
    HELD,
    MAX_BODY_BYTES,
    NotRunError,
    Record,
    Stage,
    batch_job,
    play,
)

DEADLINE_S = 15.0
IDLE_S = 5.0
ACK_S = 4.0
CANCEL_S = 3.0
# Seconds after the deadline for which the trainer repeats the end, and in which runs are counted.
AFTER_S = 16.0
# Bytes of each of the 40 bodies: 20 MB in all with the disruption, 1 MB without it.
BODY_BYTES = 500_000
SMALL_BODY_BYTES = 25_000


async def case(record: Record, trouble: bool) -> int:
    """Return `BROKEN` if the step's items are left lying, or reach engines long after its end."""
    stage = Stage(record)
    try:
        await stage.up(rollout={"deadline_ms": 1000 * DEADLINE_S, "item_ttl_s": 60.0})
        engines = [
            await stage.add_engine("huvo11a", slots=4, events=20, event_s=0.1) for _ in range(2)
        ]
        await asyncio.sleep(2.0)
        size = BODY_BYTES if trouble else SMALL_BODY_BYTES
        large = batch_job("b", 10, 4, b"inspection sheet, text of a long prompt. " * (size // 41))
        if len(json.dumps(large)) > MAX_BODY_BYTES:
            raise NotRunError("the large batch job exceeds max_body_bytes")
        step = batch_job("a", 15, 8)
        if await stage.submit("a0", step) != 202:
            raise NotRunError("the step was not accepted")
        due = record.now() + DEADLINE_S
        await asyncio.sleep(0.5)
        leader = stage.leader("jobs")
        lost = next(name for name in stage.names if name.startswith("store") and name != leader)
        stage.signal(lost, signal.SIGKILL)
        steady = record.now() + CONTACT_S
        sending = asyncio.create_task(stage.submit("b0", large, deadline_ms=6000))
        while record.now() < due:
            await asyncio.sleep(0.5)
            await stage.results("a0", 1)
        asked, acknowledged = record.now(), 0.0
        while record.now() < due + AFTER_S:
            if not acknowledged:
                status, _ = await stage.call(int(record.now()) % 2, "DELETE", "/v1/lots/a0", "end")
                acknowledged = record.now() if status == 200 else 0.0
            await asyncio.sleep(0.5)
        await sending
        # Shows whether the log still accepts anything; no rule is judged by it.
        await stage.submit("c0", batch_job("c", 1, 1))
        bound = (min(acknowledged, asked + ACK_S) if acknowledged else asked + ACK_S) + CANCEL_S
        items = [item["id"] for item in step["items"]]
        runs = [run for engine in engines for run in engine.runs if run[2] in items]
        lying = left_lying(record, items, runs, steady, due)
        late = begun_late(record, runs, bound)
        record.write(f"step of {len(items)} items: jobs' leader {stage.leader('jobs')}")
        return BROKEN if lying or late else HELD
    finally:
        await stage.down()


def left_lying(record: Record, items: list[str], runs: list, steady: float, due: float) -> bool:
    """Whether items never reached an engine, with all engines idle for 5 s until the deadline."""
    begun = {run[2] for run in runs if run[0] < due}
    idle_since = max([steady, *(run[1] or due for run in runs if run[0] < due)])
    waiting = len(items) - len(begun)
    record.write(
        f"LOST: {len(begun)} items begun by the deadline, {waiting} never at an engine; engines"
        f" idle for {max(0.0, due - idle_since):.1f} s of steady state until then"
    )
    return bool(begun) and waiting > 0 and due - idle_since >= IDLE_S


def begun_late(record: Record, runs: list, bound: float) -> bool:
    """Whether runs of the ended step's items began after the bound."""
    late = [run for run in runs if run[0] > bound]
    record.write(
        f"UNASKED: {len(runs)} runs; {len(late)} began after {bound:.1f} s, the last of all at"
        f" {max(run[0] for run in runs):.1f} s"
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
