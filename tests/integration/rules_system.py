"""A system of real daemons that is founded and ruled through the operators' command line."""

from __future__ import annotations

import asyncio
import json
import subprocess
from pathlib import Path
from typing import Any

from ibisspring_core.rules import key_digest
from integration.cluster import Cluster
from integration.processes import command_line, wait_until

ASKED = "# asked: archive desk, ticket 118"
KEY = "key-of-the-forge"


def rules_text(*extra: str, keys: tuple[str, ...] = (KEY,)) -> str:
    """A rules file with one client account and the given lines."""
    granted = " ".join(f"key sha256:{key_digest(key)}" for key in keys)
    lines = [
        f"client_account forge {granted} rate 1000/s weight 1 {ASKED}",
        f"allow forge service scorer-lm, archive-app {ASKED}",
        *extra,
    ]
    return "".join(f"{line}\n" for line in lines)


class RulesSystem:
    """Control daemons `c1`…, entries `e1`…, and the command line pointed at them."""

    def __init__(self, folder: Path, cluster: Cluster) -> None:
        self.folder = folder
        self.cluster = cluster
        self.files = 0

    @classmethod
    def from_counts(cls, folder: Path, controls: int, entries: int, **control: Any) -> RulesSystem:
        return cls(folder, Cluster.from_counts(folder, controls, entries, **control))

    @property
    def options(self) -> list[str]:
        """The command line's `--control` options."""
        sections = self.cluster.settings_by_daemon.values()
        listens = [section["control"]["listen"] for section in sections if "control" in section]
        return [f"--control={listen}" for listen in listens]

    async def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line beside the event loop."""
        return await asyncio.to_thread(command_line, *self.options, *arguments)

    @staticmethod
    def command(*arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line with other `--control` options than the system's."""
        return command_line(*arguments)

    async def found(self) -> None:
        """Start all daemons, found the cluster and wait until every entry is ready."""
        self.cluster.start_all()

        async def founded() -> bool:
            return (await self.run("control", "bootstrap")).returncode == 0

        await wait_until(founded, "the bootstrap")
        for daemon in self.entries():
            await self.cluster.wait_ready(daemon)

    def entries(self) -> list[str]:
        return [name for name in self.cluster.settings_by_daemon if name.startswith("e")]

    async def apply(
        self, text: str, base: int, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Apply a rules file."""
        self.files += 1
        path = self.folder / f"rules-{self.files}.txt"
        path.write_text(text)
        return await self.run("rules", "apply", str(path), "--base", str(base), *arguments)

    async def ask(self, *arguments: str) -> dict[str, Any]:
        """Run a command with --json that must succeed."""
        result = await self.run(*arguments, "--json")
        assert result.returncode == 0, result.stderr + result.stdout
        return json.loads(result.stdout)

    async def leader(self, but: str = "") -> str:
        """The leader's daemon id, once there is one other than `but`."""

        async def found() -> str:
            result = await self.run("status", "--json")
            leader = json.loads(result.stdout)["leader"] if result.returncode == 0 else ""
            return leader if leader != but else ""

        return await wait_until(found, f"a leader other than {but!r}")

    def stop_all(self) -> None:
        self.cluster.stop_all()
