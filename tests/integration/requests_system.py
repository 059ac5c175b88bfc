"""A ruled system of real daemons with fake endpoints, and callers that ask any entry."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import aiohttp

from integration.fakes_of_test import Fakes
from integration.lone_system import Answer
from integration.rules_system import KEY, RulesSystem, rules_text


class RequestsSystem(Fakes):
    """Entries with their callers, over a `RulesSystem`."""

    def __init__(self, folder: Path, rules: RulesSystem) -> None:
        super().__init__(rules.cluster.start_other)
        self.folder = folder
        self.rules = rules
        self.cluster = rules.cluster

    @classmethod
    async def started(
        cls, folder: Path, controls: int, entries: int, text: str = "", **entry: Any
    ) -> RequestsSystem:
        """
        Found the system and put rules in force.

        :param entry: settings of the entry section that differ from the defaults.
        """
        rules = RulesSystem.from_counts(folder, controls, entries)
        for daemon in rules.entries():
            rules.cluster.settings_by_daemon[daemon]["entry"].update(entry)
        await rules.found()
        applied = await rules.apply(text or rules_text(), 0)
        assert applied.returncode == 0, applied.stderr
        return cls(folder, rules)

    def entries(self) -> list[str]:
        return self.rules.entries()

    def url(self, entry: str) -> str:
        return self.cluster.url(entry)

    async def start_endpoint(self, kind: str, name: str, **options: Any) -> None:
        """
        Start a fake and wait until every entry knows it.

        :param kind: `engine` or `plain`.
        """
        entries = [self.url(entry) for entry in self.entries()]
        await self.announce_fake(f"fakes.{kind}", name, entries, **options)

    async def ask(
        self, url: str, method: str, path: str, headers: dict[str, str] | None = None, **rest: Any
    ) -> Answer:
        """Ask an entry, or a proxy before it, by its base URL."""
        headers = {"Authorization": f"Bearer {KEY}", **(headers or {})}
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url + path, headers=headers, **rest) as response:
                return Answer(response.status, response.headers, await response.read())

    async def usage(self) -> dict[str, tuple[int, int]]:
        """Tokens and calls by service, over all usage windows."""
        total: dict[str, tuple[int, int]] = {}
        for window in (await self.rules.ask("usage", "show"))["windows"]:
            for line in window["lines"]:
                tokens, calls = total.get(line["service"], (0, 0))
                total[line["service"]] = (tokens + line["tokens"], calls + line["calls"])
        return total

    def stop_all(self) -> None:
        self.cluster.stop_all()
