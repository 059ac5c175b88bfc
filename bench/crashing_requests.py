"""What a request that ends its endpoints costs a service: its ends, later sends, other requests."""

from __future__ import annotations

import asyncio
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from bench._report import print_table
from integration.platform_system import LOOKUP, headers_of, platform_system, request

# Endpoints of the service, and entries.
SIZES = ((3, 2), (3, 9), (8, 2), (8, 9), (24, 2), (24, 9))
CRASH_BODY = b"ends its endpoint"
KNOWN_ENDS = 3
CONTACT_S = 3.0
RUN_S = 20.0
CALLERS = 3
# Seconds between two attempts of a caller, and between two lookups of the others.
MARKED_PAUSE_S = 0.5
LOOKUP_PAUSE_S = 0.1


@dataclass(frozen=True)
class Measured:
    """
    What was seen while callers repeated the request for `RUN_S` seconds.

    :param ends: endpoints that ended.
    :param later_sends: sends of the request later than `CONTACT_S` after the third end.
    :param most_down: most endpoints that were down at the same time.
    :param served: lookups of other callers that were answered with 200.
    :param lookups: all lookups of other callers.
    """

    ends: int
    later_sends: int
    most_down: int
    served: int
    lookups: int


def main() -> None:
    """Measure services of several sizes and print a table."""
    os.environ["IBISSPRING_LOAD_POLICY"] = "hedging"
    rows = []
    for endpoints, entries in SIZES:
        measured = asyncio.run(_measure(endpoints, entries))
        rows.append(
            (
                str(endpoints),
                str(entries),
                str(measured.ends),
                str(measured.later_sends),
                str(measured.most_down),
                f"{measured.served} of {measured.lookups}",
            )
        )
    print_table(("endpoints", "entries", "ends", "later sends", "most down", "others served"), rows)


async def _measure(endpoints: int, entries: int) -> Measured:
    with tempfile.TemporaryDirectory() as folder:
        async with platform_system(Path(folder), entries=entries) as system:
            for _ in range(endpoints - 1):
                await system.add_engine("archive")
            engines = [one for one in system.engines if one.service == "archive"]
            for engine in engines:
                engine.crash_body = CRASH_BODY
            await asyncio.sleep(1.0)
            marked = [_repeat_marked(system, number, entries) for number in range(CALLERS)]
            statuses, *_ = await asyncio.gather(_look_up(system, entries), *marked)
            ends = sorted(at for engine in engines for at in engine.ended_at)
            known_at = ends[KNOWN_ENDS - 1] + CONTACT_S if len(ends) >= KNOWN_ENDS else float("inf")
            sends = [at for engine in engines for at in engine.crash_calls_at if at > known_at]
            restart_s = engines[0].restart_s
            return Measured(
                len(ends),
                len(sends),
                max((sum(at <= one < at + restart_s for at in ends) for one in ends), default=0),
                statuses.count(200),
                len(statuses),
            )


async def _repeat_marked(system, caller: int, entries: int) -> None:
    end_at = asyncio.get_running_loop().time() + RUN_S
    number = 0
    while asyncio.get_running_loop().time() < end_at:
        url = system.entry_url((caller + number) % entries + 1) + f"{LOOKUP}marked"
        await request("POST", url, CRASH_BODY, headers_of(f"m{caller}-{number}"))
        number += 1
        await asyncio.sleep(MARKED_PAUSE_S)


async def _look_up(system, entries: int) -> list[int]:
    """Make one lookup after the other, each with another path, and return the statuses."""
    statuses = []
    end_at = asyncio.get_running_loop().time() + RUN_S
    while asyncio.get_running_loop().time() < end_at:
        number = len(statuses)
        path = f"{LOOKUP}{number}"
        status, _ = await system.call("POST", path, f"o{number}", None, number % entries + 1)
        statuses.append(status)
        await asyncio.sleep(LOOKUP_PAUSE_S)
    return statuses
