"""Announces a fake endpoint to the entries, as endpoints do."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any

import aiohttp

EVERY_S = 0.5


class Announcer:
    """Sends the endpoint's announcement to one entry after the other."""

    def __init__(self, entries: tuple[str, ...], fields: Callable[[], dict[str, Any]]) -> None:
        self.entries = entries
        self.fields = fields
        self.state = "serving"
        self.muted = False
        self.incarnation = time.time_ns() // 1_000_000
        self.left = False
        self.accepted_by: set[str] = set()
        self._sequence = itertools.count(1)

    def announcement(self) -> dict[str, Any]:
        """The announcement as it would be sent now."""
        return {
            "incarnation": self.incarnation,
            "sequence": next(self._sequence),
            "state": self.state,
            **self.fields(),
        }

    async def run(self) -> None:
        """Announce for ever; an entry that does not answer is passed over."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:
            for url in itertools.cycle(self.entries):
                if not self.muted:
                    await self._send(session, url)
                await asyncio.sleep(EVERY_S / len(self.entries))

    async def leave(self) -> None:
        """Tell every entry that this endpoint leaves."""
        self.state = "leaving"
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:
            for url in self.entries:
                await self._send(session, url)
        self.left = True

    async def _send(self, session: aiohttp.ClientSession, url: str) -> None:
        try:
            async with session.post(f"{url}/v1/announce", json=self.announcement()) as answer:
                if (await answer.json()).get("accepted"):
                    self.accepted_by.add(url)
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass


async def serve(app: Any, listen: str, announcer: Announcer, idle: Callable[[], bool]) -> None:
    """Serve until SIGTERM, then leave: no new work is expected, what runs is finished."""
    import signal

    from aiohttp import web

    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    stopping = asyncio.Event()
    app["stopping"] = stopping
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    announcing = asyncio.create_task(announcer.run())
    await stopping.wait()
    await announcer.leave()
    while not idle():
        await asyncio.sleep(0.05)
    announcing.cancel()
    await runner.cleanup()
