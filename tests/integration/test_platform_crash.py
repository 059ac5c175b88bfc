"""
Callers lose nothing when a daemon crashes under load.

In a fault search an entry once crashed with signal 11 for an unknown cause. Whatever the cause of a
crash, callers must be able to recover: a lookup on the crashed entry is broken off and its retry at
another entry is answered, no answer is truncated or belongs to another request, jobs continue, and
no accepted work is lost or done twice.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter

import aiohttp
import pytest

from integration.platform_system import LOOKUP, headers_of, job, platform_system
from integration.processes import wait_until

ENTRIES = 3
CALLERS = 6
ITEMS = 24
CRASHES = 4
DELAY_BEFORE_CRASH_S = (0.2, 1.2)
CONNECTION_BROKEN = 0


class Lookups:
    """Callers that keep their connections open and retry each failed lookup once, as clerks do."""

    def __init__(self, system) -> None:
        self._system = system
        self._ended = asyncio.Event()
        self.first_statuses: Counter[int] = Counter()
        self.final_statuses: Counter[int] = Counter()
        self.wrong_answers: list[str] = []

    async def call(self, caller: int) -> None:
        """Make one lookup after the other until `end` is called."""
        number = 0
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0)) as session:
            while not self._ended.is_set():
                number += 1
                entry = caller % ENTRIES + 1
                status = await self._once(session, entry, f"c{caller}-{number}")
                self.first_statuses[status] += 1
                if status != 200:
                    await asyncio.sleep(0.1)
                    other_entry = entry % ENTRIES + 1
                    status = await self._once(session, other_entry, f"c{caller}-{number}-again")
                self.final_statuses[status] += 1
                await asyncio.sleep(0.01)

    async def _once(self, session: aiohttp.ClientSession, entry: int, attempt: str) -> int:
        path = f"{LOOKUP}{attempt}"
        url = self._system.entry_url(entry) + path
        try:
            async with session.post(url, headers=headers_of(attempt)) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return CONNECTION_BROKEN
        if answer.status == 200 and body != path.encode():
            self.wrong_answers.append(f"{attempt}: {body!r}")
        return answer.status

    def end(self) -> None:
        self._ended.set()


VICTIM_BY_ROLE = {
    "entry": lambda system: "entry-1",
    "store": lambda system: system.leaders("jobs")[-1],
    "control": lambda system: system.leaders("directory")[-1],
}


@pytest.mark.parametrize("role", VICTIM_BY_ROLE)
async def test_callers_lose_nothing_when_a_daemon_crashes(tmp_path, role) -> None:
    crash_times = random.Random(role)
    async with platform_system(tmp_path, ENTRIES) as system:
        for engine in system.engines:
            engine.event_s = 0.05
            engine.events = 20
        lookups = Lookups(system)
        callers = [asyncio.create_task(lookups.call(caller)) for caller in range(CALLERS)]
        names = [f"lot{crash}" for crash in range(CRASHES)]
        for name in names:
            await system.submit(name, job(ITEMS, prefix=f"{name}-"), entry=2)
            await asyncio.sleep(crash_times.uniform(*DELAY_BEFORE_CRASH_S))
            victim = VICTIM_BY_ROLE[role](system)
            process = system.process_by_name[victim]
            process.send(signal.SIGSEGV)
            await wait_until(lambda process=process: not process.alive(), f"{victim} to end")
            await asyncio.sleep(0.3)
            system.restart(victim)
        read_by_name = {name: await system.wait_all_results(name, ITEMS, entry=2) for name in names}
        lookups.end()
        await asyncio.gather(*callers)

        print(role, "first", dict(lookups.first_statuses), "final", dict(lookups.final_statuses))
        assert not lookups.wrong_answers
        assert set(lookups.final_statuses) == {200}
        if role != "entry":
            assert set(lookups.first_statuses) == {200}
        for name, read in read_by_name.items():
            assert {result["id"] for result in read["results"]} == {
                f"{name}-{n}" for n in range(ITEMS)
            }
            for result in read["results"]:
                expected = [f"{result['id']}-{number}" for number in range(1, 21)]
                assert result["output"].split("\n") == expected
            assert await system.results(name, entry=3) == read
