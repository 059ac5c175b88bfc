"""Answers without a length, some of which are reset on the way."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from endpoint import Endpoint, Request  # noqa: E402
from system import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRun,
    System,
    client_headers,
    configuration,
    has_trouble,
    run,
    wait_until,
)
from wire import COMPLETE, call, encode, reset  # noqa: E402

CALLS, JOBS = "wuno96b", "huvo11a"
LOOKUP, SCORE = "/lohu930/", "/pufi791/"
MODEL = "daka510000"
REQUESTS = 100
ITEMS = 40
EVENTS = 12
# Each tenth call and each fourth item is reset on the way, at its first run.
CALL_RESET_EVERY = 10
ITEM_RESET_EVERY = 4
RESET_AFTER_EVENTS = 5
BODY_BYTES = 800
# Time in which what was sent arrives before the reset.
ARRIVES_S = 0.05
EVENT_S = 0.01


def routes() -> list[dict]:
    """Return a route of repeatable requests and one of batch jobs."""
    common = {"host": "ficu95.example", "public": False, "latency_target_ms": 400, "priority": 1}
    return [
        {
            **common,
            "name": "r-lookup",
            "path_prefix": LOOKUP,
            "type": "idempotent",
            "timeout_ms": 2000,
            "service": CALLS,
            "max_attempts": 2,
        },
        {
            **common,
            "name": "r-score",
            "path_prefix": SCORE,
            "type": "rollout",
            "timeout_ms": 10000,
            "service": JOBS,
            "max_attempts": 3,
            "item_ttl_s": 40.0,
            "deadline_ms": 7500,
            "single_version": False,
            "sticky": True,
            "resumable": True,
        },
    ]


def services() -> list[dict]:
    """Return the plain service and the service of the model engines."""
    engine = {"slots": 12, "kv_capacity": 29122, "models": [{"name": MODEL}]}
    return [
        {"name": CALLS, "health_path": "/healthz", "max_conns": 110},
        {"name": JOBS, "health_path": "/healthz", "max_conns": 160, "engine": engine},
    ]


def whole_body(attempt: str) -> bytes:
    """Return the body with which an engine answers a call."""
    return (f"{attempt} " * BODY_BYTES)[:BODY_BYTES].encode()


def event_data(item: str, number: int) -> str:
    """Return the data of one event of an item's text."""
    return f"{item}-{number}"


def is_reset(attempt: str, every: int) -> bool:
    """Whether the first run of a request is reset on the way."""
    return has_trouble() and attempt[1:].isdecimal() and int(attempt[1:]) % every == 0


async def answer_call(endpoint: Endpoint, request: Request) -> bool:
    """Answer a call without a length; the end of the connection ends the answer."""
    await asyncio.sleep(0.01)
    head = {**endpoint.headers(request), "Connection": "close"}
    body = whole_body(request.attempt)
    first_run = len(endpoint.record.runs[request.attempt]) == 1
    broken = first_run and is_reset(request.attempt, CALL_RESET_EVERY)
    request.writer.write(encode("HTTP/1.1 200 OK", head, None))
    request.writer.write(body[: len(body) // 2] if broken else body)
    await request.writer.drain()
    if broken:
        await asyncio.sleep(ARRIVES_S)
        endpoint.record.note(f"reset {request.attempt} in the middle of its body")
        reset(request.writer)
    return False


async def answer_item(endpoint: Endpoint, request: Request) -> bool:
    """Stream the events of an item without a length."""
    head = {**endpoint.headers(request), "Connection": "close"}
    head["Content-Type"] = "text/event-stream"
    request.writer.write(encode("HTTP/1.1 200 OK", head, None))
    first_run = len(endpoint.record.runs[request.attempt]) == 1
    broken = first_run and is_reset(request.attempt, ITEM_RESET_EVERY)
    resumed_after = int(request.headers.get("last-event-id", "0"))
    for number in range(resumed_after + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        data = event_data(request.attempt, number)
        request.writer.write(f"id: {number}\ndata: {data}\n\n".encode())
        await request.writer.drain()
        if broken and number == RESET_AFTER_EVENTS:
            await asyncio.sleep(ARRIVES_S)
            endpoint.record.note(f"reset {request.attempt} after event {number}")
            reset(request.writer)
            return False
    return False


async def send_calls(system: System) -> int:
    """Send calls; return how many were answered 2xx with another body than the engine's."""
    broken = []
    served = []

    async def send(number: int) -> None:
        attempt = f"c{number:03d}"
        path = f"{LOOKUP}{attempt}"
        entry = random.choice(system.entries)
        system.record.sent("POST", path, attempt, entry)
        answer = await call(entry, "POST", path, client_headers(attempt, 2000), b"x", 3.0)
        received = f"{answer.end} {answer.status}, {len(answer.body)} of {BODY_BYTES} bytes"
        system.record.answered(attempt, received)
        is_success = answer.end == COMPLETE and answer.status // 100 == 2
        if is_success:
            served.append(attempt)
        if is_success and answer.body != whole_body(attempt):
            broken.append(attempt)
            system.record.note(f"MIXED {attempt} {received}")

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    if not served:
        raise CannotRun("no call was served")
    return len(broken)


def batch_job() -> dict:
    """Return a batch job in groups of four."""
    items = [
        {
            "id": f"i{number:03d}",
            "path": f"{SCORE}run/{number}",
            "headers": {"Model": MODEL, "Token-Usage": "100,800"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 900,
            "group": f"g{number // 4}",
        }
        for number in range(ITEMS)
    ]
    return {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "target_groups": ITEMS // 4,
        "items": items,
    }


async def run_job(system: System) -> int:
    """Submit a batch job; return how many results are completed with another text."""
    job = "7c41e09b52d6a3f8"
    body = json.dumps(batch_job()).encode()
    headers = {**client_headers(job, 5000), "Content-Type": "application/json"}

    async def accepted() -> bool:
        system.record.sent("POST", SCORE + job, job, system.entries[0])
        answer = await call(system.entries[0], "POST", SCORE + job, headers, body)
        system.record.answered(job, f"{answer.end} {answer.status}")
        return answer.status == 202

    if not await wait_until(accepted, 15):
        raise CannotRun("the batch job was not accepted")
    results: list[dict] = []

    async def listed() -> bool:
        path = f"/v1/lots/{job}?after={len(results)}"
        answer = await call(system.entries[1], "GET", path, client_headers("r", 2000))
        if answer.status == 200:
            results.extend(json.loads(answer.body)["results"])
        return len(results) == ITEMS

    if not await wait_until(listed, 30):
        raise CannotRun(f"only {len(results)} results were listed")
    broken = 0
    for result in results:
        item, lines = result["id"], result["output"].split("\n")
        whole = [event_data(item, number) for number in range(1, EVENTS + 1)]
        received = f"{result['state']}, {len(lines)} of {EVENTS} events"
        system.record.answered(item, received)
        if result["state"] == "completed" and lines != whole:
            broken += 1
            system.record.note(f"MIXED {item} {received}")
    return broken


async def case(system: System) -> int:
    """Send calls and a batch job, and compare what callers got with what the engines made."""
    await system.start()
    for number in (1, 2, 3):
        await system.add_endpoint(number, CALLS, answer_call)
    for number in (4, 5):
        await system.add_endpoint(number, JOBS, answer_item, {MODEL: 1})
    await system.put(configuration(1, routes(), services()))
    await system.wait_ready()
    calls = await send_calls(system)
    items = await run_job(system)
    print(f"MIXED: {calls} of {REQUESTS} calls, {items} of {ITEMS} items")
    return BROKEN if calls or items else HELD


if __name__ == "__main__":
    run(case, FOLDER)
