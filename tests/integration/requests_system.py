"""Real daemons with rules in force and fake endpoints, and callers that can use any entry."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import aiohttp

from integration.fakes_of_test import Fakes
from integration.lone_system import Answer
from integration.rules_system import KEY, RulesSystem, rules_text


class RequestsSystem(Fakes):
    """Calls to the entries of a `RulesSystem` and the fake endpoints behind them."""

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
        Start and bootstrap a system and apply rules to it.

        :param text: the rules file; the default of `rules_text` if empty.
        :param entry: settings of the entry section that differ from the defaults.
        """
        rules = RulesSystem.from_counts(folder, controls, entries)
        for daemon in rules.entries():
            rules.cluster.settings_by_daemon[daemon]["entry"].update(entry)
        await rules.bootstrap()
        applied = await rules.apply(text or rules_text(), 0)
        assert applied.returncode == 0, applied.stderr
        return cls(folder, rules)

    def entries(self) -> list[str]:
        return self.rules.entries()

    def url(self, entry: str) -> str:
        return self.cluster.url(entry)

    async def start_endpoint(self, kind: str, name: str, **options: Any) -> None:
        """
        Start a fake endpoint and wait until every entry has accepted its announcement.

        :param kind: name of a module of `fakes`: `engine` or `plain`.
        """
        entries = [self.url(entry) for entry in self.entries()]
        await self.announce_fake(f"fakes.{kind}", name, entries, **options)

    async def ask(
        self,
        url: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        **request_options: Any,
    ) -> Answer:
        """Make a caller's request to the base URL of an entry, or of a proxy in front of one."""
        headers = {"Authorization": f"Bearer {KEY}", **(headers or {})}
        async with aiohttp.ClientSession() as session:
            async with session.request(
                method, url + path, headers=headers, **request_options
            ) as response:
                return Answer(response.status, response.headers, await response.read())

    async def usage(self) -> dict[str, tuple[int, int]]:
        """Return the tokens and calls by service, summed over all usage windows."""
        usage_by_service: dict[str, tuple[int, int]] = {}
        for window in (await self.rules.run_json("usage", "show"))["windows"]:
            for line in window["lines"]:
                tokens, calls = usage_by_service.get(line["service"], (0, 0))
                usage_by_service[line["service"]] = (tokens + line["tokens"], calls + line["calls"])
        return usage_by_service

    def stop_all(self) -> None:
        self.cluster.stop_all()
