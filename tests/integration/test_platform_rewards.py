"""Reward calls, which score the texts of a job, while endpoints fail and daemons end."""

from __future__ import annotations

import pytest

from integration.platform_system import HOST, LOOKUP, job, platform_system, wait_served
from integration.processes import wait_until

REWARD_DELAY_S = 3.0


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


def archive(system):
    return next(one for one in system.engines if one.service == "archive")


def generated_texts(system) -> list[str]:
    """Return the sorted ids of the texts that engines generated; a repeated run repeats its id."""
    return sorted(run for one in system.engines if one.service == "scorer" for run in one.runs)


async def wait_reward_calls(system, count: int) -> None:
    """Wait until the archive has received `count` reward calls."""
    await wait_until(
        lambda: len([run for run in archive(system).runs if run.startswith("r-")]) >= count,
        f"{count} reward calls to be in progress",
    )


async def wait_texts_stored(system, count: int) -> None:
    """Wait until the stores have logged that they store the texts of `count` items."""

    def stored() -> bool:
        lines = [
            line
            for name, process in system.process_by_name.items()
            if name.startswith("store")
            for line in process.log.read_text(errors="replace").splitlines()
            if '"jobs:texts_kept"' in line
        ]
        return sum(int(line.partition('"items":')[2].partition(",")[0]) for line in lines) >= count

    await wait_until(stored, f"{count} texts to be stored")


async def submit_and_delay_rewards(system) -> None:
    """Submit four items and wait until their texts are stored and their reward calls delayed."""
    archive(system).answer_s = REWARD_DELAY_S
    await system.submit("lot1", job(4, scored=True))
    await wait_reward_calls(system, 4)
    await wait_texts_stored(system, 4)


async def test_results_are_listed_with_their_scores(system) -> None:
    # A trainer's step: each complete text is scored by the plain service. The reward call carries
    # neither a key nor a client account.
    await system.submit("lot1", job(6, scored=True))

    read = await system.wait_all_results("lot1", 6)

    stamp = f"stamp-{archive(system).engine}"
    assert {one["score"] for one in read["results"]} == {stamp}
    assert {one["state"] for one in read["results"]} == {"completed"}
    heads = [
        head for head in archive(system).request_headers if head["attempt-id"].startswith("r-")
    ]
    assert {head["attempt-id"] for head in heads} == {f"r-i{number}" for number in range(6)}
    for head in heads:
        assert head["host"] == HOST
        assert "tenant" not in head
        assert "authorization" not in head
        assert 1000 < int(head["deadline-ms"]) <= 60_000


async def test_a_call_that_always_fails_ends_as_abandoned(system) -> None:
    # One text cannot be scored: the endpoint fails its reward call each time. The item must be
    # listed as abandoned after as many failures as the route allows; the other items must complete.
    archive(system).failing_attempts = {"r-i1"}
    await system.submit("lot1", job(4, scored=True))
    read = await system.wait_all_results("lot1", 4)

    state_by_item = {one["id"]: one["state"] for one in read["results"]}
    assert state_by_item.pop("i1") == "abandoned"
    assert set(state_by_item.values()) == {"completed"}
    assert archive(system).runs.count("r-i1") == 3
    assert generated_texts(system) == [f"i{number}" for number in range(4)]


async def test_a_complete_text_is_kept_across_the_crash_of_its_entry(system) -> None:
    # The texts of both entries are complete and their reward calls in progress when one entry is
    # killed. No text may be generated again: the other entry must repeat only the reward calls.
    await submit_and_delay_rewards(system)
    running = await system.running_by_entry()
    killed = max(running, key=running.get)

    system.process_by_name[f"entry-{killed}"].kill()
    archive(system).answer_s = 0.0

    read = await system.wait_all_results("lot1", 4, entry=3 - killed)
    assert all(one["score"] for one in read["results"])
    assert generated_texts(system) == [f"i{number}" for number in range(4)]


async def test_a_complete_text_is_kept_across_a_restart_of_all_processes(system) -> None:
    # All VMs lose power when texts are complete but not scored. The texts are part of the state
    # that the stores acknowledged, so they must not be generated again.
    await submit_and_delay_rewards(system)

    system.stop()
    for name in system.process_by_name:
        system.restart(name)
    archive(system).answer_s = 0.0
    await wait_served(system, 2)

    read = await system.wait_all_results("lot1", 4)
    assert all(one["score"] for one in read["results"])
    assert generated_texts(system) == [f"i{number}" for number in range(4)]


async def test_a_planned_stop_hands_reward_calls_on(system) -> None:
    # An entry is stopped for an update while its reward calls are delayed. It must exit within the
    # limit of a planned stop, and the other entry must make the calls.
    archive(system).answer_s = 30.0
    await system.submit("lot1", job(4, scored=True))
    await wait_reward_calls(system, 4)
    running = await system.running_by_entry()
    stopped = max(running, key=running.get)

    archive(system).answer_s = 0.0
    assert await system.process_by_name[f"entry-{stopped}"].terminate() == 0

    read = await system.wait_all_results("lot1", 4, entry=3 - stopped)
    assert all(one["score"] for one in read["results"])
    assert generated_texts(system) == [f"i{number}" for number in range(4)]


async def test_a_job_with_an_invalid_reward_call_is_refused_with_its_field(system) -> None:
    bad = job(2, scored=True)
    bad["items"][1]["scorer"]["path"] = "no-slash"

    status, body = await system.call("POST", "/score/lot1", "lot1", bad)

    assert status == 400
    assert b"items[1].scorer.path" in body
    assert (await system.call("GET", "/v1/lots/lot1", "x"))[0] == 404
    assert (await system.call("POST", f"{LOOKUP}7", "a1"))[0] == 200
