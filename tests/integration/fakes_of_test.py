"""Starts the fakes of a test, reads their records and switches their faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp

from integration.processes import Process, free_address, get_json, python_module, wait_until

Launch = Callable[[str, list[str]], Process]


class Fakes:
    """Addresses of fake endpoints and interfaces by name; base class of the test systems."""

    def __init__(self, launch: Launch) -> None:
        """
        Create the collection without any fakes.

        :param launch: starts a process, given its name and command line.
        """
        self._launch = launch
        self.address_by_name: dict[str, str] = {}

    async def announce_fake(
        self, module: str, name: str, entries: list[str], **options: Any
    ) -> Process:
        """
        Start a fake endpoint and wait until every entry has accepted its announcement.

        :param module: the fake's Python module, such as `fakes.engine`.
        :param entries: base URLs of the entries.
        :param options: options of the module's command line, with underscores for hyphens.
        """
        listen = options.pop("listen", free_address())
        self.address_by_name[name] = listen
        arguments = ["--endpoint", name, "--listen", listen]
        for entry in entries:
            arguments += ["--entry", entry]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = self._launch(name, python_module(module, *arguments))

        async def accepted_by_all() -> bool:
            try:
                return set(entries) <= set((await self.log(name))["accepted_by"])
            except (aiohttp.ClientError, OSError):
                return False

        await wait_until(accepted_by_all, f"all entries to accept the announcement of {name}")
        return process

    async def log(self, name: str) -> Any:
        """Return the record that a fake keeps of its requests."""
        return await get_json(f"http://{self.address_by_name[name]}/log")

    async def fault(self, name: str, **faults: Any) -> None:
        """Set faults of a fake by their names."""
        url = f"http://{self.address_by_name[name]}/fault"
        async with aiohttp.ClientSession() as session, session.post(url, json=faults) as response:
            assert response.status == 200, await response.text()
