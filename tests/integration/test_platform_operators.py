"""Operators hold, release and end jobs on a complete platform."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest

from integration.platform_system import job, platform_system
from integration.processes import wait_until

PROGRAM = "from ibisspring_cli.main import main; main()"
# Time in which an item that wrongly starts would do so: a new leader of the jobs' log is elected,
# lets runners offer their runs and assigns the first items well within it.
NO_START_S = 4.0
EVENTS = 30


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        for engine in system.engines:
            engine.event_s = 0.05
            engine.events = EVENTS
        yield system


async def operate(system, *words: str) -> tuple[int, dict]:
    """Run a command of `ibisspring` with `--json` and return its exit code and output."""
    seeds = ",".join(system.peer_seeds())
    arguments = ["-c", PROGRAM, "--timeout", "15", *words, "--seeds", seeds, "--json"]
    child = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    return child.returncode, json.loads(output)


def runs(system) -> list[str]:
    return [run for engine in system.engines if engine.service == "scorer" for run in engine.runs]


async def test_a_held_job_starts_nothing_also_under_a_new_leader(system) -> None:
    """
    Guards against items of a held job that start after the hold was answered.

    Sixteen items are submitted for eight slots. The job is held while half of the items run, the
    leader of the jobs' log is killed, and the runs end under the next leader, which frees slots.
    """
    await system.submit("lot1", job(16))
    await wait_until(lambda: len(runs(system)) == 8, "all slots to be in use")

    code, held = await operate(system, "jobs", "hold", "lot1")
    started = runs(system)
    system.process_by_name[system.leaders("jobs")[-1]].kill()
    await asyncio.sleep(NO_START_S)

    assert (code, held["changed"]["held"]) == (0, True)
    assert runs(system) == started
    _, shown = await operate(system, "jobs", "show", "lot1")
    assert shown["job"]["held"]
    assert shown["job"]["listed"] == len(started)
    assert [cause["reason"] for cause in shown["job"]["causes"]] == ["held"]
    code, listed = await operate(system, "jobs", "list")
    assert [one["held"] for one in listed["jobs"]] == [True]

    code, released = await operate(system, "jobs", "release", "lot1")
    assert (code, released["changed"]["held"]) == (0, False)
    read = await system.wait_all_results("lot1", 16)
    assert {result["state"] for result in read["results"]} == {"completed"}
    assert sorted(runs(system)) == sorted(f"i{number}" for number in range(16))


async def test_an_operator_s_end_cancels_the_runs_of_a_job(system) -> None:
    # A job that runs away takes all slots. After the answer no item may start, and the runs end.
    for engine in system.engines:
        engine.events = 400
    await system.submit("lot1", job(16))
    await wait_until(lambda: len(runs(system)) == 8, "all slots to be in use")
    _, shares = await operate(system, "accounts", "shares")

    first = await operate(system, "jobs", "end", "lot1")
    again = await operate(system, "jobs", "end", "lot1")

    assert first[0] == again[0] == 0
    (share,) = shares["shares"]
    assert (share["client_account"], share["running"], share["waiting"]) == ("forge", 8, 8)
    await wait_until(
        lambda: not any(engine.running for engine in system.engines), "all runs to be cancelled"
    )
    assert len(runs(system)) == 8
    code, refused = await operate(system, "jobs", "hold", "lot1")
    assert (code, refused["error"]["reason"]) == (1, "bad_request")


async def test_an_unknown_job_is_refused(system) -> None:
    code, refused = await operate(system, "jobs", "show", "no-such-job")

    assert (code, refused["error"]["reason"]) == (1, "bad_request")
