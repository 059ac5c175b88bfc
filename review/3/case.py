"""A store is lost in the moment in which it takes over the data of a store that is emptied."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from endpoint import Endpoint, Request  # noqa: E402
from system import (  # noqa: E402
    BROKEN,
    CATCH_UP_S,
    HELD,
    RECOVER_S,
    CannotRun,
    System,
    Vm,
    client_headers,
    configuration,
    run,
    wait_until,
)
from wire import call, encode  # noqa: E402

SERVICE, SCORE, MODEL = "huvo11a", "/pufi791/", "daka510000"
JOB = "7c41e09b52d6a3f8"
ITEMS, EVENTS = 8, 5
# Seconds from the loss of a VM for good until an empty one starts at another address.
SUCCESSOR_S = 1.0
# Beyond `catch_up_s`, so that the loss before has stopped counting when the next one comes.
MARGIN_S = 3.0
RETIRE_S = 10
# Seconds for which the batch job is read at the end, at all entries in turn.
READ_S = 12.0


def lost_stores() -> frozenset[str]:
    """
    Return the stores that are lost: none with TROUBLE=0.

    With TROUBLE=later, all but the one that takes over the data: the control for the first loss.
    """
    trouble = os.environ.get("TROUBLE", "1")
    if trouble == "0":
        return frozenset()
    later = frozenset({"second", "third"})
    return later if trouble == "later" else later | {"receiver"}


def document() -> dict:
    """Return the configuration: one route of batch jobs."""
    route = {
        "name": "r-score",
        "host": "ficu95.example",
        "path_prefix": SCORE,
        "type": "rollout",
        "timeout_ms": 10000,
        "latency_target_ms": 400,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 3,
        "item_ttl_s": 40.0,
        "deadline_ms": 7500,
        "single_version": False,
        "public": False,
        "sticky": True,
        "resumable": True,
    }
    engine = {"slots": 12, "kv_capacity": 29122, "models": [{"name": MODEL}]}
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 160, "engine": engine}
    return configuration(1, [route], [service])


async def stream(endpoint: Endpoint, request: Request) -> bool:
    """Stream the events of an item, with a length."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    body = "".join(
        f"id: {number}\ndata: {request.attempt}-{number}\n\n" for number in range(first, EVENTS + 1)
    ).encode()
    headers = {**endpoint.headers(request), "Content-Type": "text/event-stream"}
    request.writer.write(encode("HTTP/1.1 200 OK", headers, body))
    await request.writer.drain()
    return True


async def submit(system: System) -> None:
    """Submit the batch job, and read all its results."""
    items = [
        {
            "id": f"i{number}",
            "path": f"{SCORE}run/{number}",
            "headers": {"Model": MODEL, "Token-Usage": "100,400"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 500,
            "group": f"g{number // 4}",
        }
        for number in range(ITEMS)
    ]
    job = {"step": 0, "model": MODEL, "min_version": 1, "target_groups": 2, "items": items}
    headers = {**client_headers(JOB, 5000), "Content-Type": "application/json"}

    async def accepted() -> bool:
        system.record.sent("POST", SCORE + JOB, JOB, system.entries[0])
        answer = await call(
            system.entries[0], "POST", SCORE + JOB, headers, json.dumps(job).encode()
        )
        system.record.answered(JOB, f"{answer.end} {answer.status}")
        return answer.status == 202

    if not await wait_until(accepted, 15):
        raise CannotRun("the batch job was not accepted")

    async def complete() -> bool:
        return await count_results(system, system.entries[0]) == ITEMS

    if not await wait_until(complete, 15):
        raise CannotRun("the results were not listed")
    system.record.note(f"all {ITEMS} results of {JOB} were read")


async def count_results(system: System, entry: str) -> int:
    """Read the batch job from the start; return its number of results, -1 without an answer 200."""
    answer = await call(entry, "GET", f"/v1/lots/{JOB}?after=0", client_headers("r", 3000))
    count = len(json.loads(answer.body)["results"]) if answer.status == 200 else -1
    system.record.answered(f"read of {JOB} at {entry}", f"{answer.end} {answer.status}, {count}")
    return count


async def lose(system: System, store: Vm, number: int) -> None:
    """Lose a store for good; an empty one starts at another address a second later."""
    system.record.note(f"{store.name} is lost for good")
    store.lose()
    await asyncio.sleep(SUCCESSOR_S)
    await start_store(system, number)


async def start_store(system: System, number: int) -> Vm:
    """Start a store with an empty disk in the running system."""
    store = system.add_vm("store", number, bootstrap=False)
    store.start()
    system.record.note(f"{store.name} starts with an empty disk")
    return store


async def empty_first_store(system: System, first: Vm, receiver: Vm, lost: frozenset[str]) -> None:
    """Ask that the first store be emptied, in the moment in which the added store is lost."""
    if "receiver" in lost:
        system.record.note(f"{receiver.name} is lost for good")
        receiver.lose()
    answer = await system.operate(
        "POST", f"/v1/Retire.Start/{first.name}", {"duration_s": RETIRE_S}
    )
    system.record.note(f"Retire.Start/{first.name} is answered {answer.status}")
    if answer.status != 200:
        raise CannotRun("the store is not emptied")
    if "receiver" in lost:
        await asyncio.sleep(SUCCESSOR_S)
        await start_store(system, 5)


async def wait_emptied(system: System, first: Vm) -> None:
    """Remove the first store once it is emptied; wait until the loss before counts no more."""
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)

    async def completed() -> bool:
        answer = await system.operate("GET", f"/v1/Retire.Read/{first.name}", bound_s=3)
        return answer.status == 200 and json.loads(answer.body)["state"] == "completed"

    if await wait_until(completed, RETIRE_S):
        system.record.note(f"{first.name} is emptied and removed")
        first.lose()
    else:
        system.record.note(f"{first.name} is still not emptied")


async def case(system: System) -> int:
    """Lose three stores one after the other, and read the batch job at the end."""
    lost = lost_stores()
    await system.start(controls=5, stores=3)
    await system.add_endpoint(1, SERVICE, stream, {MODEL: 1})
    await system.add_endpoint(2, SERVICE, stream, {MODEL: 1})
    await system.put(document())
    await system.wait_ready()
    await submit(system)
    first, second, third = (vm for vm in system.vm_by_name.values() if vm.role == "store")
    receiver = await start_store(system, 4)
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)

    await empty_first_store(system, first, receiver, lost)
    await wait_emptied(system, first)
    if "second" in lost:
        await lose(system, second, 6)
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        await count_results(system, system.entries[0])
    if "third" in lost:
        await lose(system, third, 7)
        await asyncio.sleep(CATCH_UP_S + RECOVER_S)
    return await read_at_the_end(system)


async def read_at_the_end(system: System) -> int:
    """Read the batch job at all entries again and again; LOST if it can't be read."""
    system.record.note("the batch job is read at the end")
    turn = 0

    async def found() -> bool:
        nonlocal turn
        turn += 1
        entry = system.entries[turn % len(system.entries)]
        return await count_results(system, entry) == ITEMS

    if await wait_until(found, READ_S):
        print(f"the batch job is read with its {ITEMS} results")
        return HELD
    system.record.note(f"LOST {JOB} can't be read")
    print(f"LOST: the batch job can't be read, {turn} reads failed in {READ_S:g} s")
    return BROKEN


if __name__ == "__main__":
    run(case, FOLDER)
