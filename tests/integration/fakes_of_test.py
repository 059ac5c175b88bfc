"""The fakes of one test: started, asked what they saw, told to fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp

from integration.processes import Process, free_address, get_json, python_module, wait_until

Launch = Callable[[str, list[str]], Process]


class Fakes:
    """Fake endpoints and interfaces by name, the base of the tests' systems."""

    def __init__(self, launch: Launch) -> None:
        """
        Begin without fakes.

        :param launch: starts a process by name and command line.
        """
        self._launch = launch
        self.address_by_name: dict[str, str] = {}

    async def announce_fake(
        self, module: str, name: str, entries: list[str], **options: Any
    ) -> Process:
        """
        Start a fake endpoint and wait until every entry knows it.

        :param module: such as `fakes.engine`.
        :param entries: base URLs of the entries.
        :param options: of the module's command line.
        """
        listen = options.pop("listen", free_address())
        self.address_by_name[name] = listen
        arguments = ["--endpoint", name, "--listen", listen]
        for entry in entries:
            arguments += ["--entry", entry]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = self._launch(name, python_module(module, *arguments))

        async def known() -> bool:
            try:
                return set(entries) <= set((await self.log(name))["accepted_by"])
            except (aiohttp.ClientError, OSError):
                return False

        await wait_until(known, f"{name} to be known to the entries")
        return process

    async def log(self, name: str) -> Any:
        """What a fake saw."""
        return await get_json(f"http://{self.address_by_name[name]}/log")

    async def fault(self, name: str, **faults: Any) -> None:
        """Switch faults of a fake."""
        url = f"http://{self.address_by_name[name]}/fault"
        async with aiohttp.ClientSession() as session, session.post(url, json=faults) as response:
            assert response.status == 200, await response.text()
