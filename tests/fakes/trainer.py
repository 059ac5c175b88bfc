"""A fake trainer that opens steps, fetches and acknowledges batches, and publishes versions."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import aiohttp
import click


class Trainer:
    """
    Client of the trainers' interface.

    `entry` is an index into `entries`; `run_step` uses the next entry after a failure.

    :param entries: base URLs of the entries.
    :param idle_s: total time that `run_step` took until complete batches, in seconds.
    """

    def __init__(self, name: str, key: str, entries: tuple[str, ...]) -> None:
        self.name = name
        self.key = key
        self.entries = entries
        self.idle_s = 0.0

    async def ask(
        self, method: str, path: str, body: Any = None, entry: int = 0, bound_s: float = 10.0
    ) -> tuple[int, Any]:
        """Send a request to an entry; return its status and JSON, or status 0 without an answer."""
        url = f"{self.entries[entry % len(self.entries)]}/v1/trainers/{self.name}{path}"
        headers = {"Authorization": f"Bearer {self.key}"}
        timeout = aiohttp.ClientTimeout(total=bound_s)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, url, json=body) as response,
            ):
                return response.status, json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, json.JSONDecodeError) as error:
            return 0, {"error": repr(error)}

    async def open_step(self, step: int, body: Any, entry: int = 0) -> tuple[int, Any]:
        return await self.ask("POST", f"/steps/{step}", body, entry)

    async def fetch(self, step: int, entry: int = 0, bound_s: float = 10.0) -> tuple[int, Any]:
        return await self.ask("GET", f"/steps/{step}/batch", None, entry, bound_s)

    async def acknowledge(self, step: int, digest: str, entry: int = 0) -> tuple[int, Any]:
        return await self.ask("POST", f"/steps/{step}/ack", {"digest": digest}, entry)

    async def publish(self, model: str, version: int, entry: int = 0) -> tuple[int, Any]:
        return await self.ask("POST", "/versions", {"model": model, "version": version}, entry)

    async def run_step(self, step: int, body: Any, bound_s: float = 120.0) -> Any:
        """
        Open a step and fetch its batch until the batch is complete, and return it.

        After an answer that is neither 200 nor 202 the step is opened at the next entry.

        :raises AssertionError: if the batch is not complete within `bound_s`.
        """
        started_at = time.monotonic()
        entry = 0
        opened = False
        while time.monotonic() - started_at < bound_s:
            if not opened:
                status, _ = await self.open_step(step, body, entry)
                opened = status == 200
            status, answer = await self.fetch(step, entry) if opened else (0, {})
            if status == 200:
                self.idle_s += time.monotonic() - started_at
                return answer
            if status != 202:
                entry += 1
                opened = False
            await asyncio.sleep(0.05)
        raise AssertionError(f"step {step} was not complete within {bound_s} s")


def step_body(model: str, groups: int, group_size: int, max_tokens: int, scorer: str = "") -> Any:
    """Return the body of a request to open a step, with numbered prompts."""
    return {
        "model": model,
        "group_size": group_size,
        "max_tokens": max_tokens,
        "groups": [{"group": f"g{n}", "prompt": f"read certificate {n}"} for n in range(groups)],
        "scorer": scorer,
    }


async def train(trainer: Trainer, model: str, steps: int, body: Any) -> None:
    """Run steps in sequence, publish a version after each and print a summary of each batch."""
    for step in range(1, steps + 1):
        batch = await trainer.run_step(step, body)
        await trainer.acknowledge(step, batch["digest"])
        versions = sorted({run["version"] for s in batch["samples"] for run in s["runs"]})
        line = {"step": step, "samples": len(batch["samples"]), "versions": versions}
        print(json.dumps({**line, "idle_s": round(trainer.idle_s, 3)}), flush=True)
        await trainer.publish(model, step)


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, help="Base URL of an entry.")
@click.option("--name", required=True, help="Name of the trainer.")
@click.option("--key", required=True, help="API key of the trainer's client account.")
@click.option("--model", required=True)
@click.option("--steps", default=3)
@click.option("--groups", default=4)
@click.option("--group-size", default=4)
@click.option("--max-tokens", default=16)
@click.option("--scorer", default="")
def main(
    entries: tuple[str, ...],
    name: str,
    key: str,
    model: str,
    steps: int,
    groups: int,
    group_size: int,
    max_tokens: int,
    scorer: str,
) -> None:
    """Run a fake trainer for a number of steps."""
    body = step_body(model, groups, group_size, max_tokens, scorer)
    asyncio.run(train(Trainer(name, key, entries), model, steps, body))


if __name__ == "__main__":
    main()
