"""A complete platform whose daemons are killed, frozen, restarted or lose their disks."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from integration.platform_system import (
    KEY,
    LOOKUP,
    configuration,
    job,
    platform_system,
    wait_served,
)
from integration.processes import wait_until

# The platform's limits within which an operator's call is answered and a change is in force.
ACKNOWLEDGED_S = 4.0
IN_FORCE_S = 2.0
# Limit after the acknowledgement of a job's end within which all of its items have stopped.
CANCELLED_S = 3.0
# Step between the delays after which the entry is frozen. Changes reach entries within some tens of
# milliseconds, which the delays of the test's rounds cover.
FREEZE_STEP_S = 0.008


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


async def test_a_job_outlives_the_store_that_led(system) -> None:
    # The leader store, which assigns a job's items, is killed while the job runs. The trainer must
    # still receive each item once, at a position that does not change.
    for engine in system.engines:
        engine.event_s = 0.1
    await system.submit("lot1", job(30))

    async def first_results() -> dict | None:
        read = await system.results("lot1")
        return read if read is not None and read["results"] else None

    before = await wait_until(first_results, "the first results")
    system.process_by_name[system.leaders("jobs")[-1]].kill()

    read = await system.wait_all_results("lot1", 30)
    assert read["results"][: len(before["results"])] == before["results"]
    assert len({result["id"] for result in read["results"]}) == 30


async def test_runs_go_on_while_no_store_leads(system) -> None:
    # All stores lose power while every slot of the engines is in use, and are back two seconds
    # later. The engines went on meanwhile: if their runs were not continued by the next leader,
    # each item would run a second time and the step would end as much later.
    for engine in system.engines:
        engine.event_s = 0.1
        engine.events = 50
    await system.submit("lot1", job(8))
    scorers = [engine for engine in system.engines if engine.service == "scorer"]
    await wait_until(
        lambda: sum(len(engine.running) for engine in scorers) == 8, "all items to be running"
    )
    stores = [name for name in system.process_by_name if name.startswith("store")]
    for name in stores:
        system.process_by_name[name].kill()
    await asyncio.sleep(2.0)
    for name in stores:
        system.restart(name)

    read = await system.wait_all_results("lot1", 8)

    assert sorted(run for engine in scorers for run in engine.runs) == [f"i{n}" for n in range(8)]
    for result in read["results"]:
        assert result["output"] == "\n".join(f"{result['id']}-{n}" for n in range(1, 51))


async def test_what_was_accepted_outlives_the_end_of_all_processes(system) -> None:
    # All VMs lose power right after a job and a configuration were accepted; both must survive.
    await system.submit("lot1", job(4))
    done = await system.wait_all_results("lot1", 4)
    assert await system.put(5) == 200
    await system.submit("lot2", job(4, prefix="j"))

    system.stop()
    for name in system.process_by_name:
        system.restart(name)

    await wait_served(system, 2)
    status, document = await system.control("GET", "/v1/Config.Read")
    assert (status, json.loads(document)) == (200, configuration(5))
    assert await system.wait_all_results("lot1", 4) == done
    assert len((await system.wait_all_results("lot2", 4))["results"]) == 4


async def test_half_written_texts_outlive_the_end_of_all_processes(system) -> None:
    # All VMs lose power while a step's texts are partly generated. If each text were generated
    # again from its beginning, it would take its full time again, the step would complete late and
    # the trainer would request one step less.
    for engine in system.engines:
        engine.event_s = 0.1
        engine.events = 50
    await system.submit("lot1", job(4))
    stores = [store for name, store in system.process_by_name.items() if name.startswith("store")]

    await wait_until(
        lambda: any(
            '"jobs:texts_kept"' in store.log.read_text(errors="replace") for store in stores
        ),
        "parts of texts to be stored",
    )
    system.stop()
    for name in system.process_by_name:
        system.restart(name)

    read = await system.wait_all_results("lot1", 4)
    resumed = [
        head
        for engine in system.engines
        for head in engine.request_headers
        if "last-event-id" in head
    ]
    assert max(int(head["last-event-id"]) for head in resumed) > 0
    for result in read["results"]:
        numbers = [text.rpartition("-")[2] for text in result["output"].split("\n")]
        assert numbers == [str(number) for number in range(1, 51)]


async def test_results_survive_the_loss_of_a_second_disk_after_the_first_was_replaced(
    system,
) -> None:
    # A store loses its disk and restarts with an empty one; right after its repair the next store
    # loses its disk. Results that were accepted before both losses must still be readable.
    await system.submit("lot1", job(4))
    done = await system.wait_all_results("lot1", 4)

    for name in ("store-1", "store-2"):
        process = system.process_by_name[name]
        process.kill()
        system.restart(name, wipe=True)

        async def rejoined(name: str = name) -> bool:
            return await is_voter(system, name)

        await wait_until(rejoined, f"the new disk of {name} to be a voter")
    assert await system.wait_all_results("lot1", 4) == done


async def is_voter(system, name: str) -> bool:
    """Return whether a store's current disk is a voter and no membership change is in progress."""
    own = await system.replica_status(name)
    for other in ("store-1", "store-2", "store-3"):
        status = await system.replica_status(other)
        if own is None or status is None or status["role"] != "leader":
            continue
        voters = [voter["disk_id"] for voter in status["voters"]]
        if own["disk_id"] in voters and not status["outgoing"] and not status["learners"]:
            return True
    return False


async def test_an_entry_frozen_as_it_takes_a_change_goes_on_with_the_change(system) -> None:
    # An entry is frozen at about the moment at which a change of keys reaches it. The operator must
    # be answered without that entry, and after it continues the entry must apply the change and
    # never again the configuration before it.
    entry = system.process_by_name["entry-1"]
    for version in range(2, 8):
        key = f"k-{version}"
        tenants = [{"name": "forge", "api_keys": [KEY, key]}]
        change = asyncio.create_task(system.put(version, tenants=tenants))
        await asyncio.sleep(FREEZE_STEP_S * (version - 2))
        entry.freeze()
        began = time.monotonic()
        assert await change == 200
        assert time.monotonic() - began <= ACKNOWLEDGED_S
        entry.thaw()

        async def new_key_accepted(key: str = key) -> bool:
            return (await system.call("POST", f"{LOOKUP}7", "x", None, entry=1, key=key))[0] == 200

        await wait_until(new_key_accepted, "the change to be in force at the entry", IN_FORCE_S)
        before = f"k-{version - 1}"
        for _ in range(10):
            status, _ = await system.call("POST", f"{LOOKUP}7", "x", None, entry=1, key=before)
            assert status == 401


async def test_a_job_that_ends_during_a_change_of_leader_stops_its_runs(system) -> None:
    # A trainer ends its job while the leader store is killed. After the end is acknowledged, no
    # item of the job may run or be started, although the new leader has just taken the job over.
    for engine in system.engines:
        engine.event_s = 0.1
        engine.events = 200
    for round_number in range(3):
        name = f"lot{round_number}"
        await system.submit(name, job(6, prefix=f"{name}-"))
        await wait_until(lambda name=name: running_items(system, name), f"runs of {name}")
        leader = system.leaders("jobs")[-1]
        system.process_by_name[leader].kill()

        async def ended(name: str = name, entry: int = round_number % 2 + 1) -> bool:
            return (await system.call("DELETE", f"/v1/lots/{name}", "x", None, entry))[0] == 200

        await wait_until(ended, f"the end of {name} to be acknowledged")
        await asyncio.sleep(CANCELLED_S)
        assert not running_items(system, name)
        started_runs = sum(len(engine.runs) for engine in system.engines)
        system.restart(leader)
        await asyncio.sleep(CANCELLED_S)
        assert sum(len(engine.runs) for engine in system.engines) == started_runs


@pytest.mark.parametrize(("status", "killed"), [(500, False), (500, True), (422, True)])
async def test_an_item_that_always_fails_is_given_up_while_the_stores_are_restarted(
    system, status, killed
) -> None:
    # The stores are stopped in turn, the leader first. Each new leader began to count the failures
    # of an item anew, and did not learn of a failure that came while no store led.
    failing = "bad0"
    scorers = system.engines[1:]
    for engine in scorers:
        engine.failing_attempts.add(failing)
        engine.failing_status = status
        # A failure comes under the next leader, or before there is one.
        engine.answer_s = 0.4 if killed else 1.0
    await system.submit("bad", job(2, prefix="bad"))
    limit = 3 if status == 500 else 1

    def answered() -> int:
        return sum(len(engine.failed) for engine in scorers)

    def begun() -> int:
        return sum(engine.runs.count(failing) for engine in scorers)

    for number in range(limit):
        await wait_until(lambda number=number: begun() > number, "the next run of the item")
        leader = system.leaders("jobs")[-1]
        process = system.process_by_name[leader]
        if killed:
            process.kill()
        stopping = asyncio.create_task(process.terminate())
        await wait_until(lambda number=number: answered() > number, "its failure")
        await stopping
        system.restart(leader)

    read = await system.wait_all_results("bad", 2)
    state_by_item = {result["id"]: result["state"] for result in read["results"]}
    assert state_by_item == {failing: "abandoned", "bad1": "completed"}
    assert answered() == limit


def running_items(system, name: str) -> list[str]:
    """Return the items of a job that currently run on any engine."""
    running = [item for engine in system.engines for item in engine.running]
    return [item for item in running if item.startswith(f"{name}-")]
