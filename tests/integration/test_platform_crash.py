"""
Callers lose nothing when a daemon crashes under load.

An entry ended once by itself with signal 11 in a hunt; what brought it is not known. Whatever it
was, callers must come through it: a lookup on the entry that ends is broken off and its repetition
at another entry is answered, no answer is cut short or another's, jobs go on, and nothing that was
accepted is lost or made twice.
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
LOAD_BETWEEN_S = (0.2, 1.2)
BROKEN_OFF = 0


class Lookups:
    """Callers with connections that they keep, each with one repetition, as clerks have."""

    def __init__(self, system) -> None:
        self._system = system
        self._ended = asyncio.Event()
        self.first: Counter[int] = Counter()
        self.final: Counter[int] = Counter()
        self.wrong: list[str] = []

    async def call(self, caller: int) -> None:
        """Look up one after the other until the end."""
        number = 0
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0)) as session:
            while not self._ended.is_set():
                number += 1
                entry = caller % ENTRIES + 1
                status = await self._once(session, entry, f"c{caller}-{number}")
                self.first[status] += 1
                if status != 200:
                    await asyncio.sleep(0.1)
                    other = entry % ENTRIES + 1
                    status = await self._once(session, other, f"c{caller}-{number}-again")
                self.final[status] += 1
                await asyncio.sleep(0.01)

    async def _once(self, session: aiohttp.ClientSession, entry: int, attempt: str) -> int:
        path = f"{LOOKUP}{attempt}"
        url = self._system.entry_url(entry) + path
        try:
            async with session.post(url, headers=headers_of(attempt)) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return BROKEN_OFF
        if answer.status == 200 and body != path.encode():
            self.wrong.append(f"{attempt}: {body!r}")
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
    moments = random.Random(role)
    async with platform_system(tmp_path, ENTRIES) as system:
        for engine in system.engines:
            engine.event_s = 0.05
            engine.events = 20
        lookups = Lookups(system)
        callers = [asyncio.create_task(lookups.call(caller)) for caller in range(CALLERS)]
        names = [f"lot{crash}" for crash in range(CRASHES)]
        for name in names:
            await system.submit(name, job(ITEMS, prefix=f"{name}-"), entry=2)
            await asyncio.sleep(moments.uniform(*LOAD_BETWEEN_S))
            victim = VICTIM_BY_ROLE[role](system)
            process = system.process_by_name[victim]
            process.send(signal.SIGSEGV)
            await wait_until(lambda process=process: not process.alive(), f"{victim} to end")
            await asyncio.sleep(0.3)
            system.restart(victim)
        read_by_name = {name: await system.whole(name, ITEMS, entry=2) for name in names}
        lookups.end()
        await asyncio.gather(*callers)

        print(role, "first", dict(lookups.first), "final", dict(lookups.final))
        assert not lookups.wrong
        assert set(lookups.final) == {200}
        if role != "entry":
            assert set(lookups.first) == {200}
        for name, read in read_by_name.items():
            assert {one["id"] for one in read["results"]} == {f"{name}-{n}" for n in range(ITEMS)}
            for one in read["results"]:
                whole = [f"{one['id']}-{number}" for number in range(1, 21)]
                assert one["output"].split("\n") == whole
            assert await system.results(name, entry=3) == read
