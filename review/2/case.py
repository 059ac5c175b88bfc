"""Requests that may run at most once, at endpoints whose answers are lost and that crash."""

from __future__ import annotations

import asyncio
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
)
from wire import COMPLETE, call, reset  # noqa: E402

SERVICE = "wuno96b"
METHODS = ("PUT", "DELETE", "POST")
# Requests of each stage; a third of them has each method.
REQUESTS = 60
# Each fifth request loses its answer in the first stage.
LOST_EVERY = 5
WORK_S = 0.02
# Work of the second stage: requests are at the endpoint when it crashes.
LONG_WORK_S = 1.0
CRASH_AFTER_S = 0.5
PROMISES = (408, 421, 429, 503)
TWO_ENGINES = "/lohu930/"
ONE_ENGINE = "/gafe12/"


def routes() -> list[dict]:
    """Return two routes of requests that may run at most once, with two engines and with one."""
    common = {
        "host": "ficu95.example",
        "type": "non_idempotent",
        "timeout_ms": 5000,
        "latency_target_ms": 400,
        "priority": 2,
        "service": SERVICE,
        "public": False,
    }
    return [
        {**common, "name": "r-two", "path_prefix": TWO_ENGINES, "max_attempts": 2},
        {**common, "name": "r-one", "path_prefix": ONE_ENGINE, "max_attempts": 1},
    ]


class Work:
    """How the endpoints answer: after some work, or not at all where the answer is lost."""

    def __init__(self) -> None:
        self.work_s = WORK_S
        self.lost: set[str] = set()

    async def answer(self, endpoint: Endpoint, request: Request) -> bool:
        """Work on a request, and answer it unless its answer is lost."""
        await asyncio.sleep(self.work_s)
        if request.attempt in self.lost:
            endpoint.record.note(f"lost the answer of {request.attempt} at {endpoint.name}")
            reset(request.writer)
            return False
        body = f"done {request.attempt}".encode()
        return await endpoint.answer(request.writer, 200, endpoint.headers(request), body)


async def send(system: System, prefix: str, method: str, attempt: str, statuses: dict) -> None:
    """Send one request, and keep its status; 0 where no complete answer came."""
    entry = random.choice(system.entries)
    path = f"{prefix}ticket/{attempt}"
    system.record.sent(method, path, attempt, entry)
    body = b"" if method == "DELETE" else f"ticket {attempt}".encode()
    answer = await call(entry, method, path, client_headers(attempt, 5000), body, 6.0)
    statuses[attempt] = answer.status if answer.end == COMPLETE else 0
    system.record.answered(attempt, f"{answer.end} {answer.status} {answer.body[:60]!r}")


async def send_many(system: System, name: str, statuses: dict, work: Work | None) -> None:
    """Send the requests of a stage at a steady pace; with `work`, some answers are lost."""
    tasks = []
    for number in range(REQUESTS):
        method = METHODS[number % len(METHODS)]
        prefix = ONE_ENGINE if number % 2 else TWO_ENGINES
        attempt = f"{name}{number:03d}{method.lower()}"
        if work is not None and number % LOST_EVERY == 0:
            work.lost.add(attempt)
        tasks.append(asyncio.create_task(send(system, prefix, method, attempt, statuses)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def case(system: System) -> int:
    """Run both stages, and check how often each request ran and what its client was told."""
    work = Work()
    await system.start()
    for number in (1, 2, 3):
        await system.add_endpoint(number, SERVICE, work.answer)
    await system.put(configuration(1, routes(), [{"name": SERVICE, "max_conns": 110}]))
    await system.wait_ready()
    await warm(system)

    statuses: dict[str, int] = {}
    system.record.note("stage 1: answers are lost")
    await send_many(system, "a", statuses, work if has_trouble() else None)
    system.record.note("stage 2: an endpoint crashes")
    work.work_s = LONG_WORK_S
    sending = asyncio.create_task(send_many(system, "b", statuses, None))
    await asyncio.sleep(CRASH_AFTER_S)
    if has_trouble():
        busiest = max(system.endpoints, key=lambda one: runs_at(system, one))
        system.record.note(f"{busiest.name} crashes")
        await busiest.crash()
    await sending
    return check(system, statuses)


def runs_at(system: System, endpoint: Endpoint) -> int:
    """Count the requests of the second stage that an endpoint has begun to work on."""
    runs = system.record.runs
    return sum(a.startswith("b") and endpoint.name in ran for a, ran in runs.items())


async def warm(system: System) -> None:
    """Wait until a request is served at each entry."""
    for entry in system.entries:
        for turn in range(100):
            attempt = f"w{system.entries.index(entry)}{turn}"
            path = f"{TWO_ENGINES}warm"
            answer = await call(entry, "POST", path, client_headers(attempt, 1000), b"x")
            if answer.status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun(f"{entry} serves nothing")


def check(system: System, statuses: dict[str, int]) -> int:
    """Compare the runs and the answers with the rules TWICE and REFUSED."""
    record = system.record
    twice = [attempt for attempt in statuses if len(record.runs[attempt]) > 1]
    refused = [
        attempt
        for attempt, status in statuses.items()
        if status in PROMISES and record.runs[attempt]
    ]
    for attempt in twice:
        record.note(f"TWICE {attempt} ran at {record.runs[attempt]}, answered {statuses[attempt]}")
    for attempt in refused:
        record.note(
            f"REFUSED {attempt} answered {statuses[attempt]}, ran at {record.runs[attempt]}"
        )
    for method in METHODS:
        one = [attempt for attempt in statuses if attempt.endswith(method.lower())]
        record.note(
            f"{method}: {len(one)} requests, {sum(a in twice for a in one)} ran twice, "
            f"{sum(a in refused for a in one)} refused though they ran, "
            f"{sum(statuses[a] == 200 for a in one)} served"
        )
    if not any(status == 200 for status in statuses.values()):
        raise CannotRun("no request was served")
    print(f"{len(statuses)} requests: {len(twice)} TWICE, {len(refused)} REFUSED")
    return BROKEN if twice or refused else HELD


if __name__ == "__main__":
    run(case, FOLDER)
