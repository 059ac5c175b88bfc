"""Announces a fake endpoint to the entries, as real endpoints do."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any

import aiohttp

ANNOUNCE_INTERVAL_S = 0.5


class Announcer:
    """
    Sends the endpoint's announcement to one entry after the other.

    :param entries: base URLs of the entries.
    :param fields: returns the fields of an announcement except incarnation, sequence and state.
    """

    def __init__(self, entries: tuple[str, ...], fields: Callable[[], dict[str, Any]]) -> None:
        self.entries = entries
        self.fields = fields
        self.state = "serving"
        self.paused = False
        self.incarnation = time.time_ns() // 1_000_000
        self.has_left = False
        self.accepted_by: set[str] = set()
        self._sequence = itertools.count(1)

    def announcement(self) -> dict[str, Any]:
        """Return a new announcement with the next sequence number."""
        return {
            "incarnation": self.incarnation,
            "sequence": next(self._sequence),
            "state": self.state,
            **self.fields(),
        }

    async def run(self) -> None:
        """Send announcements until cancelled; errors of single entries are ignored."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:
            for url in itertools.cycle(self.entries):
                if not self.paused:
                    await self._send(session, url)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S / len(self.entries))

    async def leave(self) -> None:
        """Announce the state `leaving` to every entry."""
        self.state = "leaving"
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:
            for url in self.entries:
                await self._send(session, url)
        self.has_left = True

    async def _send(self, session: aiohttp.ClientSession, url: str) -> None:
        try:
            async with session.post(f"{url}/v1/announce", json=self.announcement()) as answer:
                if (await answer.json()).get("accepted"):
                    self.accepted_by.add(url)
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass


async def serve(app: Any, listen: str, announcer: Announcer, idle: Callable[[], bool]) -> None:
    """
    Serve HTTP until SIGTERM, then announce `leaving` and finish the running requests.

    `app["stopping"]` is set to an event that stops the server in the same way.

    :param idle: returns whether no request is running.
    """
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
