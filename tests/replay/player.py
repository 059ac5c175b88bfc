"""
Replays a recorded trace against real processes and collects its outcome.

A trace is a folder with `rules.txt`, `trace.jsonl` (one event per line, in order) and
`outcome.json`, the expected outcome. An event is an action of a caller, trainer, endpoint or
operator, or a fault. The player performs it and continues once the system has accepted it.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from fakes.trainer import Trainer, step_body
from integration.processes import wait_until
from integration.training_system import TrainingSystem, ids_of, labelled_versions

Event = dict[str, Any]


class Player:
    """Plays a trace and keeps the answers that callers and trainers received."""

    def __init__(self, system: TrainingSystem, folder: Path) -> None:
        self.system = system
        self.folder = folder
        self.status_by_call: dict[str, int] = {}
        self.body_by_call: dict[str, Any] = {}
        self.batch_by_step: dict[str, Any] = {}
        self.body_by_step: dict[str, Any] = {}
        self.engines: list[str] = []
        self.plain: list[str] = []
        self.rules_version = 1
        self.play_by_kind: dict[str, Callable[[Event], Awaitable[None]]] = {
            "announce": self.announce,
            "publish": self.publish,
            "loaded": self.loaded,
            "open": self.open,
            "ready": self.ready,
            "fetch": self.fetch,
            "call": self.call,
            "fault": self.fault,
            "kill": self.kill,
            "restart": self.restart,
            "rules": self.rules,
        }

    async def play(self) -> None:
        """Play all events in order."""
        for line in (self.folder / "trace.jsonl").read_text().splitlines():
            event = json.loads(line)
            await self.play_by_kind[event["event"]](event)

    def trainer(self, event: Event) -> Trainer:
        return Trainer(event["trainer"], event["key"], self.system.trainer.entries)

    async def announce(self, event: Event) -> None:
        kind = event["role"]
        await self.system.start_endpoint(
            f"fakes.{kind}", event["endpoint"], service=event["service"], **event.get("options", {})
        )
        {"engine": self.engines, "plain": self.plain}.get(kind, []).append(event["endpoint"])

    async def publish(self, event: Event) -> None:
        trainer = self.trainer(event)
        entry = event.get("entry", 0)
        status, answer = await trainer.publish(event["model"], event["version"], entry)
        assert status == 200, answer

    async def loaded(self, event: Event) -> None:
        async def announced() -> bool:
            versions = await self.system.announced_versions(event["endpoint"])
            return versions.get(event["trainer"]) == event["version"]

        await wait_until(announced, f"{event}")

    async def open(self, event: Event) -> None:
        body = step_body(
            event["model"],
            event["groups"],
            event["group_size"],
            event["max_tokens"],
            event.get("scorer", ""),
        )
        self.body_by_step[f"{event['trainer']}/{event['step']}"] = body
        status, answer = await self.trainer(event).open_step(event["step"], body, event["entry"])
        assert status == 200, answer

    async def ready(self, event: Event) -> None:
        body = self.body_by_step[f"{event['trainer']}/{event['step']}"]

        async def enough() -> bool:
            trainer = self.trainer(event)
            _, answer = await trainer.open_step(event["step"], body, event["entry"])
            return answer.get("ready", 0) >= event["samples"]

        await wait_until(enough, f"{event}")

    async def fetch(self, event: Event) -> None:
        """
        Fetch a batch until it is complete, then acknowledge it.

        After a 409 the request that opened the step was lost, so it is sent again.
        """
        trainer = self.trainer(event)
        name = f"{event['trainer']}/{event['step']}"

        async def complete() -> bool:
            status, answer = await trainer.fetch(event["step"], event["entry"])
            if status == 409:
                await trainer.open_step(event["step"], self.body_by_step[name], event["entry"])
            if status == 200:
                self.batch_by_step[name] = answer
            return status == 200

        await wait_until(complete, f"{event}")
        digest = self.batch_by_step[name]["digest"]
        status, answer = await trainer.acknowledge(event["step"], digest, event["entry"])
        assert status == 200, answer

    async def call(self, event: Event) -> None:
        """Make calls concurrently; with `wait_for`, repeat them until all have that HTTP status."""

        async def done() -> bool:
            await asyncio.gather(*(self._call(one) for one in event["calls"]))
            wanted = event.get("wait_for")
            names = [one["name"] for one in event["calls"]]
            return wanted is None or all(self.status_by_call[name] == wanted for name in names)

        await wait_until(done, f"{event}")

    async def _call(self, call: Event) -> None:
        headers = {"Authorization": f"Bearer {call['key']}"}
        if "idempotency_key" in call:
            headers["Idempotency-Key"] = call["idempotency_key"]
        url = self.system.trainer.entries[call["entry"]] + call["path"]
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(call["method"], url, json=call.get("body")) as response,
        ):
            self.status_by_call[call["name"]] = response.status
            self.body_by_call[call["name"]] = await response.read()

    async def fault(self, event: Event) -> None:
        await self.system.fault(event["endpoint"], **event["faults"])

    async def kill(self, event: Event) -> None:
        self.system.cluster.process_by_name[event["process"]].kill()
        if event["process"] in self.engines:
            self.engines.remove(event["process"])

    async def restart(self, event: Event) -> None:
        self.system.cluster.start(event["process"])
        await self.system.cluster.wait_ready(event["process"])

    async def rules(self, event: Event) -> None:
        """Apply the trace's rules with one text replaced, based on the current rules version."""
        path = self.system.cluster.folder / "edited.txt"
        text = (self.folder / "rules.txt").read_text()
        path.write_text(text.replace(event["replace"], event["with"]))
        base = str(self.rules_version)
        await self.system.run_until_success("rules", "apply", str(path), "--base", base)
        self.rules_version += 1

    async def outcome(self) -> dict[str, Any]:
        """Return a summary of what callers and trainers received and what the endpoints ran."""
        true_by_sample = await self.system.generated_versions(*self.engines)
        steps = {}
        delivered: list[str] = []
        for name, batch in self.batch_by_step.items():
            samples = batch["samples"]
            delivered += ids_of(batch)
            known = [sample for sample in samples if sample["sample"] in true_by_sample]
            steps[name] = {
                "samples": len(samples),
                "groups": len({sample["group"] for sample in samples}),
                "oldest_version": min(version for s in samples for version in labelled_versions(s)),
                "scores_match": all(
                    sample["score_version"] in (None, sample["runs"][-1]["version"])
                    for sample in samples
                ),
                "scored": all(sample["score"] is not None for sample in samples),
                "labels_true": all(
                    labelled_versions(sample) == true_by_sample[sample["sample"]]
                    for sample in known
                ),
            }
        return {
            "steps": steps,
            "samples_delivered_twice": len(delivered) - len(set(delivered)),
            "status_by_call": self.status_by_call,
            "runs_by_body": await self._runs_by_body(),
        }

    async def _runs_by_body(self) -> dict[str, int]:
        runs_by_body: dict[str, int] = {}
        for name in self.plain:
            for call in (await self.system.log(name))["calls"]:
                if call["ran"] and call["method"] == "POST":
                    runs_by_body[call["body"]] = runs_by_body.get(call["body"], 0) + 1
        return runs_by_body
