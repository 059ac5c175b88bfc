"""Real daemons that are bootstrapped and given rules through the operators' command line."""

from __future__ import annotations

import asyncio
import json
import subprocess
from pathlib import Path
from typing import Any

from ibisspring_core.rules import key_digest
from integration.cluster import Cluster
from integration.processes import command_line, wait_until

RULE_COMMENT = "# asked: archive desk, ticket 118"
KEY = "key-of-the-forge"


def rules_text(*extra: str, keys: tuple[str, ...] = (KEY,)) -> str:
    """Return a rules file with one client account and the given lines after it."""
    granted = " ".join(f"key sha256:{key_digest(key)}" for key in keys)
    lines = [
        f"client_account forge {granted} rate 1000/s weight 1 {RULE_COMMENT}",
        f"allow forge service scorer-lm, archive-app {RULE_COMMENT}",
        *extra,
    ]
    return "".join(f"{line}\n" for line in lines)


class RulesSystem:
    """A cluster and the command line with the addresses of its control daemons."""

    def __init__(self, folder: Path, cluster: Cluster) -> None:
        self.folder = folder
        self.cluster = cluster
        self.file_count = 0

    @classmethod
    def from_counts(cls, folder: Path, controls: int, entries: int, **control: Any) -> RulesSystem:
        return cls(folder, Cluster.from_counts(folder, controls, entries, **control))

    @property
    def options(self) -> list[str]:
        """The `--control` options of the command line."""
        sections = self.cluster.settings_by_daemon.values()
        addresses = [section["control"]["listen"] for section in sections if "control" in section]
        return [f"--control={listen}" for listen in addresses]

    async def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line in a thread, so that it does not block the event loop."""
        return await asyncio.to_thread(command_line, *self.options, *arguments)

    @staticmethod
    def run_without_options(*arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line without the system's `--control` options."""
        return command_line(*arguments)

    async def bootstrap(self) -> None:
        """Start all daemons, bootstrap the cluster and wait until every entry is ready."""
        self.cluster.start_all()

        async def bootstrapped() -> bool:
            return (await self.run("control", "bootstrap")).returncode == 0

        await wait_until(bootstrapped, "the bootstrap")
        for daemon in self.entries():
            await self.cluster.wait_ready(daemon)

    def entries(self) -> list[str]:
        return [name for name in self.cluster.settings_by_daemon if name.startswith("e")]

    async def apply(
        self, text: str, base: int, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Write `text` to a new rules file and apply it on the version `base`."""
        self.file_count += 1
        path = self.folder / f"rules-{self.file_count}.txt"
        path.write_text(text)
        return await self.run("rules", "apply", str(path), "--base", str(base), *arguments)

    async def run_json(self, *arguments: str) -> dict[str, Any]:
        """Run a command with `--json`, check that it succeeds and return its decoded output."""
        result = await self.run(*arguments, "--json")
        assert result.returncode == 0, result.stderr + result.stdout
        return json.loads(result.stdout)

    async def leader(self, other_than: str = "") -> str:
        """Wait for a leader other than `other_than` and return its daemon id."""

        async def find_leader() -> str:
            result = await self.run("status", "--json")
            leader = json.loads(result.stdout)["leader"] if result.returncode == 0 else ""
            return leader if leader != other_than else ""

        return await wait_until(find_leader, f"a leader other than {other_than!r}")

    def stop_all(self) -> None:
        self.cluster.stop_all()
