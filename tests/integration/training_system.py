"""Control daemons, entries and fakes, each a process, and a trainer, for the rollout tests."""

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
    """The processes of a training system, and a trainer that calls its entries."""

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
    def from_counts(
        cls, folder: Path, controls: int = 1, entries: int = 2, **control: Any
    ) -> TrainingSystem:
        """Create a system without starting it, so that a test can change its settings."""
        weights = free_address()
        control = {"weight_store_url": f"http://{weights}", **control}
        system = cls(Cluster.from_counts(folder, controls, entries, **control))
        system.address_by_name["weight_store"] = weights
        return system

    async def start(self, rules: str = RULES) -> None:
        """Start the weight store and the daemons, bootstrap the cluster and apply the rules."""
        listen = self.address_by_name["weight_store"]
        self.cluster.start_other(
            "weight_store", python_module("fakes.weight_store", "--listen", listen)
        )
        self.cluster.start_all()
        await self.run_until_success("control", "bootstrap")
        path = self.cluster.folder / "rules.txt"
        path.write_text(rules)
        for entry in self.entries:
            await self.cluster.wait_ready(entry)
        await self.run_until_success("rules", "apply", str(path), "--base", "0")

    async def run_until_success(self, *arguments: str) -> None:
        """Repeat a command until it succeeds; its last output is in the error if it never does."""
        output = ""

        async def succeeded() -> bool:
            nonlocal output
            result = command_line(*self.control_options, *arguments)
            output = result.stdout + result.stderr
            return result.returncode == 0

        try:
            await wait_until(succeeded, " ".join(arguments))
        except AssertionError as error:
            raise AssertionError(f"{error}: {output}") from error

    async def start_endpoint(self, module: str, name: str, **options: Any) -> None:
        """Start a fake endpoint and wait until every entry has accepted its announcement."""
        entries = [self.cluster.url(entry) for entry in self.entries]
        await self.announce_fake(module, name, entries, **options)

    async def start_engine(self, name: str, **options: Any) -> None:
        await self.start_endpoint("fakes.engine", name, service=MODEL, **options)

    async def fetch_until_complete(self, step: int, entry: int = 0) -> Any:
        """Fetch the batch of a step through one entry until it is complete, and return it."""
        batches: list[Any] = []

        async def complete() -> bool:
            status, answer = await self.trainer.fetch(step, entry)
            if status == 200:
                batches.append(answer)
            return status == 200

        await wait_until(complete, f"the batch of step {step}")
        return batches[0]

    async def generated_versions(self, *engines: str) -> dict[str, list[int]]:
        """Return the version that generated each token, by sample id, from the engines' records."""
        versions_by_sample: dict[str, list[int]] = {}
        for name in engines:
            for request in (await self.log(name))["requests"]:
                sample = request["request_id"].rpartition(".")[0]
                versions = versions_by_sample.setdefault(sample, [])
                versions[request["resumed_at"] :] = request["versions"]
        return versions_by_sample

    async def ready(self, step: int, body: Any, entry: int = 0) -> int:
        """Return how many samples of a step are ready, without fetching the batch."""
        return (await self.trainer.open_step(step, body, entry))[1].get("ready", 0)

    async def announced_versions(self, name: str) -> dict[str, int]:
        """Return the weight versions that an engine announces, by adapter."""
        status = await get_json(f"http://{self.address_by_name[name]}/status")
        return status["version_by_adapter"]

    def stop_all(self) -> None:
        self.cluster.stop_all()


def labelled_versions(sample: Any) -> list[int]:
    """Return the version of each token according to the label runs of the sample."""
    versions: list[int] = []
    for run in sample["runs"]:
        versions += [run["version"]] * (run["to"] - run["from"])
    return versions


def versions_of(batch: Any) -> set[int]:
    """Return all weight versions that occur in a batch."""
    return {run["version"] for sample in batch["samples"] for run in sample["runs"]}


def ids_of(batch: Any) -> set[str]:
    """Return the sample ids of a batch."""
    return {sample["sample"] for sample in batch["samples"]}


@asynccontextmanager
async def training_system(folder: Path, **control: Any) -> AsyncIterator[TrainingSystem]:
    """Run a system until the end of the `async with` block."""
    system = TrainingSystem.from_counts(folder, **control)
    try:
        await system.start()
        yield system
    finally:
        system.stop_all()
