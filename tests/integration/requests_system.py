"""A ruled system of real daemons with fake endpoints, and callers that ask any entry."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import aiohttp

from integration.lone_system import Answer
from integration.processes import free_address, get_json, python_module, wait_until
from integration.rules_system import KEY, RulesSystem, rules_text


class RequestsSystem:
    """Entries with their callers, over a `RulesSystem`."""

    def __init__(self, folder: Path, rules: RulesSystem) -> None:
        self.folder = folder
        self.rules = rules
        self.cluster = rules.cluster
        self.address_by_name: dict[str, str] = {}

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
        listen = options.pop("listen", free_address())
        self.address_by_name[name] = listen
        arguments = ["--endpoint", name, "--listen", listen]
        for entry in self.entries():
            arguments += ["--entry", self.url(entry)]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        self.cluster.start_other(name, python_module(f"fakes.{kind}", *arguments))

        async def known() -> bool:
            try:
                accepted_by = (await self.log(name))["accepted_by"]
            except (aiohttp.ClientError, OSError):
                return False
            return len(accepted_by) == len(self.entries())

        await wait_until(known, f"{name} to be known to all entries")

    async def log(self, name: str) -> dict[str, Any]:
        """What a fake endpoint saw."""
        return await get_json(f"http://{self.address_by_name[name]}/log")

    async def fault(self, name: str, **faults: Any) -> None:
        """Switch faults of a fake endpoint."""
        url = f"http://{self.address_by_name[name]}/fault"
        async with aiohttp.ClientSession() as session, session.post(url, json=faults) as response:
            await response.read()

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
