"""Control, entries, fakes and one trainer, all real processes, for the tests of rollouts."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from fakes.trainer import Trainer
from ibisspring_core.rules import key_digest
from integration.cluster import Cluster
from integration.fakes_of_test import Fakes
from integration.processes import (
    command_line,
    free_address,
    get_json,
    python_module,
    wait_until,
)

MODEL = "scorer-lm"
TRAINER = "scan-reader"
KEY = "key-of-training"
RULES = f"""\
client_account training key sha256:{key_digest(KEY)} rate 1000/s weight 1  # asked: training, t 1
allow training service scorer-lm  # asked: training, t 1
trainer scan-reader client_account training  # asked: training, t 1
share scorer-lm trainer scan-reader  # asked: training, t 1
staleness trainer scan-reader 1 versions  # asked: training, t 1
"""


class TrainingSystem(Fakes):
    """The processes, and what a test asks of them."""

    def __init__(self, cluster: Cluster) -> None:
        super().__init__(cluster.start_other)
        self.cluster = cluster
        controls = [name for name in cluster.settings_by_daemon if name.startswith("c")]
        self.entries = [name for name in cluster.settings_by_daemon if name.startswith("e")]
        self.controls = controls
        self.control_options = [
            f"--control={cluster.settings_by_daemon[name]['control']['listen']}"
            for name in controls
        ]
        self.trainer = Trainer(
            TRAINER, KEY, tuple(self.cluster.url(entry) for entry in self.entries)
        )

    @classmethod
    def lay_out(
        cls, folder: Path, controls: int = 1, entries: int = 2, **control: Any
    ) -> TrainingSystem:
        """A system whose settings a test may still change."""
        weights = free_address()
        control = {"weight_store_url": f"http://{weights}", **control}
        system = cls(Cluster.from_counts(folder, controls, entries, **control))
        system.address_by_name["weight_store"] = weights
        return system

    async def start(self, rules: str = RULES) -> None:
        """Start the daemons and the weight store, and put the rules in force."""
        listen = self.address_by_name["weight_store"]
        self.cluster.start_other(
            "weight_store", python_module("fakes.weight_store", "--listen", listen)
        )
        self.cluster.start_all()
        await self.until_done("control", "bootstrap")
        path = self.cluster.folder / "rules.txt"
        path.write_text(rules)
        for entry in self.entries:
            await self.cluster.wait_ready(entry)
        await self.until_done("rules", "apply", str(path), "--base", "0")

    async def until_done(self, *arguments: str) -> None:
        """Run the command line until it succeeds."""
        said = ""

        async def done() -> bool:
            nonlocal said
            result = command_line(*self.control_options, *arguments)
            said = result.stdout + result.stderr
            return result.returncode == 0

        try:
            await wait_until(done, " ".join(arguments))
        except AssertionError as error:
            raise AssertionError(f"{error}: {said}") from error

    async def start_endpoint(self, module: str, name: str, **options: Any) -> None:
        """Start a fake endpoint and wait until each entry knows it."""
        entries = [self.cluster.url(entry) for entry in self.entries]
        await self.announce_fake(module, name, entries, **options)

    async def start_engine(self, name: str, **options: Any) -> None:
        await self.start_endpoint("fakes.engine", name, service=MODEL, **options)

    async def fetch_until_whole(self, step: int, entry: int = 0) -> Any:
        """Ask through one entry until the batch is there."""
        found: list[Any] = []

        async def whole() -> bool:
            status, answer = await self.trainer.fetch(step, entry)
            if status == 200:
                found.append(answer)
            return status == 200

        await wait_until(whole, f"the batch of step {step}")
        return found[0]

    async def true_versions(self, *engines: str) -> dict[str, list[int]]:
        """By sample id, the version that truly made each token, from the engines' own records."""
        versions_by_sample: dict[str, list[int]] = {}
        for name in engines:
            for request in (await self.log(name))["requests"]:
                sample = request["request_id"].rpartition(".")[0]
                made = versions_by_sample.setdefault(sample, [])
                made[request["resumed_at"] :] = request["versions"]
        return versions_by_sample

    async def ready(self, step: int, body: Any, entry: int = 0) -> int:
        """How many samples of a step are there, asked without fetching."""
        return (await self.trainer.open_step(step, body, entry))[1].get("ready", 0)

    async def announced(self, name: str) -> dict[str, int]:
        """What an engine says that it uses, by adapter."""
        status = await get_json(f"http://{self.address_by_name[name]}/status")
        return status["version_by_adapter"]

    def stop_all(self) -> None:
        self.cluster.stop_all()


def told_versions(sample: Any) -> list[int]:
    """The version of each token as the sample's label runs tell it."""
    versions: list[int] = []
    for run in sample["runs"]:
        versions += [run["version"]] * (run["to"] - run["from"])
    return versions


def versions_of(batch: Any) -> set[int]:
    """All weight versions in a batch."""
    return {run["version"] for sample in batch["samples"] for run in sample["runs"]}


def ids_of(batch: Any) -> set[str]:
    """The sample ids of a batch."""
    return {sample["sample"] for sample in batch["samples"]}


@asynccontextmanager
async def training_system(folder: Path, **control: Any) -> AsyncIterator[TrainingSystem]:
    """A running system that ends with the block."""
    system = TrainingSystem.lay_out(folder, **control)
    try:
        await system.start()
        yield system
    finally:
        system.stop_all()
