"""The `status` command on a system whose daemons find each other through seeds."""

from __future__ import annotations

import json

import pytest

from integration.platform_system import job, platform_system, status
from integration.processes import wait_until


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


async def test_status_shows_daemons_jobs_duties_and_their_holders(system) -> None:
    seeds = system.peer_seeds()
    for engine in system.engines:
        engine.event_s = 0.2
        engine.events = 50
    await system.submit("lot1", job(4))

    async def status_of_running_job() -> dict | None:
        code, output = await status(seeds, "--json")
        answer = json.loads(output) if code == 0 else {"jobs": None}
        jobs = answer["jobs"]
        return answer if jobs and jobs["jobs"] and jobs["jobs"][0]["running"] else None

    answer = await wait_until(status_of_running_job, "the job to run")

    directory, jobs = answer["directory"], answer["jobs"]
    roles = [daemon["role"] for daemon in directory["daemons"]]
    assert {role: roles.count(role) for role in roles} == {"control": 3, "entry": 2, "store": 3}
    (jobs_leader,) = [daemon["daemon"] for daemon in directory["daemons"] if daemon["leads_jobs"]]
    assert jobs_leader == jobs["leader"]
    assert directory["table_version"] == 1
    assert {duty["duty"]: duty["holder"] for duty in directory["duties"]} == {
        "loads of weights": directory["leader"]
    }
    assert (jobs["jobs"][0]["job"], jobs["jobs"][0]["total"]) == ("lot1", 4)
    assert len(jobs["runners"]) == 2

    code, text = await status(seeds)
    assert code == 0
    assert f"leader {directory['leader']} in term" in text
    assert "lot1" in text


async def test_status_without_a_leader_reports_no_leader() -> None:
    code, text = await status(["127.0.0.1:9"], "--json")

    assert code == 3
    assert json.loads(text)["error"]["reason"] == "no_leader"
