"""`explain` finds the cause of a failed request from its id and the daemons' logs alone."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest

from integration.platform_system import LOOKUP, job, platform_system
from integration.processes import wait_until


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


async def explain(system, request_or_job_id: str, line: str) -> dict:
    """Run `explain` on the logs of all daemons after one of them contains `line`."""
    logs = [process.log for process in system.process_by_name.values()]
    await wait_until(
        lambda: any(line in log.read_text(errors="replace") for log in logs),
        f"a log line with {line}",
    )
    program = "from ibisspring_cli.main import main; main()"
    arguments = ["-c", program, "explain", request_or_job_id, "--json", *map(str, logs)]
    child = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    assert child.returncode == 0, output
    return json.loads(output)


def fields_of(explanation: dict, kind: str, direct: bool = True) -> list[dict]:
    return [
        one["fields"]
        for one in explanation["lines"]
        if one["kind"] == kind and one["direct"] == direct
    ]


async def test_a_refusal_is_explained_by_the_endpoint_that_went_silent(system) -> None:
    # The only archive endpoint crashes and a caller is refused. The cause is that control received
    # no more heartbeats of that endpoint.
    await system.engines[0].stop()

    async def refused_not_run() -> bool:
        status, body = await system.call("POST", f"{LOOKUP}4711", "refused-1")
        return status == 503 and b"no_endpoint" in body

    await wait_until(refused_not_run, "a refusal with the reason no_endpoint")

    explanation = await explain(system, "refused-1", '"no_endpoint"')

    assert fields_of(explanation, "forward:refused")[-1]["reason"] == "no_endpoint"
    silent = fields_of(explanation, "directory:endpoint_silent", direct=False)
    assert [one["endpoint"] for one in silent] == ["i-1"]
    assert any(one.startswith("no_endpoint: ") for one in explanation["meanings"])


async def test_a_timeout_is_explained_by_the_endpoint_that_did_not_answer(system) -> None:
    # The archive receives a request and does not answer before the caller's time limit.
    system.engines[0].answer_s = 60.0

    status, _ = await system.call("POST", f"{LOOKUP}4711", "late-1")
    explanation = await explain(system, "late-1", '"forward:refused"')

    assert status == 504
    (refused,) = fields_of(explanation, "forward:refused")
    assert (refused["reason"], refused["tries"], refused["not_run"]) == ("timeout", ["i-1"], False)
    (tried,) = fields_of(explanation, "forward:try_failed")
    assert (tried["endpoint"], tried["reason"]) == ("i-1", "timeout")
    assert any(one.startswith("timeout: ") for one in explanation["meanings"])


async def test_a_result_of_two_runs_is_explained_by_the_engine_that_broke_one(system) -> None:
    # The streams of one engine break after two events; its items are completed by another engine,
    # later than other items.
    faulty = system.engines[1]
    faulty.break_after = 2
    await system.submit("lot1", job(8))
    await system.wait_all_results("lot1", 8)
    item = next(run for run in faulty.runs)

    of_item = await explain(system, item, f'"item":"{item}"')
    of_job = await explain(system, "lot1", '"jobs:accepted"')

    runs = fields_of(of_item, "runner:ended")
    assert (runs[0]["endpoint"], runs[0]["reason"], runs[0]["events"]) == (
        faulty.engine,
        "broken",
        2,
    )
    assert (runs[-1]["kind"], runs[-1]["resume_after"]) == ("done", 2)
    assert fields_of(of_item, "jobs:accepted", direct=False)[0]["job"] == "lot1"
    broken = {one["endpoint"] for one in fields_of(of_job, "runner:ended") if one["reason"]}
    assert broken == {faulty.engine}


async def test_a_refusal_is_explained_by_the_evacuation_of_its_data_centre(system) -> None:
    # An operator evacuates the data centre of all archive endpoints, and callers are refused.
    assert (await system.control("POST", "/v1/Evacuate.Start/derby"))[0] == 200

    status, _ = await system.call("POST", f"{LOOKUP}4711", "refused-1")
    explanation = await explain(system, "refused-1", '"forward:refused"')

    assert status == 503
    (refused,) = fields_of(explanation, "forward:refused")
    assert (refused["reason"], refused["evacuated"], refused["tries"]) == (
        "evacuated",
        ["derby"],
        [],
    )
    started = fields_of(explanation, "directory:evacuation", direct=False)
    assert {(one["data_centre"], one["active"]) for one in started} == {("derby", True)}
    assert any(one.startswith("evacuated: ") for one in explanation["meanings"])


async def test_an_item_that_was_not_sent_is_explained_by_the_evacuation(system) -> None:
    # The jobs' leader does not know of the evacuation yet and assigns an item to an evacuated
    # engine: its entry reports why the item was not sent. Here every engine is evacuated while the
    # job waits, so the item runs only after the end of the evacuation.
    assert (await system.control("POST", "/v1/Evacuate.Start/derby"))[0] == 200
    await system.submit("lot1", job(2))
    assert not any(run.startswith("i") for engine in system.engines for run in engine.runs)

    assert (await system.control("POST", "/v1/Evacuate.Stop/derby"))[0] == 200
    await system.wait_all_results("lot1", 2)
    explanation = await explain(system, "lot1", '"jobs:accepted"')

    changes = fields_of(explanation, "directory:evacuation", direct=False)
    assert [one["active"] for one in changes] == [True, False]
